package gateway_test

import (
	"io"
	"net/http"
	"regexp"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform"
)

// callConnections returns one of the metrics of an entry VM that count connections, for calls; 0 if it is missing.
func (w *world) callConnections(v *vm, name string) string {
	resp, err := w.transport().RoundTrip(must(http.NewRequest(http.MethodGet, "http://"+v.host+":83/metrics", http.NoBody)))
	So(err, ShouldBeNil)
	defer func() { _ = resp.Body.Close() }()
	line := regexp.MustCompile(`quetzalhold_gateway_connections_` + name + `_total{.*purpose="call"} (\d+)`)
	if m := line.FindSubmatch(must(io.ReadAll(resp.Body))); m != nil {
		return string(m[1])
	}
	return "0"
}

// TestConnectionsKeptUnasked guards against connections to servers that are kept where the settings do not list the
// agreement, and against ones that are not where they do.
func TestConnectionsKeptUnasked(t *testing.T) {
	for _, x := range []struct {
		name       string
		agreements []string
		opened     string
		reused     string
	}{
		{"no agreements", nil, "10", "0"},
		{"another agreement", []string{"other"}, "10", "0"},
		{"the agreement", []string{"other", platform.Pressure}, "1", "9"},
	} {
		inWorld(t, x.name, func(w *world) {
			w.agreements = x.agreements
			v := w.vm("v1", "cn-a", 1)
			time.Sleep(time.Second)
			for range 10 {
				So(w.get(v, "/status/1", "key-1", nil).status, ShouldEqual, http.StatusOK)
				time.Sleep(100 * time.Millisecond)
			}
			So(w.callConnections(v, "opened"), ShouldEqual, x.opened)
			So(w.callConnections(v, "reused"), ShouldEqual, x.reused)
		})
	}
}
