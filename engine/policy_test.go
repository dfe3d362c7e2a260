package engine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// at returns the time ms milliseconds after an arbitrary start.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestDecide(t *testing.T) {
	conn := Connection{Attempt: 3, Server: "a", Stream: "s"}
	active := ConnectionView{Connection: conn, StartedAt: at(0), OpenedAt: at(1), LastReceived: at(1000), FirstTokenBy: at(600), ServerLastSeen: at(1000)}
	silent := active
	probed := active
	probed.Probed = true
	probed.StartedAt = at(1300)
	probed.OpenedAt = time.Time{}
	answered := probed
	answered.OpenedAt = at(1302)
	answered.ServerLastSeen = at(1302)
	opening := ConnectionView{Connection: conn, StartedAt: at(0)}
	prefill := ConnectionView{Connection: conn, StartedAt: at(0), OpenedAt: at(1), FirstTokenBy: at(900), ServerLastSeen: at(1)}
	tests := []struct {
		name string
		view View
		want Decision
	}{
		{"no live attempt: next attempt", View{Now: at(0)}, Decision{Action: NewAttempt, Reason: NoLiveAttempt}},
		{"no live attempt during backoff: wait", View{Now: at(0), RetryAt: at(50)}, Decision{Action: Wait, At: at(50), Reason: Backoff}},
		{"all permitted attempts made: give up", View{Now: at(0), Attempts: 64}, Decision{Action: GiveUp, Reason: TooManyAttempts}},
		{"tokens arrive: wait", View{Now: at(1100), ProgressAt: at(1000), Started: true, Newest: &active}, Decision{Action: Wait, At: at(1300)}},
		{"longer token gaps extend the silence allowed", View{Now: at(1400), ProgressAt: at(1000), Started: true, TokenGap: 64 * time.Millisecond, Newest: &active}, Decision{Action: Wait, At: at(1512)}},
		{"silent: attach again", View{Now: at(1300), ProgressAt: at(1000), Started: true, Newest: &silent}, Decision{Action: Reattach, Target: conn, Reason: ServerSilent}},
		{"stream not confirmed: attach again", View{Now: at(400), Newest: &opening}, Decision{Action: Reattach, Target: conn, Reason: NotOpened}},
		{"prefill within the expected time: wait", View{Now: at(500), Newest: &prefill}, Decision{Action: Wait, At: at(900)}},
		{"first token late: attach again", View{Now: at(900), Newest: &prefill}, Decision{Action: Reattach, Target: conn, Reason: FirstTokenLate}},
		{"probe in progress: wait", View{Now: at(1400), ProgressAt: at(1000), Started: true, Newest: &probed}, Decision{Action: Wait, At: at(1500)}},
		{"probe unanswered: next attempt", View{Now: at(1500), ProgressAt: at(1000), Started: true, Newest: &probed}, Decision{Action: NewAttempt, Reason: ProbeUnanswered}},
		{"probe answered: wait for the stream", View{Now: at(1700), ProgressAt: at(1000), Started: true, Newest: &answered}, Decision{Action: Wait, At: at(2850)}},
		{"probe answered, resume time near: next attempt", View{Now: at(2850), ProgressAt: at(1000), Started: true, Newest: &answered}, Decision{Action: NewAttempt, Reason: ResumeTimeoutNear}},
		{"a long prefill brings the takeover forward", View{Now: at(2350), ProgressAt: at(1000), Started: true, ResumeCost: 500 * time.Millisecond, Newest: &answered}, Decision{Action: NewAttempt, Reason: ResumeTimeoutNear}},
		{"a takeover without a token doubles the wait", View{Now: at(2850), ProgressAt: at(1000), Started: true, Takeovers: 1, Newest: &answered}, Decision{Action: Wait, At: at(4850)}},
	}
	Convey("Decide", t, func() {
		for _, tt := range tests {
			Convey(tt.name, func() {
				So(Policy{}.WithDefaults().Decide(tt.view), ShouldResemble, tt.want)
			})
		}
	})
	Convey("A silent connection of a responding server has a reason of its own", t, func() {
		lost := silent
		lost.ServerLastSeen = at(1290)
		d := Policy{}.WithDefaults().Decide(View{Now: at(1300), ProgressAt: at(1000), Started: true, Newest: &lost})
		So(d.Reason, ShouldEqual, ConnectionSilent)
	})
}
