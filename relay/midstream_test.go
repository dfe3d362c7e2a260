package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
)

// midStreamError is what an engine answers in place of the rest of a stream.
type midStreamError struct {
	name        string
	status      int
	contentType string
	body        string
	noStamp     bool
	noLength    bool
}

const (
	errorText = "the model is not loaded"
	comment   = ": wait\n\n"
)

var midStreamErrors = []midStreamError{
	{name: "a failure", status: 500, contentType: "text/plain", body: errorText},
	{name: "a failure without a stamp", status: 500, contentType: "text/plain", body: errorText, noStamp: true},
	{name: "a failure without a length", status: 500, contentType: "text/plain", body: errorText, noLength: true},
	{name: "a failure as an event", status: 500, contentType: "text/event-stream", body: "data: " + errorText + "\n\n"},
	{name: "an unknown path", status: 404, contentType: "application/json", body: `{"error":"` + errorText + `"}`},
	{name: "a bad request", status: 400, contentType: "application/json", body: `{"error":"` + errorText + `"}`},
	{name: "no content", status: 204},
	{name: "a part", status: 206, contentType: "text/event-stream", body: "id: 77\ndata: " + errorText + "\n\n"},
	{name: "a redirect", status: 302, body: errorText},
	{name: "success with an error", status: 200, contentType: "application/json", body: `{"error":"` + errorText + `"}`},
	{name: "success with an error in lines", status: 200, contentType: "text/plain", body: errorText + "\n\n" + errorText + "\n\n"},
	{name: "success with an error, without a length", status: 200, contentType: "text/plain", body: errorText + "\n\n", noLength: true},
	{name: "success with a head", status: 200, contentType: "text/plain", body: "HTTP/1.1 500 Internal Server Error\r\nX-Error: " + errorText + "\r\n\r\n"},
	{name: "an error as an event", status: 200, contentType: "text/event-stream", body: "event: error\ndata: " + errorText + "\n\n"},
	{name: "an error as the first event", status: 200, contentType: "text/event-stream", body: "id: 1\nevent: error\ndata: " + errorText + "\n\n"},
	{name: "a head as an event", status: 200, contentType: "text/event-stream", body: "HTTP/1.1 500 Internal Server Error\r\nX-Error: " + errorText + "\r\n\r\n"},
	{name: "success without a stamp", status: 200, contentType: "text/event-stream", body: "id: 6\ndata: " + errorText + "\n\n", noStamp: true},
	{name: "nothing", status: 200, contentType: "text/event-stream"},
	{name: "nothing, without a length", status: 200, contentType: "text/event-stream", noLength: true},
	{name: "nothing but a comment, without a length", status: 200, contentType: "text/event-stream", body: comment, noLength: true},
	{name: "nothing but a comment", status: 200, contentType: "text/event-stream", body: comment},
	{name: "nothing but events again", status: 200, contentType: "text/event-stream", body: events(3, 4)},
}

func (e *midStreamError) answer(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if !e.noStamp {
		h.Set("X-Server-Stamp", "stamp.error")
	}
	if e.contentType != "" {
		h.Set("Content-Type", e.contentType)
	}
	if e.noLength {
		h.Set("Connection", "close")
		h.Set("Transfer-Encoding", "identity")
	}
	w.WriteHeader(e.status)
	_, _ = io.WriteString(w, e.body) // a status may allow no body
}

// resumeWith makes engines answer with an error in place of the rest of a stream, so many times.
func (w *harness) resumeWith(e *midStreamError, times int) {
	for _, s := range w.servers {
		w.stopListening(s)
		w.running[s.ID] = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			resumes := r.Method == http.MethodPost && r.Header.Get("Last-Event-Id") != ""
			if resumes && times != 0 {
				times--
				e.answer(rw, r)
				return
			}
			if resumes {
				s.SetFault(platformtest.Fault{})
			}
			s.ServeHTTP(rw, r)
		})}
		w.serve(s.Address, w.running[s.ID])
	}
}

// TestErrorInMidStream guards against errors of the engine that is to go on with a stream which reach the
// caller as a part of it, and against streams that end with them as if they were complete.
func TestErrorInMidStream(t *testing.T) {
	const delivered = 4
	for _, e := range midStreamErrors {
		withHarness(t, e.name+", then another engine goes on", func(w *harness) {
			w.addEngines()
			w.resumeWith(&e, 1)
			w.breakFirst(delivered)
			a := w.resumableStream(context.Background())
			So(a.err, ShouldBeNil)
			So(strings.ReplaceAll(a.body, comment, ""), ShouldEqual, events(1, numEvent))
		})
		withHarness(t, e.name+" at all engines", func(w *harness) {
			w.addEngines()
			w.resumeWith(&e, -1)
			w.breakFirst(delivered)
			a := w.resumableStream(context.Background())
			So(a.body, ShouldNotContainSubstring, errorText)
			So(events(1, numEvent), ShouldStartWith, strings.ReplaceAll(a.body, comment, ""))
			if agrees := strings.HasPrefix(e.name, "nothing"); !agrees || e.noLength {
				So(a.err, ShouldNotBeNil)
			}
		})
		withHarness(t, e.name+" to a caller that comes back", func(w *harness) {
			w.addEngines()
			w.resumeWith(&e, 1)
			a := w.resumableStream(context.Background(), "Last-Event-Id", fmt.Sprint(delivered))
			So(a.err, ShouldBeNil)
			So(strings.ReplaceAll(a.body, comment, ""), ShouldEqual, events(delivered+1, numEvent))
		})
	}
}

// breakFirst breaks all streams off after an event, but those that are resumed later.
func (w *harness) breakFirst(after int) {
	for _, s := range w.servers {
		s.SetFault(platformtest.Fault{EndBefore: after + 1})
	}
}
