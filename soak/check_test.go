package soak

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
)

// text returns the events from first to last, as a stream's body contains them.
func text(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(platformtest.EventText(prompt, n))
	}
	return b.String()
}

// TestJudge checks that the checker reports each kind of violation, and reports none
// for correct responses.
func TestJudge(t *testing.T) {
	good := epochs{own: 3, before: 3, newest: 3, sameProcess: true}
	for _, c := range []struct {
		name  string
		r     request
		o     outcome
		k     epochs
		wrong bool
	}{
		{"an answer", request{id: "b-1"}, outcome{200, "answer to b-1", true}, good, false},
		{"another request's answer", request{id: "b-1"}, outcome{200, "answer to b-2", true}, good, true},
		{"a truncated answer that looks complete", request{id: "b-1"}, outcome{200, "answer", true}, good, true},
		{"a truncated answer on a broken connection", request{id: "b-1"}, outcome{200, "answer", false}, good, false},
		{"a complete stream", request{id: "i-1", stream: true}, outcome{200, text(1, streamEvents), true}, good, false},
		{"a resumed stream", request{id: "i-1", stream: true, lastEvent: 10}, outcome{200, text(11, streamEvents), true}, good, false},
		{"a truncated stream that looks complete", request{id: "i-1", stream: true}, outcome{200, text(1, 9), true}, good, true},
		{"a stream whose connection breaks within an event", request{id: "i-1", stream: true}, outcome{200, text(1, 9) + "id: 10\nda", false}, good, false},
		{"a stream that is cut off though nothing disturbs it", request{id: "i-1", stream: true, calm: true}, outcome{200, text(1, 9), false}, good, true},
		{"an event that is missing", request{id: "i-1", stream: true}, outcome{200, text(1, 4) + text(6, 9), false}, good, true},
		{"an event that comes twice", request{id: "i-1", stream: true}, outcome{200, text(1, 4) + text(4, 9), false}, good, true},
		{"an older key after a newer one", request{id: "b-1"}, outcome{200, "answer to b-1", true}, epochs{own: 2, before: 3, newest: 3, sameProcess: true}, true},
		{"an older key after the gateway restarted", request{id: "b-1"}, outcome{200, "answer to b-1", true}, epochs{own: 2, before: 3, newest: 3}, false},
		{"the newest key refused by a process that knows it", request{id: "b-1"}, outcome{http.StatusUnauthorized, "", true}, good, true},
		{"the newest key refused by a process that may not know it yet", request{id: "b-1"}, outcome{http.StatusUnauthorized, "", true}, epochs{own: 3, before: 2, newest: 3, sameProcess: true}, false},
		{"a key refused that has since been revoked", request{id: "b-1"}, outcome{http.StatusUnauthorized, "", true}, epochs{own: 3, before: 3, newest: 4, sameProcess: true}, false},
	} {
		Convey(c.name, t, func() {
			j := &checker{recorder: &platformtest.Recorder{}, newestEpoch: make(map[string]int)}
			j.check(c.r, c.o, c.k)
			j.finish()
			So(len(j.violations) > 0, ShouldEqual, c.wrong)
		})
	}
}
