package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/memnet"
	"quetzalhold/move"
	"quetzalhold/routing"
)

var start = time.Unix(1_000_000, 0)

func word(i int) feed.Update {
	return feed.Update{Server: backend.Server{ID: engine.ServerID(fmt.Sprintf("s%d", i)), Service: "app", Address: "10.0.0.1:1", Revision: backend.Revision(i)}}
}

func standing(now time.Time) []backend.View {
	return []backend.View{{Server: word(1).Server}, {Server: word(2).Server, RemoveAt: now.Add(2 * time.Second)}}
}

func TestLog(t *testing.T) {
	Convey("A log of news", t, func() {
		var l feed.Log
		l.Add(word(1))
		l.SetRevision(1)
		l.SetFreshAt(start)
		first := l.Respond(start.Add(time.Second), feed.Request{}, standing)
		Convey("tells an asker without a position all that stands, with what lapses", func() {
			So(first.Full, ShouldBeTrue)
			So(first.Updates, ShouldHaveLength, 2)
			So(first.Updates[1].Removed, ShouldBeTrue)
			So(first.Updates[1].RemoveInMs, ShouldEqual, 2000)
			So(first.Age(), ShouldEqual, time.Second)
		})
		q := feed.Request{}.Next(&first)
		Convey("tells only what is new since a position", func() {
			So(l.Changed(q), ShouldNotBeNil)
			l.Add(word(3))
			So(l.Changed(q), ShouldBeNil)
			a := l.Respond(start, q, standing)
			So(a.Full, ShouldBeFalse)
			So(a.Updates, ShouldResemble, []feed.Update{word(3)})
		})
		Convey("tells all after more changes than it keeps", func() {
			for i := range 10000 {
				l.Add(word(i))
			}
			So(l.Respond(start, q, standing).Full, ShouldBeTrue)
		})
		Convey("tells all to an asker from another life", func() {
			q.Epoch = "before"
			So(l.Respond(start, q, standing).Full, ShouldBeTrue)
		})
		Convey("tells a newer configuration only", func() {
			l.SetConfig(&routing.Config{Version: 5})
			So(l.Changed(q), ShouldBeNil)
			a := l.Respond(start, q, standing)
			So(a.Config.Version, ShouldEqual, routing.Version(5))
			So(l.Respond(start, q.Next(&a), standing).Config, ShouldBeNil)
		})
		Convey("tells the moves to askers that do not have them", func() {
			moves := []feed.Move{{Service: "app", To: "v2", LengthMs: 40000, Step: 1, State: move.Started}}
			l.SetMoves(func(time.Time) []feed.Move { return moves })
			So(l.Changed(q), ShouldBeNil)
			a := l.Respond(start, q, standing)
			So(a.Moves, ShouldResemble, moves)
			So(a.Check(), ShouldBeNil)
			So((&feed.Response{Epoch: "e", Moves: []feed.Move{{Service: "app"}}}).Check(), ShouldNotBeNil)
			q = q.Next(&a)
			So(l.Changed(q), ShouldNotBeNil)
			a = l.Respond(start, q, standing)
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
		Convey("says at once that the store is lost", func() {
			l.SetDisconnected(true)
			So(l.Changed(q), ShouldBeNil)
			So(l.Respond(start, q, standing).Disconnected, ShouldBeTrue)
		})
	})
}

// TestSlowAnswer checks that a long answer on a slow link is waited for, and one that does
// not begin is not.
func TestSlowAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An answer that takes its time", t, func() {
			network := &memnet.Network{}
			var before, within atomic.Int64 // of the next answer, as time.Duration
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Duration(before.Load()))
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Duration(within.Load()))
				_, _ = w.Write([]byte(`{"epoch":"e"}`))
			})}
			l, err := network.Listen("10.0.0.1:1")
			So(err, ShouldBeNil)
			go func() { _ = s.Serve(l) }()
			c := feed.NewClient(network.Dialer("10.0.0.2"))
			for _, x := range []struct {
				before, within time.Duration
				ok             bool
			}{{0, 0, true}, {0, 1200 * time.Millisecond, true}, {0, 4 * time.Second, false}, {2 * time.Second, 0, false}} {
				before.Store(int64(x.before))
				within.Store(int64(x.within))
				_, err := c.Fetch(context.Background(), feed.Member{ID: "e", Address: "10.0.0.1:1"}, feed.Request{Wait: 500 * time.Millisecond})
				So(err == nil, ShouldEqual, x.ok)
			}
			c.CloseIdle()
			_ = s.Close()
			time.Sleep(time.Minute)
		})
	})
}

// TestMembersOnce checks that the list of entry VMs is told when it has changed, not with
// every answer: at 300 entry VMs it is 25 KB.
func TestMembersOnce(t *testing.T) {
	Convey("The members are told once", t, func() {
		self := feed.Member{ID: "e0", Address: "10.0.0.1:1", Domain: "cn-a"}
		m := &feed.Members{Self: self}
		for i := range 300 {
			m.Add(start, feed.Member{ID: feed.MemberID(fmt.Sprintf("e%d", i+1)), Address: fmt.Sprintf("10.0.1.%d:1", i), Domain: "cn-a"})
		}
		s := &feed.Server{Members: m, Log: &feed.Log{}, Respond: func(feed.Request) feed.Response { return feed.Response{Epoch: "e"} }}
		asker := feed.Member{ID: "e1", Address: "10.0.1.0:1", Domain: "cn-a"}
		ask := func(q feed.Request) (feed.Response, int) {
			q.From = asker
			rec := httptest.NewRecorder()
			s.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, feed.Path+"?"+q.Query().Encode(), http.NoBody))
			var a feed.Response
			So(json.Unmarshal(rec.Body.Bytes(), &a), ShouldBeNil)
			return a, rec.Body.Len()
		}
		a, _ := ask(feed.Request{})
		So(a.Members, ShouldHaveLength, 300)
		q := feed.Request{}.Next(&a)
		b, size := ask(q)
		So(b.Members, ShouldBeEmpty)
		So(size, ShouldBeLessThan, 1000)
		m.Add(start, feed.Member{ID: "late", Address: "10.0.2.1:1", Domain: "cn-a"})
		c, _ := ask(q.Next(&b))
		So(c.Members, ShouldHaveLength, 301)
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
		// first returns the members without a feeder: those that watch the store.
		first := func(now time.Time) (watch []int, feeder feed.Member) {
			for i, v := range views {
				m, ok := v.Upstream(now)
				if !ok {
					watch = append(watch, i)
				} else {
					feeder = m
				}
			}
			return watch, feeder
		}
		Convey("agree on the one that watches, without talk", func() {
			watch, feeder := first(start)
			So(watch, ShouldHaveLength, 1)
			So(feeder, ShouldResemble, all[watch[0]])
		})
		Convey("leave it to the one with the fastest link", func() {
			fast := feed.Member{ID: "fast", Address: "10.0.0.9:1", Domain: "cn-a", LinkMbps: 200}
			for _, v := range views {
				v.Add(start, fast)
			}
			watch, feeder := first(start)
			So(watch, ShouldBeEmpty)
			So(feeder, ShouldResemble, fast)
		})
		Convey("go on to the next one when it fails, and back when it is heard again", func() {
			watch, feeder := first(start)
			for _, v := range views {
				v.MarkFailed(start, feeder.ID)
			}
			second, next := first(start)
			So(second, ShouldHaveLength, 2)
			So(next.ID, ShouldNotEqual, feeder.ID)
			for _, v := range views {
				v.MarkSeen(start, feeder) // it asks, which says nothing of its news
			}
			again, _ := first(start)
			So(again, ShouldResemble, second)
			for _, v := range views {
				v.MarkFresh(start, feeder)
			}
			again, _ = first(start)
			So(again, ShouldResemble, watch)
		})
		Convey("ask one that failed again, after longer and longer pauses", func() {
			_, feeder := first(start)
			for _, v := range views {
				for range 3 {
					v.MarkFailed(start, feeder.ID)
				}
			}
			watch, _ := first(start.Add(3 * time.Second))
			So(watch, ShouldHaveLength, 2)
			watch, _ = first(start.Add(4 * time.Second))
			So(watch, ShouldHaveLength, 1)
		})
		Convey("add up what they use of the retry budgets, for a while", func() {
			v := views[0]
			for i := range all {
				v.SetUsage(start, all[i].ID, []backend.Usage{{Service: "s", Requests: 10, Retries: i}})
			}
			v.SetUsage(start, "far", []backend.Usage{{Service: "s", Requests: 1000}})
			own := []backend.Usage{{Service: "s", Requests: 1, Retries: 1}, {Service: "t", Requests: 7}}
			sum, n := v.Usage(start, own)
			So(n, ShouldEqual, 6)
			So(sum, ShouldResemble, []backend.Usage{{Service: "s", Requests: 51, Retries: 16}, {Service: "t", Requests: 7}})
			sum, n = v.Usage(start.Add(3*time.Second), own)
			So(n, ShouldEqual, 1)
			So(sum, ShouldResemble, own)
		})
		Convey("are counted and forgotten", func() {
			So(views[0].Count(), ShouldEqual, 7)
			views[0].MarkFailed(start, "far")
			views[0].Expire(start.Add(2 * time.Minute))
			So(views[0].Count(), ShouldEqual, 6)
		})
	})
}

func FuzzQuestion(f *testing.F) {
	q := feed.Request{From: feed.Member{ID: "e", Address: "10.0.0.1:1", Domain: "d", LinkMbps: 10}, Epoch: "x", Seq: 4, Config: 5, Wait: time.Second, Starting: true, Usage: []backend.Usage{{Service: "s", Requests: 3, Retries: 1}}, Hung: []feed.HungServer{{ID: "s1", Start: 7}}}
	f.Add(q.Query().Encode())
	f.Add("seq=9999999999999999999&waitMs=-1&config=a")
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
