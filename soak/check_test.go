package soak

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
)

// text returns the events from first to last.
func text(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(platformtest.EventText(prompt, n))
	}
	return b.String()
}

// TestJudge checks that each broken promise is found, and nothing else.
func TestJudge(t *testing.T) {
	good := knowledge{own: 3, before: 3, newest: 3, same: true}
	for _, c := range []struct {
		name  string
		r     request
		o     outcome
		k     knowledge
		wrong bool
	}{
		{"an answer", request{id: "b-1"}, outcome{200, "answer to b-1", true}, good, false},
		{"another request's answer", request{id: "b-1"}, outcome{200, "answer to b-2", true}, good, true},
		{"a part of an answer that looks whole", request{id: "b-1"}, outcome{200, "answer", true}, good, true},
		{"a part of an answer that was broken off", request{id: "b-1"}, outcome{200, "answer", false}, good, false},
		{"a whole stream", request{id: "i-1", stream: true}, outcome{200, text(1, numEvents), true}, good, false},
		{"a resumed stream", request{id: "i-1", stream: true, after: 10}, outcome{200, text(11, numEvents), true}, good, false},
		{"a stream that is short and looks whole", request{id: "i-1", stream: true}, outcome{200, text(1, 9), true}, good, true},
		{"a stream broken off within an event", request{id: "i-1", stream: true}, outcome{200, text(1, 9) + "id: 10\nda", false}, good, false},
		{"an event that is missing", request{id: "i-1", stream: true}, outcome{200, text(1, 4) + text(6, 9), false}, good, true},
		{"an event that comes twice", request{id: "i-1", stream: true}, outcome{200, text(1, 4) + text(4, 9), false}, good, true},
		{"an older key after a newer one", request{id: "b-1"}, outcome{200, "answer to b-1", true}, knowledge{own: 2, before: 3, newest: 3, same: true}, true},
		{"an older key at another process", request{id: "b-1"}, outcome{200, "answer to b-1", true}, knowledge{own: 2, before: 3, newest: 3}, false},
		{"a known key refused", request{id: "b-1"}, outcome{http.StatusUnauthorized, "", true}, good, true},
		{"a key refused that may not be known yet", request{id: "b-1"}, outcome{http.StatusUnauthorized, "", true}, knowledge{own: 3, before: 2, newest: 3, same: true}, false},
		{"a key refused that was taken away since", request{id: "b-1"}, outcome{http.StatusUnauthorized, "", true}, knowledge{own: 3, before: 3, newest: 4, same: true}, false},
	} {
		Convey(c.name, t, func() {
			j := &judge{book: &platformtest.Recorder{}, seen: make(map[string]int)}
			j.take(c.r, c.o, c.k)
			j.finish()
			So(len(j.faults) > 0, ShouldEqual, c.wrong)
		})
	}
}
