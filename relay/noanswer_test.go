package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
	"quetzalhold/relay"
)

// noAnswers are heads that are no answer in HTTP/1.1, each with what follows it.
func noAnswers(id string) map[string]string {
	head := func(status, more, body string) string {
		return "HTTP/1.1 " + status + "\r\nX-Request-Id: r1\r\nX-Server-Stamp: stamp." + id + "\r\nContent-Type: text/event-stream\r\n" + more + "\r\n" + body
	}
	event := platformtest.EventText(prompt, 1)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(event))
	return map[string]string{
		"status 000":                          head("000 None", length, event),
		"status 099":                          head("099 None", length, event),
		"status 101":                          head("101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x\r\n", event),
		"status 700":                          head("700 None", length, event),
		"a name with a blank":                 head("200 OK", "X Name: 1\r\n"+length, event),
		"a length's name with a blank":        head("200 OK", fmt.Sprintf("Content-Length : %d\r\n", len(event)/2), event),
		"a transfer coding's name and blank":  head("200 OK", "Transfer-Encoding : chunked\r\n", "5\r\nid: 1\r\n0\r\n\r\n"),
		"a name with a control byte":          head("200 OK", "X\x01Name: 1\r\n"+length, event),
		"a refusal with a blank in a name":    head("503 Busy", "X Name: 1\r\nX-Not-Executed: 1\r\n"+length, event),
		"an informational head with a blank":  "HTTP/1.1 103 Early\r\nX Name: 1\r\n\r\n" + head("200 OK", length, event),
		"a failure with a blank after a name": head("500 Failed", "X-Name : 1\r\n"+length, event),
	}
}

// TestNoAnswers guards against heads that are no answer and reach callers, or end their connections: another server takes what may
// be repeated, and the caller of a booking gets a failure that promises nothing.
func TestNoAnswers(t *testing.T) {
	for name, text := range noAnswers("a0") {
		serveText := func(w *harness, s *platformtest.Server) {
			w.stopListening(s)
			n := &atomic.Int64{}
			n.Store(int64(len(text)))
			w.serveCut(s.Address, text, n)
		}
		withHarness(t, name+", a call that may be repeated", func(w *harness) {
			failed := make(chan relay.ServerAnswer, 10)
			w.relay.Answered = func(a relay.ServerAnswer) { failed <- a }
			w.relay.SlowAfter = judgeAll
			serveText(w, w.add("a0", "app", 0, 10*time.Millisecond))
			w.add("a1", "app", 1, 10*time.Millisecond) // another failure domain is tried later
			a := w.request(context.Background(), http.MethodGet, "/status/1", "")
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.body, ShouldEqual, "answer to r1")
			time.Sleep(time.Second)
			So(nameOfFailed(failed), ShouldContain, "a0")
		})
		withHarness(t, name+", a booking", func(w *harness) {
			serveText(w, w.add("a0", "app", 0, 10*time.Millisecond))
			a := w.request(context.Background(), http.MethodPost, "/book/1", "a booking")
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, http.StatusBadGateway)
			So(a.header.Get("X-Server-Stamp"), ShouldBeEmpty)
		})
		withHarness(t, name+", a stream", func(w *harness) {
			// Its load reports are sound, so that it is chosen.
			s := w.add("a0", "models", 0, 30*time.Millisecond)
			w.stopListening(s)
			asked := atomic.Int64{}
			w.running[s.ID] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/brief/1" {
					s.ServeHTTP(rw, r)
					return
				}
				asked.Add(1)
				c, _, err := http.NewResponseController(rw).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})}
			w.serve(s.Address, w.running[s.ID])
			w.add("m1", "models", 1, 30*time.Millisecond)
			a := w.resumableStream(context.Background())
			So(asked.Load(), ShouldEqual, 1)
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.body, ShouldEqual, events(1, numEvent))
		})
	}
}

func nameOfFailed(answers chan relay.ServerAnswer) (names []string) {
	for len(answers) > 0 {
		if a := <-answers; a.Failed {
			names = append(names, string(a.Server))
		}
	}
	return names
}
