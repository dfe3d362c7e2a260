package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHeadLimits guards against callers within the configuration's limit on headers that the limits of clients refuse,
// and against larger heads that are read.
func TestHeadLimits(t *testing.T) {
	inWorld(t, "heads of callers follow the configuration", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(2 * time.Second)
		// headers returns headers of about n bytes, in lines with as many separators as there may be.
		headers := func(n int) http.Header {
			h := make(http.Header)
			for ; n > 0; n -= len("A: x\r\n") {
				h.Add("A", "x")
			}
			return h
		}
		for n, status := range map[int]int{15_000: http.StatusOK, 18_000: http.StatusRequestHeaderFieldsTooLarge, 100_000: http.StatusRequestHeaderFieldsTooLarge} {
			So(w.get(v, "/status/1", "key-1", headers(n)).status, ShouldEqual, status)
		}
		resp, err := w.transport().RoundTrip(must(http.NewRequest(http.MethodGet, "http://"+v.host+":83/metrics", http.NoBody)))
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(string(b), ShouldContainSubstring, `quetzalhold_clients_closed_total{`)
		So(string(b), ShouldContainSubstring, `reason="headTooLarge"`)
		So(strings.Count(v.log.String(), "connections of clients closed"), ShouldEqual, 1)
	})
}
