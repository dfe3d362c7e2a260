package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/cost"
	"quetzalhold/memnet"
)

// TestSharedReportOutdated guards against placements by a load report that is too old, of an earlier start, or lacks
// what this entry VM has sent since, so that streams pile up at one engine.
func TestSharedReportOutdated(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }
	c := backend.Choice{Server: backend.Server{ID: "e0", Start: 7}, Load: backend.Load{Requests: 3, Pending: 1, Tokens: 5000}}
	Convey("A load report", t, func() {
		var r recentReports
		x, isNew := r.find(at(0), &c, sharedReportAge)
		So(isNew, ShouldBeTrue)
		shared := func(ms int, age time.Duration) bool {
			_, isNew := r.find(at(ms), &c, age)
			return !isNew
		}
		come := func(ms int, rep backend.Report, err error) {
			x.report, x.err, x.cameAt = rep, err, at(ms)
			close(x.done)
		}
		Convey("that is under way serves others until a placement waits no longer", func() {
			So(shared(149, sharedReportAge), ShouldBeTrue)
			So(shared(150, sharedReportAge), ShouldBeFalse)
		})
		Convey("that has come serves others for a while", func() {
			come(10, backend.Report{}, nil)
			So(shared(109, sharedReportAge), ShouldBeTrue)
			So(shared(111, waitingReportAge), ShouldBeTrue)
			So(shared(111, sharedReportAge), ShouldBeFalse)
		})
		Convey("that has failed is asked for again soon, also for streams that wait", func() {
			come(10, backend.Report{}, errors.New("lost"))
			So(shared(109, waitingReportAge), ShouldBeTrue)
			So(shared(111, waitingReportAge), ShouldBeFalse)
		})
		Convey("of an earlier start serves none", func() {
			come(10, backend.Report{}, nil)
			c := c
			c.Start++
			_, isNew := r.find(at(11), &c, sharedReportAge)
			So(isNew, ShouldBeTrue)
		})
		Convey("of an engine that has refused a request serves none", func() {
			come(10, backend.Report{}, nil)
			r.forget(c.ID)
			So(shared(11, sharedReportAge), ShouldBeFalse)
		})
		Convey("counts what was sent since", func() {
			come(10, backend.Report{Waiting: 2, Prefilling: 1, Used: 9000}, nil)
			rep, err := x.after(backend.Load{Requests: 5, Pending: 3, Tokens: 25000})
			So(err, ShouldBeNil)
			So(rep, ShouldResemble, backend.Report{Waiting: 4, Prefilling: 1, Used: 29000})
			rep, _ = x.after(backend.Load{}) // those under way have ended, and the engine may have others
			So(rep, ShouldResemble, backend.Report{Waiting: 2, Prefilling: 1, Used: 9000})
		})
		Convey("is forgotten in time", func() {
			come(10, backend.Report{}, nil)
			other := c
			other.ID = "e1"
			r.find(at(5000), &other, sharedReportAge)
			So(len(r.all), ShouldEqual, 1)
		})
	})
}

// TestSpeedsNotLearned guards against reports for placements whose runs are dropped before they show the speed of their
// engine, and against one that shows it each time it is shared.
func TestSpeedsNotLearned(t *testing.T) {
	for _, keep := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("connections kept: %v", keep), t, func() {
				var network memnet.Network
				l, err := network.Listen("10.1.64.1:80")
				So(err, ShouldBeNil)
				begun := time.Now()
				s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = fmt.Fprintf(w, `{"state":"ready","running":1,"kv_total":88000,"runs":[["r",100,%d,0]]}`, time.Since(begun)/(20*time.Millisecond))
				})}
				go func() { _ = s.Serve(l) }()
				r := New(network.Dialer("10.1.0.1"))
				if keep {
					r.KeepConnections(0)
				}
				defer time.Sleep(time.Minute)
				defer func() { _ = s.Close() }()
				defer r.CloseIdle()
				c := backend.Choice{Server: backend.Server{ID: "e0", Service: "models", Address: "10.1.64.1:80"}}
				j := &job{}
				for range 2 {
					for range 3 {
						list := r.queryReports(j.withReportAge(context.Background()), []backend.Choice{c}, 0, time.Now())
						So(list[0].Report, ShouldNotBeNil)
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(1970 * time.Millisecond)
				}
				samples := r.Costs.Drain(time.Now())
				So(len(samples), ShouldEqual, 1)
				So(samples[0].Kind, ShouldEqual, cost.Gap)
				So(float64(samples[0].Rate), ShouldAlmostEqual, 50, 1)
			})
		})
	}
}
