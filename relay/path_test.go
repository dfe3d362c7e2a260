package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform/platformtest"
	"quetzalhold/routing"
)

// sendRaw sends a request with a target as it is, and returns the status of the answer.
func (w *harness) sendRaw(id, target string) (status int) {
	c, err := w.net.Dialer(callerHost)(context.Background(), "tcp", entryListen)
	So(err, ShouldBeNil)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", target, id))
	So(err, ShouldBeNil)
	answer, err := io.ReadAll(c)
	So(err, ShouldBeNil)
	_, err = fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status)
	So(err, ShouldBeNil)
	return status
}

// TestUnusualPaths guards against requests that run at the service of another route, with another path than was sent, or twice, as their path can
// be read in several ways.
func TestUnusualPaths(t *testing.T) {
	for _, x := range []struct {
		target  string
		service string // empty if no route matches
		once    bool   // it may not be repeated
	}{
		{"/book/status%2F1", "app", true},
		{"/book/in/1", "other", false},
		{"/book/in%2F1?x=%2F", "app", true},
		{"/book/in%2f1", "app", true},
		{"/book/in/%2e%2E/1", "other", true},
		{"/book/in/../1", "other", true},
		{"/book/in/a%2Fb", "other", false},
		{"/book/%69n/1", "other", false},
		{"/book/in/a|b\"c?", "other", false},
		{"/book//in/1", "app", true},
		{"/book/in;v=1/1", "app", true},
		{"/book%2Fin/1", "", false},
		{"http://h.example/book/in/1", "other", false},
	} {
		withHarness(t, x.target, func(w *harness) {
			c := testConfig()
			inner := c.Routes[3]
			inner.Name, inner.Prefix, inner.Splits = "in", "/book/in/", []routing.Split{{Service: "other", Weight: 1}}
			c.Routes, c.Services = append(c.Routes, inner), append(c.Services, routing.Service{Name: "other", HealthPath: "/health"})
			w.setTable(routing.NewTable(c))
			for i := range 3 {
				for _, service := range []string{"app", "other"} {
					s := w.add(fmt.Sprintf("%s-%d", service, i), service, i, 5*time.Millisecond)
					s.SetFault(platformtest.Fault{DropConnection: true})
				}
			}
			status := w.sendRaw("r1", x.target)
			runs := w.book.Runs("r1")
			if x.service == "" {
				So(status, ShouldEqual, http.StatusNotFound)
				So(runs, ShouldBeEmpty)
				return
			}
			for _, r := range runs {
				So(r.Server, ShouldStartWith, x.service)
				So(r.Path, ShouldEqual, strings.TrimPrefix(x.target, "http://h.example"))
			}
			So(len(runs) == 1, ShouldEqual, x.once)
			So(status, ShouldEqual, http.StatusBadGateway)
		})
	}
}
