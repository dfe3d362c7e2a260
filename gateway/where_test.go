package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/gateway"
	"quetzalhold/golden"
	"quetzalhold/platform/platformtest"
	"quetzalhold/relay"
	"quetzalhold/result"
)

// askWhere asks an entry VM where a request would go, and returns the answer as text.
func askWhere(w *world, v *vm, q relay.WhereQuery) string {
	q.Host = "h.example"
	a, err := gateway.AskWhere(context.Background(), w.net.Dialer(callerHost), v.host+":82", q)
	So(err, ShouldBeNil)
	var b bytes.Buffer
	So(a.WriteText(&b), ShouldBeNil)
	So(b.String(), ShouldNotContainSubstring, "key-1")
	return b.String()
}

// TestWhere guards against answers that lack what decides about a request or contain a key, and against questions that
// run requests or write log lines.
func TestWhere(t *testing.T) {
	inWorld(t, "A gateway tells where a request would go", func(w *world) {
		w.urgent = true
		w.version++
		w.configure(w.version, "key-1")
		for i := range 4 {
			w.server(fmt.Sprintf("e%d", i), "models", []string{"cn-a", "wv-a"}[i%2], 20+i)
		}
		refusing := w.server("a1", "app", "cn-a", 11)
		w.store.Put("servers", "a2", w.server("a2", "app", "cn-a", 12).Entry("draining"))
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(5 * time.Second)
		refusing.SetFault(platformtest.Fault{Refuse: true, RetryAfter: "9"})
		for range 8 {
			w.postBooking(v, "key-1")
		}
		started := func() (n int) {
			for _, id := range []string{"a0", "a1", "a2", "e0", "e1", "e2", "e3"} {
				n += len(w.book.StartTimes(id))
			}
			return n
		}
		logged, runs := v.log.String(), started()
		for _, tt := range []struct {
			name string
			q    relay.WhereQuery
		}{
			{"stream", relay.WhereQuery{Path: "/brief/1", Key: "key-1", Tokens: "8200,650", Prompt: "aa:200,bb:8000"}},
			{"call", relay.WhereQuery{Path: "/book/1", Key: "key-1"}}, // two servers are left out
			{"refused", relay.WhereQuery{Path: "/brief/1", Key: "key-12"}},
		} {
			So(golden.Diff("testdata/where-"+tt.name+".golden", []byte(askWhere(w, v, tt.q))), ShouldBeEmpty)
		}
		ask := func(address, path string) error {
			_, err := gateway.AskWhere(context.Background(), w.net.Dialer(callerHost), address, relay.WhereQuery{Path: path, Key: "key-1"})
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldNotContainSubstring, "key-1")
			return err
		}
		So(result.CodeOf(ask(v.host+":82", "book")), ShouldEqual, result.BadRequest)
		for _, address := range []string{v.host + ":9", "no address", "10.1.0.1:x"} {
			So(ask(address, "/"), ShouldNotBeNil)
		}
		So(v.log.String(), ShouldEqual, logged)
		So(started(), ShouldEqual, runs)
	})
}
