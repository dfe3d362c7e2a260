package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
)

// keptRequest sends a request on a connection that its caller wants to keep. It returns the status
// and whether the answer says that the connection closes.
func (w *harness) keptRequest(path, id string) (status int, closes bool) {
	c, err := w.net.Dialer(callerHost)(context.Background(), "tcp", entryListen)
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-1\r\nX-Request-Id: %s\r\n"+
		"X-Token-Count: 100,50\r\nX-Prompt-Prefix: %s:100\r\nContent-Length: 0\r\n\r\n", path, id, id)
	if err != nil {
		panic(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	So(err, ShouldBeNil)
	_, err = io.Copy(io.Discard, resp.Body)
	So(err, ShouldBeNil)
	return resp.StatusCode, resp.Close
}

// TestClosingNotSaid guards against a stop that leaves callers to believe that their connections
// stay open, and to send their next requests as those are closed.
func TestClosingNotSaid(t *testing.T) {
	for _, x := range []struct {
		name, path string
		fault      platformtest.Fault
		status     int
	}{
		{"a call", "/book/1", platformtest.Fault{}, http.StatusOK},
		{"a call that is refused", "/nowhere/1", platformtest.Fault{}, http.StatusNotFound},
		{"a stream", "/brief/1", platformtest.Fault{}, http.StatusOK},
		{"a stream that is refused", "/brief/1", platformtest.Fault{Refuse: true}, http.StatusServiceUnavailable},
		{"a stream that fails", "/brief/1", platformtest.Fault{Status: http.StatusInternalServerError}, http.StatusInternalServerError},
	} {
		withHarness(t, x.name, func(w *harness) {
			w.relay.Closing = func() bool { return true }
			w.addEngines()
			w.add("a0", "app", 0, work)
			w.faultOthers(nil, x.fault)
			status, closes := w.keptRequest(x.path, "r1")
			So(status, ShouldEqual, x.status)
			So(closes, ShouldBeTrue)
		})
	}
}
