package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// at returns an instant ms milliseconds after a fixed one.
func at(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name string
		s    StreamState
		want Action
		next int // for Await, in milliseconds
	}{
		{"events arrive", StreamState{Now: at(1000), SentAt: at(0), LastEventAt: at(970)}, Await, 1120},
		{"doubt", StreamState{Now: at(1000), SentAt: at(0), LastEventAt: at(850)}, Probe, 0},
		{"probe in flight", StreamState{Now: at(1000), SentAt: at(0), LastEventAt: at(840), ProbedAt: at(990), ProbeDue: at(1150)}, Await, 1150},
		{"probe not answered", StreamState{Now: at(1150), SentAt: at(0), LastEventAt: at(840), ProbedAt: at(990), ProbeDue: at(1150)}, FailOver, 0},
		{"probe answered, no copy", StreamState{Now: at(1200), SentAt: at(0), LastEventAt: at(840), ProbedAt: at(990), ProbeOK: true}, Await, 1290},
		{"probe answered, copy", StreamState{Now: at(1290), SentAt: at(0), LastEventAt: at(840), ProbedAt: at(990), ProbeOK: true, HasCopy: true}, FailOver, 0},
		{"silent for long without a copy", StreamState{Now: at(3340), SentAt: at(0), LastEventAt: at(840), ProbedAt: at(3300), ProbeOK: true}, FailOver, 0},
		{"server known to have failed, but events arrive", StreamState{Now: at(1000), SentAt: at(0), LastEventAt: at(970), ServerFailed: true}, Await, 1120},
		{"server known to have failed, and silent", StreamState{Now: at(1000), SentAt: at(0), LastEventAt: at(850), ServerFailed: true}, FailOver, 0},
		{"server known to have failed, nothing begun", StreamState{Now: at(1000), SentAt: at(0), FirstEventBy: at(9000), ServerFailed: true, FailedAt: at(900), ProbedAt: at(850), ProbeOK: true}, Probe, 0},
		{"server known to have failed, nothing begun, sent just now", StreamState{Now: at(1000), SentAt: at(900), FirstEventBy: at(9000), ServerFailed: true, FailedAt: at(950)}, Await, 1200},
		{"server known to have failed, nothing begun, probed since", StreamState{Now: at(1000), SentAt: at(0), FirstEventBy: at(9000), ServerFailed: true, FailedAt: at(900), ProbedAt: at(950), ProbeOK: true}, Await, 1250},
		{"server known to have failed, resumed from a copy", StreamState{Now: at(1000), SentAt: at(800), FromCopy: true, ServerFailed: true, FailedAt: at(900)}, FailOver, 0},
		{"server removed, nothing begun", StreamState{Now: at(1000), SentAt: at(0), FirstEventBy: at(9000), ServerFailed: true}, FailOver, 0},
		{"prompt is being read", StreamState{Now: at(200), SentAt: at(0), FirstEventBy: at(3000)}, Await, 300},
		{"prompt is being read, probe due", StreamState{Now: at(300), SentAt: at(0), FirstEventBy: at(3000)}, Probe, 0},
		{"prompt is being read, probe not answered", StreamState{Now: at(420), SentAt: at(0), FirstEventBy: at(3000), ProbedAt: at(300), ProbeDue: at(420)}, FailOver, 0},
		{"resumed from a copy, probed soon", StreamState{Now: at(150), SentAt: at(0), FromCopy: true}, Probe, 0},
		{"no first event in time", StreamState{Now: at(3000), SentAt: at(0), FirstEventBy: at(3000), ProbedAt: at(2900), ProbeOK: true}, FailOver, 0},
		{"no work reported, but the report may be old", StreamState{Now: at(590), SentAt: at(0), FirstEventBy: at(3000), ProbedAt: at(500), ProbeOK: true, IdleAt: at(550)}, Await, 800},
		{"events reported, but none has come", StreamState{Now: at(700), SentAt: at(0), FirstEventBy: at(3000), ProbedAt: at(600), ProbeOK: true, Unheard: true}, FailOver, 0},
		{"events reported, and some came since", StreamState{Now: at(700), SentAt: at(0), LastEventAt: at(690), ProbedAt: at(600), ProbeOK: true, Unheard: true}, Await, 840},
		{"no work reported", StreamState{Now: at(650), SentAt: at(0), FirstEventBy: at(3000), ProbedAt: at(600), ProbeOK: true, IdleAt: at(640)}, FailOver, 0},
	} {
		Convey(c.name, t, func() {
			v := Detector{}.Decide(c.s)
			So(v.Action, ShouldEqual, c.want)
			if c.want == Await {
				So(v.CheckAt, ShouldEqual, at(c.next))
			}
		})
	}
}

// TestReportProbes checks which probes request a load report: only a server that has had the
// request for a while, and that has sent no event, can show by its load that it hangs.
func TestReportProbes(t *testing.T) {
	for _, c := range []struct {
		name string
		s    StreamState
		want bool
	}{
		{"just sent", StreamState{Now: at(300), SentAt: at(0), FirstEventBy: at(9000)}, false},
		{"first event not yet due", StreamState{Now: at(600), SentAt: at(0), FirstEventBy: at(9000)}, true},
		{"reported lately", StreamState{Now: at(1700), SentAt: at(0), FirstEventBy: at(9000), ReportAt: at(600)}, false},
		{"reported some time ago", StreamState{Now: at(1800), SentAt: at(0), FirstEventBy: at(9000), ReportAt: at(600)}, true},
		{"generating", StreamState{Now: at(1800), SentAt: at(0), LastEventAt: at(1600)}, false},
		{"resumed from a copy", StreamState{Now: at(150), SentAt: at(0), FromCopy: true}, false},
	} {
		Convey(c.name, t, func() {
			v := Detector{}.Decide(c.s)
			So(v.Action, ShouldEqual, Probe)
			So(v.Report, ShouldEqual, c.want)
		})
	}
}

func TestProtection(t *testing.T) {
	for _, c := range []struct {
		name string
		p    CheckpointState
		want bool
	}{
		{"nothing to copy yet", CheckpointState{Now: at(5000)}, false},
		{"replica is up", CheckpointState{Now: at(5000), Generating: true, ReplicaAlive: true}, false},
		{"replica lost", CheckpointState{Now: at(5000), Generating: true}, true},
		{"checkpoint in progress", CheckpointState{Now: at(5000), Generating: true, InProgress: true}, false},
		{"just tried", CheckpointState{Now: at(5000), Generating: true, TriedAt: at(4800)}, false},
		{"checkpoint is new", CheckpointState{Now: at(5000), Generating: true, CheckpointAt: at(4000), CheckpointAlive: true, TriedAt: at(4000)}, false},
		{"checkpoint is old", CheckpointState{Now: at(6000), Generating: true, CheckpointAt: at(4000), CheckpointAlive: true, TriedAt: at(4000)}, true},
		{"checkpoint is lost", CheckpointState{Now: at(5000), Generating: true, CheckpointAt: at(4000), TriedAt: at(4000)}, true},
	} {
		Convey(c.name, t, func() { So(c.p.Due(), ShouldEqual, c.want) })
	}
}

func TestCall(t *testing.T) {
	Convey("A non-idempotent call is sent once", t, func() {
		c := Retrier{MaxRuns: 1}
		c.Sent(1)
		So(c.Hedge(), ShouldEqual, Await)
		So(c.Replied(Lost, 0, 0), ShouldEqual, Fail)
	})
	Convey("A refused call may be sent to another server", t, func() {
		c := Retrier{MaxRuns: 1, GiveUpAt: at(200)}
		c.Sent(1)
		So(c.Replied(NotRun, 0, 1), ShouldEqual, TryNext)
		So(c.NoServer(at(0)), ShouldEqual, Pause)
		So(c.NoServer(at(180)), ShouldEqual, Refuse)
	})
	Convey("An idempotent call is sent to at most MaxRuns servers", t, func() {
		c := Retrier{Repeatable: true, MaxRuns: 2}
		c.Sent(1)
		So(c.Hedge(), ShouldEqual, TryNext)
		c.Sent(1)
		So(c.Hedge(), ShouldEqual, Await)
		So(c.Replied(Answered, 500, 0), ShouldEqual, Await)
		So(c.Replied(Lost, 0, 0), ShouldEqual, Deliver)
	})
	Convey("A success ends a call while another server still works on it", t, func() {
		c := Retrier{Repeatable: true, MaxRuns: 2}
		c.Sent(1)
		c.Sent(1)
		So(c.Replied(Answered, 200, 0), ShouldEqual, Deliver)
	})
}

func TestSplitEvents(t *testing.T) {
	for _, c := range []struct {
		name, in  string
		want      []string
		truncated bool
	}{
		{"none", "", nil, false},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, false},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"1"}, false},
		{"without an id", "data: a\n\nid:7\n\n", []string{"", "7"}, false},
		{"that begin with 0", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", []string{"0", "1"}, false},
		{"with an id that is withdrawn", "id: 4\nid\nid:\ndata: a\n\n", []string{""}, false},
		{"torn", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, true},
		{"truncated before the empty line", "id: 1\ndata: a\n", nil, true},
	} {
		Convey(c.name, t, func() {
			r := newEventReader(stringReader(c.in))
			var ids []string
			var err error
			for {
				var e event
				if e, err = r.next(); err != nil {
					break
				}
				ids = append(ids, e.id.text)
			}
			So(ids, ShouldResemble, c.want)
			So(isTruncated(err), ShouldEqual, c.truncated)
		})
	}
}

func stringReader(s string) io.Reader { return strings.NewReader(s) }

func isTruncated(err error) bool { return errors.Is(err, errTruncated) }

func TestPace(t *testing.T) {
	Convey("The least time that a stream needs", t, func() {
		var p StreamStats
		_, ok := p.MinTime("r", 0)
		So(ok, ShouldBeFalse)
		for i := range 100 {
			// The oldest 36 are discarded; of the others three have fewer than 103 events.
			p.Add("r", Sample{Prompt: 1000, First: time.Second, Gap: 40 * time.Millisecond, Events: int64(64 + i)})
		}
		need, ok := p.MinTime("r", 0)
		So(ok, ShouldBeTrue)
		So(need, ShouldEqual, time.Second+103*40*time.Millisecond)
		need, _ = p.MinTime("r", 100)
		So(need, ShouldEqual, time.Second+3*40*time.Millisecond)
		need, _ = p.MinTime("r", 130)
		So(need, ShouldEqual, time.Second)
		first, ok := p.FirstEventTime("r", 2000)
		So(ok, ShouldBeTrue)
		So(first, ShouldEqual, 2*time.Second)
		_, ok = p.MinTime("other", 0)
		So(ok, ShouldBeFalse)
	})
	Convey("The usual time of the last streams rises with the load, whatever the earlier ones took", t, func() {
		var p StreamStats
		_, ok := p.RecentTime("r", 0)
		So(ok, ShouldBeFalse)
		for i := range 2*maxSamples + 5 {
			s := Sample{Prompt: 1000, First: time.Second, Gap: 40 * time.Millisecond, Events: 100}
			if i >= 2*maxSamples {
				s.Gap = 120 * time.Millisecond
			}
			p.Add("r", s)
		}
		need, ok := p.RecentTime("r", 0)
		So(ok, ShouldBeTrue)
		So(need, ShouldEqual, 13*time.Second)
		need, _ = p.RecentTime("r", 50)
		So(need, ShouldEqual, 7*time.Second)
	})
}
