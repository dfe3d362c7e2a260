package limit

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/result"
)

var roomyPolicy = Policy{MaxAnswers: 10, MaxQueue: 1000, MaxWait: time.Hour}

// client requests answers one after the other until ctx ends, keeps each in
// progress for the time hold, and returns how many completed.
func client(ctx context.Context, g *Gate, r Request, hold time.Duration) (served int) {
	for ctx.Err() == nil {
		leave, err := g.Enter(ctx, r)
		if err != nil {
			_ = clock.Sleep(ctx, 10*time.Millisecond)
			continue
		}
		if clock.Sleep(ctx, hold) == nil {
			served++
		}
		g.Charge(r.Organisation, r.Cost)
		leave()
	}
	return served
}

func TestFairQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A large organisation cannot delay a small one", t, func() {
			var g Gate
			g.SetPolicy(roomyPolicy)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			big := make(chan int, 200)
			for range 200 {
				go func() { big <- client(ctx, &g, Request{Organisation: "big", Cost: 100}, time.Second) }()
			}
			time.Sleep(10300 * time.Millisecond)
			worst := time.Duration(0)
			for range 20 {
				begin := time.Now()
				leave, err := g.Enter(ctx, Request{Organisation: "small", Cost: 100})
				So(err, ShouldBeNil)
				worst = max(worst, time.Since(begin))
				time.Sleep(time.Second)
				leave()
			}
			t.Logf("the small organisation waited %s at most behind 190 requests", worst)
			So(worst, ShouldBeLessThanOrEqualTo, time.Second)
			cancel()
			for range 200 {
				<-big
			}
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Organisations are served in proportion to their weights", t, func() {
			var g Gate
			g.SetPolicy(Policy{MaxAnswers: 4, MaxQueue: 1000, MaxWait: time.Hour})
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
			defer cancel()
			served := map[names.ID]int{}
			counts := make(chan struct {
				id names.ID
				n  int
			})
			for i := range 40 {
				id, w := names.ID("one"), 1.0
				if i%2 == 0 {
					id, w = "two", 2
				}
				go func() {
					n := client(ctx, &g, Request{Organisation: id, Weight: w, Cost: 100}, time.Second)
					counts <- struct {
						id names.ID
						n  int
					}{id, n}
				}()
			}
			for range 40 {
				c := <-counts
				served[c.id] += c.n
			}
			So(float64(served["two"])/float64(served["one"]), ShouldBeBetween, 1.8, 2.2)
		})
	})
}

func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A request that would wait too long is refused at once as not run, with a time to retry", t, func() {
			var g Gate
			g.SetPolicy(Policy{MaxAnswers: 1, MaxQueue: 3, MaxWait: time.Minute})
			leave, err := g.Enter(context.Background(), Request{Organisation: "a", Cost: 1})
			So(err, ShouldBeNil)
			begin := time.Now()
			_, err = g.Enter(context.Background(), Request{Organisation: "a", Cost: 1, Deadline: begin.Add(time.Second)})
			So(result.CodeOf(err), ShouldEqual, result.Overloaded)
			So(result.FromError(err).NotRun, ShouldBeTrue)
			So(result.FromError(err).RetryAt, ShouldHappenAfter, begin)
			So(time.Since(begin), ShouldEqual, 0)
			admitted := make(chan func(), 3)
			for range 3 {
				go func() {
					if l, err := g.Enter(context.Background(), Request{Organisation: "a", Cost: 1}); err == nil {
						admitted <- l
					}
				}()
			}
			synctest.Wait()
			_, err = g.Enter(context.Background(), Request{Organisation: "a", Cost: 1})
			So(result.CodeOf(err), ShouldEqual, result.Overloaded)
			resumed, err := g.Enter(context.Background(), Request{Organisation: "a", Resumed: true})
			So(err, ShouldBeNil)
			resumed()
			leave()
			for range 3 {
				(<-admitted)()
			}
			So(g.Counts(), ShouldResemble, Counts{})
		})
		Convey("A new policy applies to waiting requests too", t, func() {
			var g Gate
			g.SetPolicy(Policy{MaxAnswers: 1, MaxQueue: 9, MaxWait: time.Minute})
			_, err := g.Enter(context.Background(), Request{Organisation: "a", Cost: 1})
			So(err, ShouldBeNil)
			done := make(chan error, 1)
			go func() {
				_, err := g.Enter(context.Background(), Request{Organisation: "a", Cost: 1})
				done <- err
			}()
			synctest.Wait()
			g.SetPolicy(Policy{MaxAnswers: 2, MaxQueue: 9, MaxWait: time.Minute})
			So(<-done, ShouldBeNil)
		})
	})
}

func TestAnswersLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Concurrent answers stay within a domain's equal share, and within the assigned share once it is split", t, func() {
			var g Gate
			g.SetPolicy(roomyPolicy)
			r := Request{Organisation: "o", Cost: 1, Limits: Limits{Answers: 8}, Domains: 2}
			enter := func() (func(), error) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				return g.Enter(ctx, r)
			}
			var leave []func()
			for range 4 {
				l, err := enter()
				So(err, ShouldBeNil)
				leave = append(leave, l)
			}
			_, err := enter()
			So(result.CodeOf(err), ShouldEqual, result.Overloaded)
			So(result.FromError(err).NotRun, ShouldBeTrue)
			demands := g.Demands()
			So(demands, ShouldHaveLength, 1)
			g.SetShares(demands, []Share{{Key: demands[0].Key, Tokens: -1, Answers: 5}})
			l, err := enter()
			So(err, ShouldBeNil)
			_, err = enter()
			So(result.CodeOf(err), ShouldEqual, result.Overloaded)
			for _, f := range append(leave, l) {
				f()
			}
		})
	})
}

func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 10_000).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 50).Draw(t, "demands")
		sum := 0
		for _, p := range splitCount(limit, demands) {
			if p < 0 {
				t.Fatalf("negative part %d", p)
			}
			sum += p
		}
		if sum != limit {
			t.Fatalf("parts of %d sum to %d", limit, sum)
		}
		var all Rate
		asRates := make([]Rate, len(demands))
		for i, d := range demands {
			asRates[i] = Rate(d)
		}
		for _, r := range splitRate(Rate(limit), asRates) {
			all += r
		}
		if math.Abs(float64(all)-float64(limit)) > 1e-6*float64(limit) {
			t.Fatalf("shares of %d sum to %v", limit, all)
		}
	})
}

// fleet is entry VMs in failure domains. Their gates and allocators exchange demands
// and shares by function calls, at the production interval. A domain may be
// isolated from the others.
type fleet struct {
	gates      [][]*Gate // by domain
	allocators []*Allocator
	isolated   []atomic.Bool // by domain; atomic since the test writes it while exchange reads it
	limits     Limits
	used       atomic.Int64 // tokens
}

func newFleet(domains, each int, l Limits) *fleet {
	s := &fleet{isolated: make([]atomic.Bool, domains), limits: l}
	for range domains {
		var gates []*Gate
		for range each {
			g := &Gate{}
			g.SetPolicy(Policy{MaxAnswers: 1000, MaxQueue: 1000, MaxWait: time.Second})
			gates = append(gates, g)
		}
		s.gates = append(s.gates, gates)
		s.allocators = append(s.allocators, &Allocator{})
	}
	return s
}

func domainName(d int) Holder { return Holder(fmt.Sprint("domain-", d)) }

// exchange does one round: domains exchange their contended demands, and entry VMs
// report demands to their domain's allocator and receive shares.
func (s *fleet) exchange() {
	now := time.Now()
	limits := func(Key) Limits { return s.limits }
	n := len(s.allocators)
	for d, k := range s.allocators {
		k.Expire(now)
		contended := k.Contended(n, limits)
		for other, peer := range s.allocators {
			if other == d || s.isolated[d].Load() != s.isolated[other].Load() || len(contended) == 0 {
				continue
			}
			peer.RecordDomain(now, domainName(d), contended)
			k.RecordDomain(now, domainName(other), peer.DomainDemands(keysOf(contended)))
		}
	}
	for d, gates := range s.gates {
		for i, g := range gates {
			h := Holder(fmt.Sprint("entry-", i))
			demands := g.Demands()
			s.allocators[d].RecordEntry(now, h, demands)
			g.SetShares(demands, s.allocators[d].Shares(domainName(d), h, n, demands, limits))
		}
	}
}

func keysOf(all []Demand) []Key {
	keys := make([]Key, len(all))
	for i, d := range all {
		keys[i] = d.Key
	}
	return keys
}

// offer starts callers that request answers of 100 tokens at every entry VM, at
// the rate of its domain in answers per second.
func (s *fleet) offer(ctx context.Context, rates []int) {
	const cost engine.Tokens = 100
	for d, gates := range s.gates {
		for _, g := range gates {
			go func() {
				for ctx.Err() == nil {
					_ = clock.Sleep(ctx, time.Second/time.Duration(rates[d]))
					go func() {
						leave, err := g.Enter(ctx, Request{Organisation: "o", Cost: cost, Limits: s.limits, Domains: len(s.gates)})
						if err != nil {
							return
						}
						g.Charge("o", cost)
						s.used.Add(int64(cost))
						leave()
					}()
				}
			}()
		}
	}
}

// usedPerSecond returns the fleet's token rate over the next d.
func (s *fleet) usedPerSecond(d time.Duration) float64 {
	before := s.used.Load()
	time.Sleep(d)
	return float64(s.used.Load()-before) / d.Seconds()
}

func TestFleetWideLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A fleet-wide limit holds within 10% in steady use, after a shift, and when a domain is cut off", t, func() {
			const limited = 10_000
			s := newFleet(3, 2, Limits{Tokens: limited})
			ctx, cancel := context.WithCancel(context.Background())
			defer func() {
				cancel()
				time.Sleep(time.Minute)
			}()
			go func() {
				for ctx.Err() == nil {
					s.exchange()
					_ = clock.Sleep(ctx, 8*time.Second)
				}
			}()
			shifting, shift := context.WithCancel(ctx)
			s.offer(shifting, []int{100, 10, 5})
			time.Sleep(time.Minute)
			steady := s.usedPerSecond(time.Minute)
			shift()
			s.offer(ctx, []int{5, 10, 100})
			time.Sleep(time.Minute)
			shifted := s.usedPerSecond(time.Minute)
			s.isolated[2].Store(true)
			time.Sleep(10 * time.Second)
			cut := s.usedPerSecond(3 * time.Minute)
			t.Logf("limit %d tokens/s: %.0f in steady use, %.0f after a shift, %.0f with a domain cut off", limited, steady, shifted, cut)
			So(steady, ShouldBeBetween, 0.9*limited, 1.1*limited)
			So(shifted, ShouldBeBetween, 0.9*limited, 1.1*limited)
			So(cut, ShouldBeLessThan, 1.1*limited)
		})
	})
}
