package backend_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/routing"
)

// limitedFleet is the entry VMs of several failure domains that all want to send to one server with a
// limit, in simulated time.
type limitedFleet struct {
	rng     *rand.Rand
	rate    backend.Rate
	issuers []*backend.Permits
	vms     []*limitedVM
	sent    []time.Time
}

type limitedVM struct {
	pool     backend.Pool
	domain   int
	askAt    time.Time
	asked    time.Time // when the demand in flight was made; zero for none
	demands  []backend.Demand
	answerAt time.Time
}

func newLimitedFleet(seed uint64, start time.Time, domains, vms int, rate backend.Rate) *limitedFleet {
	f := &limitedFleet{rng: rand.New(rand.NewPCG(seed, 1)), rate: rate}
	for range domains {
		f.issuers = append(f.issuers, &backend.Permits{})
	}
	for i := range vms {
		v := &limitedVM{domain: i % domains, askAt: start.Add(f.upTo(500 * time.Millisecond))}
		v.pool.Apply(backend.Server{ID: "a", Service: "app", Address: "10.0.0.1:80", Start: 1, Slots: 6, Revision: backend.Revision{Number: 1}})
		v.pool.SetLimit(backend.RateLimit{Server: "a", Start: 1, Rate: rate, At: start})
		f.vms = append(f.vms, v)
	}
	return f
}

func (f *limitedFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

// step plays one step of an entry VM, which sends a request if it may.
func (f *limitedFleet) step(v *limitedVM, now time.Time) {
	if !v.asked.IsZero() && !now.Before(v.answerAt) {
		v.pool.AddPermits(v.asked, f.issuers[v.domain].Grant(now, len(f.issuers), v.demands))
		v.asked, v.askAt = time.Time{}, now.Add(200*time.Millisecond)
	}
	if v.asked.IsZero() && !now.Before(v.askAt) {
		v.asked, v.demands, v.answerAt = now, v.pool.Demands(now), now.Add(f.upTo(150*time.Millisecond))
	}
	if _, ok := v.pool.Choose(backend.Criteria{Now: now, Service: routing.ServiceName("app")}); ok && v.pool.Take("a", now) {
		f.sent = append(f.sent, now)
	}
}

// TestPermitsExceedLimit guards against entry VMs that together send more than a server's limit,
// whatever their number and however often the issuers change.
func TestPermitsExceedLimit(t *testing.T) {
	const (
		step   = 20 * time.Millisecond
		length = 40 * time.Second
		window = 4 * time.Second
	)
	Convey("Limits hold for few and for hundreds of entry VMs", t, func() {
		for seed := range uint64(3) {
			for _, c := range []struct {
				domains, vms int
				rate         backend.Rate
			}{{1, 1, 4.1}, {3, 7, 0.3}, {3, 7, 4.1}, {6, 68, 1}, {6, 300, 5}, {13, 300, 4}, {13, 300, 40}} {
				start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
				f := newLimitedFleet(seed, start, c.domains, c.vms, c.rate)
				for now := start; now.Sub(start) < length; now = now.Add(step) {
					if f.rng.IntN(300) == 0 {
						f.issuers[f.rng.IntN(c.domains)] = &backend.Permits{}
					}
					for _, v := range f.vms {
						f.step(v, now)
					}
				}
				most, first := 0, 0
				for i, at := range f.sent {
					for at.Sub(f.sent[first]) > window {
						first++
					}
					most = max(most, i-first+1)
				}
				what := fmt.Sprintf("seed %d, %+v: %d sent, at most %d in %v", seed, c, len(f.sent), most, window)
				SoMsg(what, most, ShouldBeLessThanOrEqualTo, int(1.5*float64(c.rate)*window.Seconds())+5)
				// What the server takes is used: most of it where permits are frequent.
				SoMsg(what, len(f.sent), ShouldBeGreaterThan, int(0.5*float64(c.rate)*length.Seconds())-c.domains)
			}
		}
	})
}

// TestLowerLimitCounts checks the limit of a brittle server that has also named one.
func TestLowerLimitCounts(t *testing.T) {
	Convey("The lower one of what a server names and what its load requires", t, func() {
		var p backend.Pool
		s := server("a", "cn-a", "10.0.0.1:1", 5, 10)
		s.Service, s.Slots = "app", 6
		p.Apply(s)
		p.RecordAnswer("app", 60*time.Millisecond) // 100 a second
		name := func(rate backend.Rate) { p.SetLimit(backend.RateLimit{Server: "a", Start: 5, Rate: rate, At: start}) }
		name(200)
		So(p.LimitOf("a", start), ShouldEqual, backend.Rate(200))
		p.RecordBrittle("a", start)
		p.RecordRefusal("a", start, start)
		So(float64(p.LimitOf("a", start)), ShouldAlmostEqual, 50, 0.01)
		name(4)
		So(p.LimitOf("a", start), ShouldEqual, backend.Rate(4))
		name(backend.Unlimited)
		So(float64(p.LimitOf("a", start)), ShouldAlmostEqual, 50, 0.01)
	})
}

// TestGrantAnyRate guards against limits so high that the time between two permits is zero, which ended the process.
func TestGrantAnyRate(t *testing.T) {
	Convey("Permits are granted for any limit, and no more than were asked for", t, func() {
		for _, perSecond := range []float64{
			math.NaN(), -1, 0, math.SmallestNonzeroFloat64, 1e-9, 1, 1e6, 1e9, math.MaxInt32, math.MaxUint32, 1e18, math.MaxFloat64, math.Inf(1),
		} {
			for _, domains := range []int{-1, 0, 1, 13, math.MaxInt} {
				for _, count := range []int{0, 1, 10, math.MaxInt} {
					var p backend.Permits
					for at := range 4 {
						list := p.Grant(rateTestStart.Add(time.Duration(at)*time.Second), domains, []backend.Demand{{Server: "a", Start: 1, Rate: backend.Rate(perSecond), Count: count}})
						for _, x := range list {
							So(x.Count >= 1 && x.Count <= count, ShouldBeTrue)
						}
					}
				}
			}
		}
	})
	Convey("A limit that no load reaches is none", t, func() {
		for named, kept := range map[backend.Rate]backend.Rate{
			0: backend.Unlimited, 1e-3: backend.MinRate, 4.1: 4.1, 1e5: 1e5, math.MaxInt32: backend.Unlimited, math.MaxUint32: backend.Unlimited,
			backend.Rate(math.Inf(1)): backend.Unlimited,
		} {
			p := &backend.Pool{}
			p.Apply(backend.Server{ID: "a", Service: "app", Address: "10.0.0.1:80", Start: 1, Slots: 6, Revision: backend.Revision{Number: 1}})
			p.SetLimit(backend.RateLimit{Server: "a", Start: 1, Rate: named, At: rateTestStart})
			So(p.LimitOf("a", rateTestStart), ShouldEqual, kept)
		}
	})
}

var rateTestStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
