package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/admit"
	"quetzalhold/backend"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/memnet"
	"quetzalhold/move"
	"quetzalhold/names"
	"quetzalhold/quarantine"
	"quetzalhold/routing"
)

var start = time.Unix(1_000_000, 0)

func update(i int) feed.Update {
	return feed.Update{Server: backend.Server{ID: engine.ServerID(fmt.Sprintf("s%d", i)), Service: "app", Address: "10.0.0.1:1", Revision: backend.Revision{Number: int64(i)}}}
}

func listServers(now time.Time) []backend.View {
	return []backend.View{{Server: update(1).Server}, {Server: update(2).Server, RemoveAt: now.Add(2 * time.Second)}}
}

func TestLog(t *testing.T) {
	Convey("A log of changes", t, func() {
		var l feed.Log
		l.Add(start, update(1))
		l.SetRevision(backend.Revision{Number: 1})
		l.SetFreshAt(start)
		whole := l.Respond(start.Add(time.Second), feed.Request{}, listServers)
		Convey("sends all current servers to a requester without a position, with pending removals", func() {
			So(whole.Full, ShouldBeTrue)
			So(whole.Updates, ShouldHaveLength, 2)
			So(whole.Updates[1].Removed, ShouldBeTrue)
			So(whole.Updates[1].RemoveInMs, ShouldEqual, 2000)
			So(whole.Age(), ShouldEqual, time.Second)
		})
		q := feed.Request{}.Next(&whole)
		Convey("sends only the changes since a position", func() {
			So(l.Changed(q), ShouldNotBeNil)
			l.Add(start, update(3))
			So(l.Changed(q), ShouldBeNil)
			a := l.Respond(start, q, listServers)
			So(a.Full, ShouldBeFalse)
			So(a.Updates, ShouldResemble, []feed.Update{update(3)})
		})
		Convey("sends removals and limits with times as of now, however long ago they were added", func() {
			l.Add(start, feed.Removal("s4", backend.Revision{Number: 4}, start, start.Add(2500*time.Millisecond)))
			l.Add(start, feed.ServerUpdate(start, &backend.View{Server: update(5).Server, Limit: 3, LimitAt: start.Add(-time.Second)}))
			a := l.Respond(start.Add(400*time.Millisecond), q, listServers)
			So(a.Updates[0].RemoveInMs, ShouldEqual, 2100)
			So(a.Updates[1].Limit.AgeMs, ShouldEqual, 1400)
			a = l.Respond(start.Add(time.Minute), q, listServers)
			So(a.Updates[0].RemoveInMs, ShouldEqual, 0)
			So(a.Updates[1].Limit.AgeMs, ShouldEqual, 61000)
		})
		Convey("sends all servers after more changes than it keeps", func() {
			for i := range 10000 {
				l.Add(start, update(i))
			}
			So(l.Respond(start, q, listServers).Full, ShouldBeTrue)
		})
		Convey("sends all servers to a requester with another epoch", func() {
			q.Epoch = "before"
			So(l.Respond(start, q, listServers).Full, ShouldBeTrue)
		})
		Convey("sends a configuration only if it is newer", func() {
			l.SetConfig(&routing.Config{Version: 5})
			So(l.Changed(q), ShouldBeNil)
			a := l.Respond(start, q, listServers)
			So(a.Config.Version, ShouldEqual, routing.Version(5))
			So(l.Respond(start, q.Next(&a), listServers).Config, ShouldBeNil)
		})
		Convey("sends the moves to requesters that do not have them", func() {
			moves := []feed.Move{{Service: "app", To: "v2", LengthMs: 40000, Step: 1, State: move.Started}}
			l.SetMoves(func(time.Time) []feed.Move { return moves })
			So(l.Changed(q), ShouldBeNil)
			a := l.Respond(start, q, listServers)
			So(a.Moves, ShouldResemble, moves)
			So(a.Check(), ShouldBeNil)
			So((&feed.Response{Epoch: "e", Moves: []feed.Move{{Service: "app"}}}).Check(), ShouldNotBeNil)
			q = q.Next(&a)
			So(l.Changed(q), ShouldNotBeNil)
			a = l.Respond(start, q, listServers)
			So(a.Moves, ShouldBeEmpty)
			So(q.Next(&a).Moves, ShouldEqual, q.Moves)
			q.Counts = []feed.ServiceCounts{{Service: "app", Counts: []move.Count{{Route: "r", Server: "i", New: true, N: 3, Failed: 1}}}}
			again, err := feed.ParseRequest(q.Query())
			So(err, ShouldBeNil)
			So(again, ShouldResemble, q)
			for name, bad := range map[string]string{"moves": "x", "ran": "{"} {
				v := q.Query()
				v.Set(name, bad)
				_, err := feed.ParseRequest(v)
				So(err, ShouldNotBeNil)
			}
		})
		Convey("sends the crashes to requesters that do not have them, and takes reports of crashes", func() {
			crashes := []quarantine.Crash{{Service: "models", Request: "r1", Server: "e1", Start: 3, Suspects: []quarantine.Suspect{"a", "b"}, Until: 5}}
			l.SetCrashes(func() []quarantine.Crash { return crashes })
			So(l.Changed(q), ShouldBeNil)
			a := l.Respond(start, q, listServers)
			So(a.Crashes, ShouldResemble, crashes)
			So(a.Check(), ShouldBeNil)
			So((&feed.Response{Epoch: "e", Crashes: []quarantine.Crash{{Service: "models", Server: "e1"}}}).Check(), ShouldNotBeNil)
			q = q.Next(&a)
			So(l.Changed(q), ShouldNotBeNil)
			a = l.Respond(start, q, listServers)
			So(a.Crashes, ShouldBeEmpty)
			So(q.Next(&a).Crashes, ShouldEqual, q.Crashes)
			q.NewCrashes, q.ClearedCrashes = crashes, []quarantine.Name{crashes[0].Name()}
			again, err := feed.ParseRequest(q.Query())
			So(err, ShouldBeNil)
			So(again, ShouldResemble, q)
			for name, bad := range map[string]string{"crashes": "x", "newCrashes": `[{"service":"models","server":"e1"}]`} {
				v := q.Query()
				v.Set(name, bad)
				_, err := feed.ParseRequest(v)
				So(err, ShouldNotBeNil)
			}
		})
		Convey("reports at once that the connection to the store is lost", func() {
			l.SetDisconnected(true)
			So(l.Changed(q), ShouldBeNil)
			So(l.Respond(start, q, listServers).Disconnected, ShouldBeTrue)
		})
	})
}

// TestSlowAnswer checks that the client waits for a long response on a slow link, and gives up
// on a response that does not begin.
func TestSlowAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A slow response", t, func() {
			network := &memnet.Network{}
			var headerDelay, bodyDelay atomic.Int64 // of the next response, as time.Duration
			var pieces atomic.Int64                 // in which the body comes, each after bodyDelay
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Duration(headerDelay.Load()))
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				for range pieces.Load() {
					time.Sleep(time.Duration(bodyDelay.Load()))
					_, _ = w.Write([]byte(" "))
					_ = http.NewResponseController(w).Flush()
				}
				_, _ = w.Write([]byte(`{"epoch":"e"}`))
			})}
			l, err := network.Listen("10.0.0.1:1")
			So(err, ShouldBeNil)
			go func() { _ = s.Serve(l) }()
			c := feed.NewClient(network.Dialer("10.0.0.2"))
			for _, x := range []struct {
				headerDelay, bodyDelay time.Duration
				pieces                 int64
				epoch                  feed.Epoch // empty for all servers
				ok                     bool
			}{
				{0, 0, 1, "", true},
				{0, 1200 * time.Millisecond, 1, "", true},
				{0, 4 * time.Second, 1, "", false},
				{2 * time.Second, 0, 1, "", false},
				{0, time.Second, 6, "", true},
				{0, time.Second, 6, "e", false},
			} {
				headerDelay.Store(int64(x.headerDelay))
				bodyDelay.Store(int64(x.bodyDelay))
				pieces.Store(x.pieces)
				_, err := c.Fetch(context.Background(), feed.Member{ID: "e", Address: "10.0.0.1:1"}, feed.Request{Epoch: x.epoch, Wait: 500 * time.Millisecond})
				So(err == nil, ShouldEqual, x.ok)
			}
			c.CloseIdle()
			_ = s.Close()
			time.Sleep(time.Minute)
		})
	})
}

// TestMembersOnce checks that the list of entry VMs is sent only when it has changed, and not
// with every response: with 300 entry VMs it is 25 KB.
func TestMembersOnce(t *testing.T) {
	Convey("The members are sent once", t, func() {
		self := feed.Member{ID: "e0", Address: "10.0.0.1:1", Domain: "cn-a"}
		m := &feed.Members{Self: self}
		for i := range 300 {
			m.Add(start, feed.Member{ID: feed.MemberID(fmt.Sprintf("e%d", i+1)), Address: fmt.Sprintf("10.0.1.%d:1", i), Domain: "cn-a"})
		}
		s := &feed.Server{Members: m, Log: &feed.Log{}, Respond: func(feed.Request) feed.Response { return feed.Response{Epoch: "e"} }}
		requester := feed.Member{ID: "e1", Address: "10.0.1.0:1", Domain: "cn-a"}
		fetch := func(q feed.Request) (feed.Response, int) {
			q.From = requester
			rec := httptest.NewRecorder()
			s.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, feed.Path+"?"+q.Query().Encode(), http.NoBody))
			var a feed.Response
			So(json.Unmarshal(rec.Body.Bytes(), &a), ShouldBeNil)
			return a, rec.Body.Len()
		}
		a, _ := fetch(feed.Request{})
		So(a.Members, ShouldHaveLength, 300)
		q := feed.Request{}.Next(&a)
		b, size := fetch(q)
		So(b.Members, ShouldBeEmpty)
		So(size, ShouldBeLessThan, 1000)
		m.Add(start, feed.Member{ID: "late", Address: "10.0.2.1:1", Domain: "cn-a"})
		c, _ := fetch(q.Next(&b))
		So(c.Members, ShouldHaveLength, 301)
	})
}

// TestCompressed guards against lists of servers that are sent uncompressed to entry VMs which take them compressed,
// and against compressed ones that can't be read.
func TestCompressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A full list arrives as a fraction of its size, also twice, and uncompressed where the requester asks so", t, func() {
			n := &memnet.Network{}
			l, err := n.Listen("10.0.0.1:1")
			So(err, ShouldBeNil)
			a := feed.Response{Epoch: "e", Full: true}
			for i := range 300 {
				a.Updates = append(a.Updates, update(i))
			}
			plain, err := json.Marshal(&a)
			So(err, ShouldBeNil)
			h := &feed.Server{Members: &feed.Members{Self: feed.Member{ID: "m"}}, Log: &feed.Log{}, Respond: func(feed.Request) feed.Response { return a }}
			s := &http.Server{Handler: h}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c := feed.NewClient(n.Dialer("10.0.0.2"))
			defer c.CloseIdle()
			for range 2 {
				got, err := c.Fetch(context.Background(), feed.Member{ID: "m", Address: "10.0.0.1:1"}, feed.Request{})
				So(err, ShouldBeNil)
				So(got.Updates, ShouldResemble, a.Updates)
			}
			So(n.Traffic("10.0.0.1").Sent, ShouldBeLessThan, len(plain)/2)
			q := feed.Request{}
			rec := httptest.NewRecorder()
			h.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, feed.Path+"?"+q.Query().Encode(), http.NoBody))
			So(rec.Body.Len(), ShouldBeGreaterThan, len(plain))
		})
	})
}

func TestMembers(t *testing.T) {
	Convey("Members of a failure domain", t, func() {
		all := make([]feed.Member, 6)
		for i := range all {
			all[i] = feed.Member{ID: feed.MemberID(fmt.Sprintf("e%d", i)), Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "cn-a"}
		}
		other := feed.Member{ID: "far", Address: "10.1.0.1:1", Domain: "wv-a"}
		views := make([]*feed.Members, len(all))
		for i := range all {
			views[i] = &feed.Members{Self: all[i]}
			views[i].Add(start, append([]feed.Member{other}, all...)...)
		}
		// roles returns the members that watch the store, and the upstream of the others.
		roles := func(now time.Time) (watchers []int, upstream feed.Member) {
			for i, v := range views {
				m, ok := v.Upstream(now)
				if !ok {
					watchers = append(watchers, i)
				} else {
					upstream = m
				}
			}
			return watchers, upstream
		}
		Convey("agree on the watcher without communicating", func() {
			watchers, upstream := roles(start)
			So(watchers, ShouldHaveLength, 1)
			So(upstream, ShouldResemble, all[watchers[0]])
		})
		Convey("follow the one with the fastest link", func() {
			fast := feed.Member{ID: "fast", Address: "10.0.0.9:1", Domain: "cn-a", LinkMbps: 200}
			for _, v := range views {
				v.Add(start, fast)
			}
			watchers, upstream := roles(start)
			So(watchers, ShouldBeEmpty)
			So(upstream, ShouldResemble, fast)
		})
		Convey("follow the next one when the upstream fails, and return when it is up to date again", func() {
			watchers, upstream := roles(start)
			for _, v := range views {
				v.MarkFailed(start, upstream.ID)
			}
			second, next := roles(start)
			So(second, ShouldHaveLength, 2)
			So(next.ID, ShouldNotEqual, upstream.ID)
			for _, v := range views {
				v.MarkSeen(start, upstream) // a request from it does not show that its state is up to date
			}
			again, _ := roles(start)
			So(again, ShouldResemble, second)
			for _, v := range views {
				v.MarkFresh(start, upstream)
			}
			again, _ = roles(start)
			So(again, ShouldResemble, watchers)
		})
		Convey("poll a failed member again, with increasing delays", func() {
			_, upstream := roles(start)
			for _, v := range views {
				for range 3 {
					v.MarkFailed(start, upstream.ID)
				}
			}
			watchers, _ := roles(start.Add(3 * time.Second))
			So(watchers, ShouldHaveLength, 2)
			watchers, _ = roles(start.Add(4 * time.Second))
			So(watchers, ShouldHaveLength, 1)
		})
		Convey("are counted, and forgotten after a failure", func() {
			So(views[0].Count(), ShouldEqual, 7)
			views[0].MarkFailed(start, "far")
			views[0].Expire(start.Add(2 * time.Minute))
			So(views[0].Count(), ShouldEqual, 6)
		})
	})
}

func FuzzQuestion(f *testing.F) {
	q := feed.Request{From: feed.Member{ID: "e", Address: "10.0.0.1:1", Domain: "d", LinkMbps: 10}, Epoch: "x", Seq: 4, Config: 5, Wait: time.Second, Starting: true, Usage: []backend.Usage{{Service: "s", Requests: 3, Retries: 1, Earned: 2.25, Limit: 0.7, Short: true}}, Hung: []feed.ServerStart{{ID: "s1", Start: 7}}, Demands: []backend.Demand{{Server: "s1", Start: 7, Rate: 4.1, Count: 3}}, ServerLimits: feed.ServerLimits(time.Unix(5, 0), []backend.RateLimit{{Server: "s1", Start: 7, Rate: 4.1, At: time.Unix(2, 0)}})}
	f.Add(q.Query().Encode())
	f.Add((&feed.Request{Needs: needs, Sums: sums}).Query().Encode())
	f.Add("seq=0&waitMs=0&config=0&link=1&need=s+1+1+1+1&needRank=1+1+1+1+1+1+1")
	f.Add("seq=0&waitMs=0&config=0&link=1&sum=s+1+1+1+1+1&sumRank=0+1+-1+1+1+NaN+1")
	f.Add("seq=9999999999999999999&waitMs=-1&config=a")
	f.Add("seq=0&waitMs=0&config=0&link=1&usage=s+3+1")
	f.Add("seq=0&waitMs=0&config=0&link=1&usage=s+3+1+NaN+1+true")
	f.Add("seq=0&waitMs=0&config=0&link=1&speed=s+s1+7+1+33.3+20+2+250")
	f.Fuzz(func(t *testing.T, s string) {
		v, err := url.ParseQuery(s)
		if err != nil {
			return
		}
		q, err := feed.ParseRequest(v)
		if err != nil {
			return
		}
		again, err := feed.ParseRequest(q.Query())
		if err != nil || !reflect.DeepEqual(again, q) {
			t.Fatalf("%+v became %+v, %v", q, again, err)
		}
	})
}

// needs and sums are what is reported of services whose streams wait in order.
var (
	needs = []admit.Demand{{Service: "s", Window: 9, Share: 4, FirstEvents: admit.FirstEvents{Count: 3, Mean: time.Second}, Ranks: []admit.RankDemand{{Rank: 1, Pending: 5, Waiting: 6, Late: 7, Ended: 1.25, InTime: 0.5}}}, {Service: "t"}}
	sums  = []admit.Sum{{Silent: 2, Demand: admit.Demand{Service: "t", Ranks: []admit.RankDemand{{Rank: 3, Waiting: 1}, {Rank: 5, Late: 1}}}}}
)

// TestAdmissionOnTheWire guards against demands that are lost or mixed up on the way, and against values that no
// entry VM sends.
func TestAdmissionOnTheWire(t *testing.T) {
	Convey("Demands and sums", t, func() {
		q := feed.Request{Needs: needs, Sums: sums}
		got, err := feed.ParseRequest(q.Query())
		So(err, ShouldBeNil)
		So(got.Needs, ShouldResemble, needs)
		So(got.Sums, ShouldResemble, sums)
		for _, x := range []struct{ name, value string }{
			{"need", "s 1 1 1"},
			{"need", "s -1 1 1 1"},
			{"need", "s 9999999999999999 1 1 1"},
			{"sum", "s 1 1 1 1 -1"},
			{"needRank", "7 1 1 1 1 1 1"},
			{"needRank", "0 200 1 1 1 1 1"},
			{"needRank", "0 1 1 1 -1 1 1"},
			{"needRank", "0 1 1 1 1 NaN 1"},
		} {
			v := q.Query()
			v.Set(x.name, x.value)
			_, err := feed.ParseRequest(v)
			So(err, ShouldNotBeNil)
		}
		for _, a := range []feed.Response{
			{Epoch: "e", Grants: []admit.Grant{{Service: "s", Window: -1}}},
			{Epoch: "e", Grants: []admit.Grant{{Service: "s", Held: []admit.Rank{-1}}}},
			{Epoch: "e", Grants: []admit.Grant{{Service: "s", Shares: []admit.Share{{Rank: 1, Tokens: -1}}}}},
			{Epoch: "e", Sums: []admit.Sum{{Silent: -1}}},
		} {
			So(a.Check(), ShouldNotBeNil)
		}
	})
}

// TestSpeedsOnTheWire guards against samples and tables that change on the way or are out of range, and against bytes for
// tables without entries.
func TestSpeedsOnTheWire(t *testing.T) {
	Convey("Samples of servers' speeds", t, func() {
		s := cost.Sample{Service: "models", Server: "s1", Start: 7, Kind: cost.Gap, Rate: 1 / 0.03, Least: 20.25, Count: 3, AgeMs: 250}
		q := feed.Request{Samples: []cost.Sample{s, s}}
		got, err := feed.ParseRequest(q.Query())
		So(err, ShouldBeNil)
		So(got.Samples, ShouldResemble, q.Samples)
		got, err = feed.ParseRequest((&feed.Request{}).Query())
		So(err, ShouldBeNil)
		So(got.Samples, ShouldBeNil)
		for _, bad := range []string{"models s1 7 3 1 1 1 0", "models s1 7 -1 1 1 1 0", "models s1 7 1 NaN 1 1 0", "models s1 7 1 1 -1 1 0", "models s1 7 1 1 1 0 0", "models s1 7 1 1 1 1 -1", "models s1"} {
			v := (&feed.Request{}).Query()
			v.Set("speed", bad)
			_, err := feed.ParseRequest(v)
			So(err, ShouldNotBeNil)
		}
		v := (&feed.Request{Samples: slices.Repeat([]cost.Sample{s}, 1000)}).Query()
		got, err = feed.ParseRequest(v)
		So(err, ShouldBeNil)
		So(len(got.Samples), ShouldBeLessThan, 100)
	})
	Convey("go to the best-ranked entry VM of each other failure domain of the region", t, func() {
		m := &feed.Members{Self: feed.Member{ID: "e0", Domain: "a1", LinkMbps: 10}}
		for i, x := range []struct {
			domain names.ID
			link   int
		}{{"a1", 50}, {"a2", 10}, {"a2", 100}, {"a2", 50}, {"a3", 10}, {"b1", 100}} {
			m.Add(start, feed.Member{ID: feed.MemberID(fmt.Sprint("e", i+1)), Domain: x.domain, LinkMbps: x.link})
		}
		region := func(d names.ID) names.ID { return d[:1] }
		best := func() (ids []feed.MemberID) {
			for _, x := range m.BestNear(start, region) {
				ids = append(ids, x.ID)
			}
			return ids
		}
		So(best(), ShouldResemble, []feed.MemberID{"e3", "e5"})
		m.MarkFailed(start, "e3")
		So(best(), ShouldResemble, []feed.MemberID{"e4", "e5"})
	})
	Convey("A table of speeds", t, func() {
		check := func(s cost.ServiceSpeeds) error {
			return (&feed.Response{Epoch: "e", Speeds: []cost.ServiceSpeeds{s}}).Check()
		}
		So(check(cost.ServiceSpeeds{Service: "models", Prefill: 8000, Servers: []cost.ServerSpeed{{ID: "s1", Start: 7, Speed: 0.46}}}), ShouldBeNil)
		So(check(cost.ServiceSpeeds{Service: "models", Prefill: -1}), ShouldNotBeNil)
		So(check(cost.ServiceSpeeds{Service: "models", Servers: []cost.ServerSpeed{{ID: "s1"}}}), ShouldNotBeNil)
		So(check(cost.ServiceSpeeds{Service: "models", Servers: make([]cost.ServerSpeed, 300)}), ShouldNotBeNil)
		b, err := json.Marshal(feed.Response{Epoch: "e", Speeds: []cost.ServiceSpeeds{}})
		So(err, ShouldBeNil)
		So(string(b), ShouldNotContainSubstring, "speeds")
	})
}

// TestLimitOnTheWire checks that a limit keeps its age on the way to another entry VM and back.
func TestLimitOnTheWire(t *testing.T) {
	Convey("A limit and the end of one", t, func() {
		for _, rate := range []backend.Rate{4.1, backend.Unlimited} {
			now := time.Now()
			l := backend.RateLimit{Server: "s1", Start: 7, Rate: rate, At: now.Add(-3 * time.Second)}
			q := feed.Request{ServerLimits: feed.ServerLimits(now, []backend.RateLimit{l})}
			got, err := feed.ParseRequest(q.Query())
			So(err, ShouldBeNil)
			So(got.ServerLimits, ShouldHaveLength, 1)
			So(got.ServerLimits[0].At(now, "s1", 7), ShouldResemble, l)

			w := feed.ServerUpdate(now, &backend.View{Server: backend.Server{ID: "s1", Start: 7}, Limit: rate, LimitAt: l.At})
			So(w.Limit.At(now, "s1", 7), ShouldResemble, l)
		}
		for _, s := range []string{"s1 7 -1 0", "s1 7 NaN 0", "s1 7 1 -1", "s1"} {
			v := (&feed.Request{}).Query()
			v.Set("serverLimit", s)
			_, err := feed.ParseRequest(v)
			So(err, ShouldNotBeNil)
		}
	})
}

// TestHighLimitOnTheWire guards against reports that are refused as a whole because a server has named a high limit to an entry VM
// of an earlier version, which passes it on.
func TestHighLimitOnTheWire(t *testing.T) {
	Convey("A limit that no load reaches is none to another entry VM", t, func() {
		for _, s := range []string{"2147483647", "4294967295", "1e+300"} {
			v := (&feed.Request{}).Query()
			v.Set("serverLimit", "s1 7 "+s+" 0")
			v.Set("demand", "s1 7 "+s+" 3")
			got, err := feed.ParseRequest(v)
			So(err, ShouldBeNil)
			So(got.ServerLimits[0].At(time.Now(), "s1", 7).Rate.Bounded(), ShouldEqual, backend.Unlimited)
			a := feed.Response{Epoch: "e", Updates: []feed.Update{{Removed: true, Limit: &got.ServerLimits[0].Limit}}}
			So(a.Check(), ShouldBeNil)
		}
	})
}
