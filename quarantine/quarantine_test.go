package quarantine_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/quarantine"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// settled is late enough that each crash is listed.
var settled = start.Add(time.Minute)

const (
	// blockedFrom is the number of engines that crash before a part is blocked.
	blockedFrom = 3
	// held is how long a crash is held against a part.
	held = 10 * time.Minute
	// firstTrial and secondTrial are when a blocked suspect may be tried again, after the last
	// crash or trial.
	firstTrial  = 5 * time.Second
	secondTrial = 20 * time.Second
)

// crash returns the crash of server n, running for the first time, under parts.
func crash(n int, parts ...quarantine.Suspect) quarantine.Crash {
	return quarantine.Crash{
		Service: "models", Request: engine.RequestID(fmt.Sprintf("r%d", n)), Server: engine.ServerID(fmt.Sprintf("e%d", n)), Start: 1, Suspects: parts,
	}
}

func parts(ids ...quarantine.Suspect) []quarantine.Suspect { return ids }

func blocked(l *quarantine.List, ids ...quarantine.Suspect) bool {
	_, ok := l.Blocked(start.Add(time.Second), "models", ids)
	return ok
}

func observe(l *quarantine.List, list ...quarantine.Crash) {
	for _, c := range list {
		l.Observe(start, c)
	}
}

func TestBlocked(t *testing.T) {
	Convey("A part is blocked once three engines have crashed under it", t, func() {
		var l quarantine.List
		observe(&l, crash(1, "a", "bad"), crash(2, "b", "bad"))
		So(blocked(&l, "a", "bad"), ShouldBeFalse)
		observe(&l, crash(3, "c", "bad"))
		b, ok := l.Blocked(start, "models", parts("d", "bad"))
		So(ok, ShouldBeTrue)
		So(b.Suspect, ShouldEqual, quarantine.Suspect("bad"))
		So(b.Crashes, ShouldEqual, blockedFrom)
		So(b.Until, ShouldEqual, start.Add(firstTrial).Local())
		So(blocked(&l, "a"), ShouldBeFalse)
		_, ok = l.Blocked(start, "other", parts("bad"))
		So(ok, ShouldBeFalse)
		_, ok = l.Blocked(start.Add(held-time.Millisecond), "models", parts("bad"))
		So(ok, ShouldBeTrue)
		_, ok = l.Blocked(start.Add(held), "models", parts("bad"))
		So(ok, ShouldBeFalse)
	})
	Convey("Requests that one crash hit together count once", t, func() {
		var l quarantine.List
		for i := range 5 {
			c := crash(1, "a")
			c.Request = engine.RequestID(fmt.Sprintf("q%d", i))
			observe(&l, c)
		}
		So(blocked(&l, "a"), ShouldBeFalse)
	})
	Convey("Parts shared with sound requests are not blocked", t, func() {
		var l quarantine.List
		observe(&l, crash(1, "first", "x", "bad"), crash(2, "first", "x", "bad"), crash(3, "first", "x", "bad"))
		So(blocked(&l, "first", "x", "bad"), ShouldBeTrue)
		So(blocked(&l, "first", "y", "bad"), ShouldBeFalse) // bad or x: not known yet
		So(blocked(&l, "first"), ShouldBeFalse)
		So(blocked(&l, "first", "x"), ShouldBeFalse)
		l.MarkSound(start, "models", parts("first", "x"))
		So(blocked(&l, "first", "y", "bad"), ShouldBeTrue)
		So(blocked(&l, "first", "x"), ShouldBeFalse)
	})
	Convey("A fourth crash tells two parts apart that only occurred together", t, func() {
		var l quarantine.List
		observe(&l, crash(1, "x", "bad"), crash(2, "x", "bad"), crash(3, "x", "bad"), crash(4, "y", "bad"))
		So(blocked(&l, "z", "bad"), ShouldBeTrue)
		So(blocked(&l, "x"), ShouldBeFalse)
	})
}

// crashUnder returns the crash of server n under a request with parts.
func crashUnder(n int, request string, parts ...quarantine.Suspect) quarantine.Crash {
	c := crash(n, parts...)
	c.Request += engine.RequestID("-" + request)
	c.Suspects = append(c.Suspects, requestNamed(request))
	return c
}

func requestNamed(name string) quarantine.Suspect {
	return quarantine.NewFingerprint("barkline", "POST", "/brief/1", []byte(name)).Suspect()
}

// TestPartBlamedForRequest guards against parts of prompts that are blocked although one request
// crashed the servers: sound requests share them.
func TestPartBlamedForRequest(t *testing.T) {
	Convey("One request that crashes servers says nothing about its parts", t, func() {
		var l quarantine.List
		for i := range 6 {
			observe(&l, crashUnder(i, "bad", "first"))
		}
		So(blocked(&l, "first", requestNamed("bad")), ShouldBeTrue)
		So(blocked(&l, "first", requestNamed("sound")), ShouldBeFalse)
		So(blocked(&l, "first"), ShouldBeFalse)
	})
	Convey("Nor do sound requests that are lost with its servers", t, func() {
		var l quarantine.List
		for i := range 4 {
			observe(&l, crashUnder(i, "bad"), crashUnder(i, fmt.Sprintf("sound-%d", i), "first"))
		}
		So(blocked(&l, "first", requestNamed("sound")), ShouldBeFalse)
	})
	Convey("Nor do two such requests", t, func() {
		var l quarantine.List
		for i := range 3 {
			observe(&l, crashUnder(i, "bad", "first"), crashUnder(10+i, "worse", "first"))
		}
		So(blocked(&l, "first", requestNamed("sound")), ShouldBeFalse)
	})
	Convey("Three different requests that each crash servers do", t, func() {
		var l quarantine.List
		observe(&l, crashUnder(1, "a", "part"), crashUnder(2, "a", "part"), crashUnder(3, "b", "part"))
		So(blocked(&l, "part", requestNamed("c")), ShouldBeFalse)
		observe(&l, crashUnder(4, "c", "part"))
		So(blocked(&l, "part", requestNamed("d")), ShouldBeTrue)
	})
}

func TestSound(t *testing.T) {
	Convey("An answer that gets past its beginning clears its parts", t, func() {
		var l quarantine.List
		observe(&l, crash(1, "a"), crash(2, "a"), crash(3, "a"))
		So(blocked(&l, "a"), ShouldBeTrue)
		So(l.MarkSound(start, "models", parts("a")), ShouldBeTrue)
		So(blocked(&l, "a"), ShouldBeFalse)
		So(l.Listed(settled), ShouldBeEmpty)
	})
	Convey("Engines that are lost under parts that were sound just before are not held against them", t, func() {
		var l quarantine.List
		l.MarkSound(start, "models", parts("a"))
		for i := range 10 {
			_, ok := l.Observe(start.Add(time.Duration(i)*time.Millisecond), crash(i, "a"))
			So(ok, ShouldBeFalse)
		}
		c, ok := l.Observe(start, crash(20, "a", "b"))
		So(ok, ShouldBeTrue)
		So(c.Suspects, ShouldResemble, parts("b"))
	})
	Convey("A crash that others know is kept without suspects until they have dropped it", t, func() {
		var l quarantine.List
		c, _ := l.Observe(start, crash(1, "a"))
		l.Replace(start, []quarantine.Crash{c}, false)
		l.MarkSound(start, "models", parts("a"))
		So(l.Cleared(), ShouldResemble, []quarantine.Name{c.Name()})
		l.Replace(start, []quarantine.Crash{c}, false)
		So(l.Listed(settled), ShouldBeEmpty)
		l.Replace(start, nil, false)
		So(l.Cleared(), ShouldBeEmpty)
	})
	Convey("A crash that is cleared while it is written is to be deleted", t, func() {
		var l quarantine.List
		c, _ := l.Observe(start, crash(1, "a"))
		So(l.Holds(c.Name()), ShouldBeTrue)
		So(l.Clear(start, c.Name()), ShouldBeTrue)
		So(l.Holds(c.Name()), ShouldBeFalse)
		l.MarkWritten(start, c)
		So(l.Holds(c.Name()), ShouldBeFalse)
		So(l.Listed(settled), ShouldBeEmpty)
		So(l.Cleared(), ShouldResemble, []quarantine.Name{c.Name()})
	})
}

// TestReport guards against clearings of which others never learn, and against losses reported before it is known that
// they are crashes.
func TestReport(t *testing.T) {
	Convey("Reports take turns", t, func() {
		const most, crashes = 16, 100
		var l quarantine.List
		for i := range crashes {
			observe(&l, crash(i, "a"))
		}
		turns := (crashes + most - 1) / most
		for _, clearing := range []bool{false, true} {
			seen := make(map[quarantine.Name]bool)
			for range turns {
				observed, cleared := l.Report(most)
				So(len(observed)+len(cleared), ShouldBeLessThanOrEqualTo, most)
				for i := range observed {
					seen[observed[i].Name()] = true
				}
				for _, n := range cleared {
					seen[n] = clearing
				}
			}
			So(seen, ShouldHaveLength, crashes)
			l.MarkSound(start, "models", parts("a"))
		}
	})
	Convey("A loss counts at once, and is passed on when it is confirmed", t, func() {
		var l quarantine.List
		var names []quarantine.Name
		for i := range 3 {
			c, ok := l.ObserveUnconfirmed(start, crashUnder(i, fmt.Sprintf("r%d", i), "a"))
			So(ok, ShouldBeTrue)
			names = append(names, c.Name())
		}
		_, blocked := l.Blocked(start, "models", parts("a"))
		So(blocked, ShouldBeTrue)
		observed, _ := l.Report(16)
		So(observed, ShouldBeEmpty)
		So(l.Listed(settled), ShouldBeEmpty)
		So(l.Unwritten(settled), ShouldBeEmpty)
		l.Confirm(names[0])
		So(l.Clear(start, names[1]), ShouldBeTrue)
		observed, cleared := l.Report(16)
		So(observed, ShouldHaveLength, 1)
		So(cleared, ShouldBeEmpty)
		So(l.Listed(settled), ShouldHaveLength, 1)
	})
}

func TestReplace(t *testing.T) {
	Convey("A list that lacks an observation does not remove it, one that lacks a shared crash does", t, func() {
		var l quarantine.List
		c, _ := l.Observe(start, crash(1, "a"))
		So(l.Replace(start, nil, false), ShouldBeFalse)
		So(l.Unwritten(settled), ShouldHaveLength, 1)
		So(l.Replace(start, []quarantine.Crash{c}, false), ShouldBeFalse)
		So(l.Unwritten(settled), ShouldBeEmpty)
		So(l.Replace(start, nil, true), ShouldBeFalse)
		So(l.Unwritten(settled), ShouldHaveLength, 1)
		l.MarkShared(start, c)
		So(l.Replace(start, nil, false), ShouldBeTrue)
		So(l.Listed(settled), ShouldBeEmpty)
	})
	Convey("Expired crashes are dropped, and the list stays bounded", t, func() {
		var l quarantine.List
		for i := range 2000 {
			observe(&l, crash(i, quarantine.Suspect(fmt.Sprintf("p%d", i))))
		}
		So(len(l.Listed(settled)), ShouldBeLessThanOrEqualTo, 512)
		for _, c := range l.Listed(settled) {
			l.MarkShared(start, c)
		}
		So(l.Expire(start), ShouldBeEmpty)
		So(len(l.Expire(start.Add(time.Hour))), ShouldEqual, 512)
		So(l.Listed(settled), ShouldBeEmpty)
	})
}

// TestOrder checks that lists agree that have heard the same crashes in any order.
func TestOrder(t *testing.T) {
	Convey("The order of reports does not matter", t, func() {
		r := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			var a, b quarantine.List
			var all []quarantine.Crash
			for i := range 12 {
				c := crash(i, quarantine.Suspect(fmt.Sprintf("p%d", r.IntN(4))), quarantine.Suspect(fmt.Sprintf("q%d", r.IntN(3))))
				c, _ = a.Observe(start, c)
				all = append(all, c)
			}
			r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			for _, c := range all {
				b.Add(start, c)
			}
			for p := range 4 {
				for q := range 3 {
					ids := parts(quarantine.Suspect(fmt.Sprintf("p%d", p)), quarantine.Suspect(fmt.Sprintf("q%d", q)))
					So(blocked(&a, ids...), ShouldEqual, blocked(&b, ids...))
				}
			}
		}
	})
}

func TestFingerprint(t *testing.T) {
	Convey("A fingerprint tells requests apart by organisation, method, path with query, and body", t, func() {
		f := quarantine.NewFingerprint("barkline", "POST", "/brief/1?page=2", []byte("log"))
		So(quarantine.NewFingerprint("barkline", "POST", "/brief/1?page=2", []byte("log")), ShouldEqual, f)
		for _, other := range []quarantine.Fingerprint{
			quarantine.NewFingerprint("other", "POST", "/brief/1?page=2", []byte("log")),
			quarantine.NewFingerprint("barkline", "GET", "/brief/1?page=2", []byte("log")),
			quarantine.NewFingerprint("barkline", "POST", "/brief/1?page=3", []byte("log")),
			quarantine.NewFingerprint("barkline", "POST", "/brief/1?page=2", []byte("logs")),
			quarantine.NewFingerprint("barkline", "POST", "/brief/1", []byte("page=2\nlog")),
		} {
			So(other, ShouldNotEqual, f)
		}
	})
}

func TestTrials(t *testing.T) {
	Convey("A blocked suspect is tried twice, each time by one entry VM", t, func() {
		var a, b quarantine.List
		list := []quarantine.Crash{crashUnder(1, "bad"), crashUnder(2, "bad"), crashUnder(3, "bad")}
		observe(&a, list...)
		for _, c := range a.Listed(settled) {
			b.MarkShared(start, c)
		}
		bad := parts(requestNamed("bad"))
		block, ok := a.Blocked(start, "models", bad)
		So(ok, ShouldBeTrue)
		So(block.Until, ShouldEqual, start.Add(firstTrial).Local())

		first := start.Add(firstTrial)
		block, ok = a.Blocked(first, "models", bad)
		So(ok, ShouldBeTrue)
		So(block.Until, ShouldHappenOnOrBefore, first)
		other, _ := b.Blocked(first.Add(time.Second), "models", bad)
		So(other.Trial.Name(), ShouldEqual, block.Trial.Name())
		a.MarkShared(first, block.Trial)
		b.MarkShared(first, block.Trial)

		for _, l := range []*quarantine.List{&a, &b} {
			block, ok = l.Blocked(first, "models", bad)
			So(ok, ShouldBeTrue)
			So(block.Crashes, ShouldEqual, blockedFrom)
			So(block.Until, ShouldEqual, first.Add(secondTrial).Local())
		}
		So(block.Trial.Name(), ShouldNotEqual, other.Trial.Name())
		second := first.Add(secondTrial)
		a.MarkShared(second, block.Trial)
		block, ok = a.Blocked(second, "models", bad)
		So(ok, ShouldBeTrue)
		So(block.Until, ShouldEqual, start.Add(held).Local())

		a.MarkSound(second, "models", bad)
		_, ok = a.Blocked(second, "models", bad)
		So(ok, ShouldBeFalse)
		So(a.Cleared(), ShouldContain, other.Trial.Name())
	})
	Convey("Requests are blocked as long as the block that lasts longest", t, func() {
		var l quarantine.List
		observe(&l, crashUnder(1, "bad"), crashUnder(2, "bad"), crashUnder(3, "bad"))
		for i := range 3 {
			l.Observe(start.Add(2*time.Second), crashUnder(10+i, fmt.Sprintf("r%d", i), "part"))
		}
		b, ok := l.Blocked(start.Add(firstTrial), "models", parts(requestNamed("bad"), "part"))
		So(ok, ShouldBeTrue)
		So(b.Suspect, ShouldEqual, quarantine.Suspect("part"))
	})
}

// TestLongPromptNeverBlocked guards against requests that are never blocked since they have too many
// parts, or one with too long an ID, to be kept.
func TestLongPromptNeverBlocked(t *testing.T) {
	many := make([]string, 100)
	for i := range many {
		many[i] = fmt.Sprintf("part-%d", i)
	}
	for _, ids := range [][]string{many, {"first", strings.Repeat("x", 1000)}} {
		Convey(fmt.Sprintf("%d parts", len(ids)), t, func() {
			var l quarantine.List
			for i := range blockedFrom {
				c := crash(i, append(parts(requestNamed("long")), quarantine.Parts(ids)...)...)
				_, ok := l.Observe(start, c)
				So(ok, ShouldBeTrue)
			}
			So(blocked(&l, requestNamed("long")), ShouldBeTrue)
		})
	}
}

// lossSpan is how far apart servers may be lost for one reason.
const lossSpan = 2 * time.Second

// waitingCrash returns the crash of server n under a request of whose answer nothing had come.
func waitingCrash(n int, request string, parts ...quarantine.Suspect) quarantine.Crash {
	c := crash(n, requestNamed(request))
	c.Request += engine.RequestID("-" + request)
	return c.OfWaiting(parts)
}

// TestWaitingCrashes guards against parts that crash servers before anything of an answer has come and are
// never blocked, and against parts that are blocked as servers with many requests were lost.
func TestWaitingCrashes(t *testing.T) {
	at := func(l *quarantine.List, after time.Duration, ids ...quarantine.Suspect) bool {
		_, ok := l.Blocked(start.Add(after), "models", ids)
		return ok
	}
	Convey("Servers that are lost together count once", t, func() {
		var l quarantine.List
		for i := range 9 {
			l.Observe(start.Add(time.Duration(i)*lossSpan/10), waitingCrash(i, fmt.Sprintf("r%d", i), "first"))
		}
		So(at(&l, lossSpan, "first"), ShouldBeFalse)
	})
	Convey("Three losses of three requests block a part", t, func() {
		var l quarantine.List
		for i := range 3 {
			after := time.Duration(i) * (lossSpan + time.Millisecond)
			So(at(&l, after, "bad"), ShouldBeFalse)
			l.Observe(start.Add(after), waitingCrash(i, fmt.Sprintf("r%d", i), "bad"))
		}
		So(at(&l, 3*lossSpan, "bad"), ShouldBeTrue)
		So(at(&l, 3*lossSpan, "first"), ShouldBeFalse)
		l.MarkSound(start.Add(3*lossSpan), "models", parts("bad"))
		So(at(&l, 3*lossSpan, "bad"), ShouldBeFalse)
	})
	Convey("Three losses of one request don't", t, func() {
		var l quarantine.List
		for i := range 3 {
			l.Observe(start.Add(time.Duration(i)*(lossSpan+time.Millisecond)), waitingCrash(i, "r", "first"))
		}
		So(at(&l, 3*lossSpan, "first"), ShouldBeFalse)
	})
	Convey("A part is cleared though the request that was lost with the server never ends", t, func() {
		var l quarantine.List
		c := waitingCrash(1, "r", "first")
		l.Observe(start, c)
		So(l.MarkSound(start, "models", parts("first")), ShouldBeTrue)
		So(l.Listed(settled), ShouldBeEmpty)
	})
	Convey("A part that was sound in the last seconds is not held to blame", t, func() {
		var l quarantine.List
		l.MarkSound(start, "models", parts("first"))
		_, ok := l.Observe(start.Add(lossSpan), waitingCrash(1, "r", "first"))
		So(ok, ShouldBeFalse)
	})
	Convey("Sound requests that are lost with the servers of a bad part don't blame theirs", t, func() {
		var l quarantine.List
		for i := range 4 {
			now := start.Add(time.Duration(i) * (lossSpan + time.Millisecond))
			l.Observe(now, waitingCrash(i, fmt.Sprintf("bad-%d", i), "first", "bad"))
			l.Observe(now, waitingCrash(i, fmt.Sprintf("sound-%d", i), "first", quarantine.Suspect(fmt.Sprintf("x%d", i))))
		}
		So(at(&l, 4*lossSpan, "first", "bad"), ShouldBeTrue)
		So(at(&l, 4*lossSpan, "first", "x1"), ShouldBeFalse)
		So(at(&l, 4*lossSpan, "first"), ShouldBeFalse)
	})
	Convey("Entry VMs of an earlier version hold it against no request and no part", t, func() {
		c := waitingCrash(1, "r", "first")
		b, err := json.Marshal(c)
		So(err, ShouldBeNil)
		var earlier struct {
			Parts []quarantine.Suspect `json:"parts"`
		}
		So(json.Unmarshal(b, &earlier), ShouldBeNil)
		So(earlier.Parts, ShouldHaveLength, 1)
		So(earlier.Parts[0].IsRequest(), ShouldBeTrue)
		So(earlier.Parts[0], ShouldNotEqual, requestNamed("r"))
	})
}

// TestPartLateInPrompt guards against parts that crash engines and are never suspected since they come late in a long prompt.
func TestPartLateInPrompt(t *testing.T) {
	for _, x := range []struct {
		name string
		// parts is the number of the other parts, of which own are each request's own, and the others are known to be sound.
		parts, own int
	}{
		{"a short prompt", 3, 0},
		{"40 sound parts", 40, 0},
		{"600 sound parts", 600, 0},
		{"40 parts of its own", 40, 40},
		{"200 parts of its own", 200, 200},
		{"400 parts, half of them its own", 400, 200},
	} {
		for _, waiting := range []bool{false, true} {
			Convey(fmt.Sprintf("%s, nothing of an answer had come: %t", x.name, waiting), t, func() {
				for at := 0; at <= x.parts; at += max(1, x.parts/20) {
					var l quarantine.List
					prompt := func(request int, bad string) []quarantine.Suspect {
						var ids []string
						for i := range x.parts {
							id := fmt.Sprintf("part-%d", i)
							if i%x.parts < x.own {
								id = fmt.Sprintf("own-%d-%d", request, i)
							}
							ids = append(ids, id)
						}
						if bad != "" {
							ids = slices.Insert(ids, at, bad)
						}
						return quarantine.Parts(ids)
					}
					for i := range 3 {
						now := start.Add(time.Duration(i) * (lossSpan + time.Millisecond))
						l.MarkSound(now, "models", prompt(-1, ""))
						request := quarantine.Crash{
							Service: "models", Request: engine.RequestID(fmt.Sprint("r", i)), Server: engine.ServerID(fmt.Sprint("e", i)), Start: 1,
							Suspects: append(parts(requestNamed(fmt.Sprint("r", i))), prompt(i, "bad")...),
						}
						if waiting {
							request.Suspects = request.Suspects[:1]
							request = request.OfWaiting(prompt(i, "bad"))
						}
						c, ok := l.Observe(now, request)
						So(ok, ShouldBeTrue)
						So(c.Check(), ShouldBeNil)
						So(len(c.Suspects), ShouldBeLessThanOrEqualTo, 32) // earlier versions read no more
						So(len(c.Waiting), ShouldBeLessThanOrEqualTo, 32)
					}
					now := start.Add(3 * lossSpan)
					b, ok := l.Blocked(now, "models", prompt(9, "bad"))
					So(ok, ShouldBeTrue)
					So(b.Suspect, ShouldEqual, quarantine.Suspect("bad"))
					_, ok = l.Blocked(now, "models", prompt(9, ""))
					So(ok, ShouldBeFalse)
					// A sound answer clears all parts.
					l.MarkSound(now, "models", prompt(0, "bad"))
					_, ok = l.Blocked(now, "models", prompt(9, "bad"))
					So(ok, ShouldBeFalse)
				}
			})
		}
	}
	Convey("A crash is bounded, whatever the prompt is", t, func() {
		var l quarantine.List
		ids := make([]string, 10_000)
		for i := range ids {
			ids[i] = strings.Repeat("x", i%250) + fmt.Sprint(i)
		}
		c, ok := l.Observe(start, crash(1, quarantine.Parts(ids)...))
		So(ok, ShouldBeTrue)
		So(c.Check(), ShouldBeNil)
		b, err := json.Marshal(c)
		So(err, ShouldBeNil)
		So(len(b), ShouldBeLessThan, 16<<10)
	})
}
