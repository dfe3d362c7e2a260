package connlimit

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// at returns an instant after the start, in seconds.
func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

// send records text that was read from a connection with a limit of 1,000 bytes on its head.
func (t *Table) send(s int, id ConnID, text string) []Closing {
	closings, _ := t.Received(at(s), id, []byte(text), 1000)
	return closings
}

func closed(list []Closing) map[ConnID]Reason {
	m := make(map[ConnID]Reason)
	for _, c := range list {
		m[c.Conn] = c.Reason
	}
	return m
}

// TestOrderOfClosing guards against an order that closes the connections of ordinary clients before those of a crowd.
func TestOrderOfClosing(t *testing.T) {
	Convey("Past the bound on connections, heads, silent, kept and newest ones are closed in this order", t, func() {
		table := Table{Limits: Limits{Connections: 5}}
		for id := range ConnID(5) {
			So(table.Open(at(int(id)), id+1), ShouldBeEmpty)
		}
		table.send(5, 1, "GET /")
		table.send(5, 2, "GET /long")
		table.send(5, 3, "GET /long")
		So(table.Begin(4), ShouldBeTrue)
		So(table.Kept(at(6), 4), ShouldBeEmpty)
		for i, want := range []map[ConnID]Reason{{2: InHead}, {3: InHead}, {1: InHead}, {5: Silent}} {
			So(closed(table.Open(at(7+i), ConnID(6+i))), ShouldResemble, want)
		}
		for id := range ConnID(4) {
			So(table.Begin(6+id), ShouldBeTrue)
			So(table.Kept(at(20+int(id)), 6+id), ShouldBeEmpty)
		}
		So(closed(table.Open(at(30), 10)), ShouldResemble, map[ConnID]Reason{4: Kept})
		So(table.Waiting(), ShouldEqual, 5)
	})
	Convey("Connections with a request are not closed, and the newest is closed where no other can be", t, func() {
		table := Table{Limits: Limits{Connections: 1}}
		So(table.Open(at(0), 1), ShouldBeEmpty)
		So(table.send(0, 1, "GET / HTTP/1.1\r\n\r\n"), ShouldBeEmpty)
		So(table.Waiting(), ShouldEqual, 0)
		So(table.Open(at(1), 2), ShouldBeEmpty)
		So(closed(table.Open(at(2), 3)), ShouldResemble, map[ConnID]Reason{2: Silent})
		table.Limits.Connections = -1
		table.Remove(3)
		So(table.Begin(1), ShouldBeTrue)
		So(table.Begin(2), ShouldBeFalse) // its request must not run
	})
}

// TestHeads guards against heads without a bound, and against a bound that a single legal head meets.
func TestHeads(t *testing.T) {
	Convey("The largest heads are closed past the bound on their memory", t, func() {
		table := Table{Limits: Limits{HeadMemory: 1000}}
		for id := range ConnID(4) {
			table.Open(at(0), id)
		}
		So(table.send(1, 1, strings.Repeat("x", 300)), ShouldBeEmpty)
		So(table.send(1, 2, strings.Repeat("x", 600)), ShouldBeEmpty)
		So(closed(table.send(2, 3, strings.Repeat("x", 200))), ShouldResemble, map[ConnID]Reason{2: HeadMemory})
		So(table.Heads(), ShouldEqual, 500)
		_, open := table.Received(at(3), 2, []byte("x"), 1000)
		So(open, ShouldBeFalse)
		So(table.send(4, 3, "\r\n\r\n"), ShouldBeEmpty)
		So(table.Heads(), ShouldEqual, 300)
		table.Remove(1)
		So(table.Heads(), ShouldEqual, 0)
	})
	Convey("There is room for one head whatever the bound, up to the limit on a single one", t, func() {
		table := Table{Limits: Limits{HeadMemory: 100}}
		table.Open(at(0), 1)
		So(table.send(0, 1, strings.Repeat("x", 1000)), ShouldBeEmpty)
		So(closed(table.send(0, 1, "x")), ShouldResemble, map[ConnID]Reason{1: HeadTooLarge})
	})
	Convey("Short lines take more memory than their bytes", t, func() {
		table := Table{}
		table.Open(at(0), 1)
		table.send(0, 1, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 10))
		So(table.Heads(), ShouldEqual, 16+40+11*lineMemory)
	})
	Convey("So do long ones, which are copied as they grow", t, func() {
		table := Table{}
		table.Open(at(0), 1)
		_, _ = table.Received(at(0), 1, []byte(strings.Repeat("x", int(readAhead)+1000)), CallerHead)
		So(table.Heads(), ShouldEqual, readAhead+1000*growth)
	})
	Convey("Empty lines before a request count, the body does not", t, func() {
		table := Table{}
		table.Open(at(0), 1)
		So(closed(table.send(0, 1, strings.Repeat("\r\n", 501))), ShouldResemble, map[ConnID]Reason{1: HeadTooLarge})
		table.Remove(1)
		table.Open(at(0), 2)
		So(table.send(0, 2, "\r\nPOST / HTTP/1.1\r\nA: b\r\n\r"), ShouldBeEmpty)
		So(table.Heads(), ShouldBeGreaterThan, 0)
		So(table.send(0, 2, "\n"+strings.Repeat("x", 2000)), ShouldBeEmpty)
		So(table.Heads(), ShouldEqual, 0)
		So(table.send(0, 2, strings.Repeat("\n", 2000)), ShouldBeEmpty)
	})
}

// FuzzScanner guards against a head that seems complete too early, however it is cut: its connection could no longer be
// closed.
func FuzzScanner(f *testing.F) {
	f.Add("\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\nbody", 7)
	f.Add("GET /\n\n", 6)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		var whole, parts scanner
		n, _ := whole.read([]byte(text))
		if cut < 0 || cut > n {
			return
		}
		m, _ := parts.read([]byte(text[:cut]))
		if !parts.complete {
			rest, _ := parts.read([]byte(text[cut:]))
			m += rest
		}
		if m != n || parts.complete != whole.complete {
			t.Fatalf("%d bytes in one read, %d in two", n, m)
		}
		lines := strings.Split(strings.ReplaceAll(text[:n], "\r", ""), "\n")
		if whole.complete && strings.Trim(strings.Join(lines, ""), "\n") == "" {
			t.Fatal("complete without a line")
		}
	})
}

// TestDefaults guards against defaults that exceed the limits of the smallest entry VM, or that are none at all.
func TestDefaults(t *testing.T) {
	Convey("Defaults follow from memory and descriptors, and there are some without them", t, func() {
		So(DefaultLimits(88_000_000, 3075), ShouldResemble, Limits{HeadMemory: 4_400_000, Connections: 859})
		So(DefaultLimits(536_000_000, 10_250), ShouldResemble, Limits{HeadMemory: 26_800_000, Connections: 3416})
		So(DefaultLimits(0, 0), ShouldResemble, Limits{HeadMemory: unknownHeadMemory, Connections: unknownConnections})
		So(DefaultLimits(0, 2).Connections, ShouldEqual, 1)
	})
}
