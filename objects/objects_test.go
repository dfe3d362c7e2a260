package objects_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/memnet"
	"quetzalhold/objects"
	"quetzalhold/result"
	"quetzalhold/standin"
)

// inBubble runs f in a synctest bubble with a stand-in of the platform and a
// client of it.
func inBubble(t *testing.T, name string, f func(n *memnet.Network, p *standin.Platform, c *objects.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			n := &memnet.Network{}
			l, err := n.Listen("10.0.0.1:80")
			So(err, ShouldBeNil)
			p := standin.NewPlatform(0)
			s := &http.Server{Handler: p}
			go func() { _ = s.Serve(l) }()
			c := objects.NewClient("10.0.0.1:80", objects.WithDial(n.Dialer("10.0.0.2")))
			defer func() {
				p.SetFault(standin.PlatformFault{})
				c.CloseIdle()
				_ = s.Close()
				time.Sleep(time.Minute)
			}()
			f(n, p, c)
		})
	})
}

type value struct {
	N int `json:"n"`
}

func TestWrites(t *testing.T) {
	ctx := context.Background()
	inBubble(t, "A write whose response was lost is recognised by its write id", func(_ *memnet.Network, p *standin.Platform, c *objects.Client) {
		p.SetFault(standin.PlatformFault{LoseAnswers: 1})
		o, err := c.Put(ctx, "k", "n", 0, value{1})
		So(err, ShouldBeNil)
		So(o.Version, ShouldEqual, objects.Version(1))
	})
	inBubble(t, "Of two writers that expect the same version one succeeds, the other gets VersionConflict", func(_ *memnet.Network, _ *standin.Platform, c *objects.Client) {
		_, err := c.Put(ctx, "k", "n", 0, value{1})
		So(err, ShouldBeNil)
		_, err = c.Put(ctx, "k", "n", 0, value{2})
		So(result.CodeOf(err), ShouldEqual, result.VersionConflict)
		o, err := c.Get(ctx, "k", "n")
		So(err, ShouldBeNil)
		So(string(o.Value), ShouldEqual, `{"n":1}`)
	})
	inBubble(t, "A write during an outage fails after its timeout with an unknown outcome", func(_ *memnet.Network, p *standin.Platform, c *objects.Client) {
		p.SetFault(standin.PlatformFault{Down: true})
		begin := time.Now()
		_, err := c.Put(ctx, "k", "n", 0, value{1})
		So(result.CodeOf(err), ShouldEqual, result.PlatformDown)
		So(result.FromError(err).NotRun, ShouldBeFalse)
		So(time.Since(begin), ShouldBeLessThan, 10*time.Second)
	})
	inBubble(t, "A deleted object keeps its version and is created again only at a higher one", func(_ *memnet.Network, _ *standin.Platform, c *objects.Client) {
		_, err := c.Put(ctx, "k", "n", 0, value{1})
		So(err, ShouldBeNil)
		o, err := c.Delete(ctx, "k", "n", 1)
		So(err, ShouldBeNil)
		So(o.Deleted, ShouldBeTrue)
		_, err = c.Put(ctx, "k", "n", 0, value{2})
		So(result.CodeOf(err), ShouldEqual, result.VersionConflict)
		o, err = c.Put(ctx, "k", "n", 2, value{2})
		So(err, ShouldBeNil)
		So(o.Version, ShouldEqual, objects.Version(3))
	})
	inBubble(t, "A value over the size limit is rejected without a request", func(_ *memnet.Network, p *standin.Platform, c *objects.Client) {
		_, err := c.Put(ctx, "k", "n", 0, make([]byte, objects.MaxValueSize))
		So(result.CodeOf(err), ShouldEqual, result.ObjectTooLarge)
		So(p.Counts().Writes, ShouldEqual, 0)
	})
}

func TestWatch(t *testing.T) {
	inBubble(t, "A watch whose connection goes silent fails after the idle timeout", func(n *memnet.Network, _ *standin.Platform, c *objects.Client) {
		seen := make(chan objects.Object, 10)
		ended := make(chan error, 1)
		begin := time.Now()
		go func() {
			ended <- c.Watch(context.Background(), 0, []objects.Kind{"k"}, func(_ objects.Revision, o objects.Object) error {
				seen <- o
				return nil
			})
		}()
		_, err := c.Put(context.Background(), "k", "n", 0, value{1})
		So(err, ShouldBeNil)
		So((<-seen).Name, ShouldEqual, objects.Name("n"))
		time.Sleep(time.Minute)
		So(ended, ShouldBeEmpty)
		n.Blackhole("10.0.0.1", "10.0.0.2")
		err = <-ended
		So(result.CodeOf(err), ShouldEqual, result.PlatformDown)
		So(time.Since(begin), ShouldBeLessThan, time.Minute+20*time.Second)
	})
}

func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Calls of lower priority leave part of the budget to urgent calls", t, func() {
			b := objects.NewBudget(10, 20)
			taken := make(map[string]int)
			b.Observe = func(p objects.Priority, allowed bool) { taken[fmt.Sprint(p, " ", allowed)]++ }
			for range 100 {
				_ = b.Take(context.Background(), objects.Routine)
			}
			So(taken["routine true"], ShouldEqual, 10)
			for range 100 {
				_ = b.Take(context.Background(), objects.Important)
			}
			So(taken["important true"], ShouldEqual, 6)
			begin := time.Now()
			for range 4 {
				So(b.Take(context.Background(), objects.Urgent), ShouldBeNil)
			}
			So(time.Since(begin), ShouldEqual, 0)
			So(b.Take(context.Background(), objects.Urgent), ShouldBeNil)
			So(time.Since(begin), ShouldBeGreaterThan, 0)
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			So(result.CodeOf(b.Take(ctx, objects.Urgent)), ShouldEqual, result.RateExceeded)
		})
	})
}
