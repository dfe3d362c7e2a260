package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/feed"
	"quetzalhold/settings"
)

// TestMoveLocks lets another entry VM ask for the moves while their evidence is exchanged.
func TestMoveLocks(t *testing.T) {
	Convey("Neither waits for the other for ever", t, func() {
		offline := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("offline") }
		d, err := New(&settings.Gateway{ID: "e1", Domain: "cn-a", Store: "10.0.0.1:1"}, WithNetwork(offline, nil))
		So(err, ShouldBeNil)
		d.moves.ensure("app", "v2", time.Now(), time.Minute, 0)
		d.changes.SetMoves(d.moves.list)
		const rounds = 3000
		done := make(chan struct{})
		go func() {
			defer close(done)
			var wg sync.WaitGroup
			wg.Go(func() {
				for range rounds {
					d.changes.Respond(time.Now(), feed.Request{}, func(time.Time) []backend.View { return nil })
				}
			})
			wg.Go(func() {
				for range rounds {
					d.exchangeEvidence(context.Background(), "app")
				}
			})
			wg.Wait()
		}()
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatal("deadlock")
		}
	})
}
