package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"quetzalhold/memnet"
	"quetzalhold/platform/platformtest"
)

// settle is the time in which starting entry VMs find each other.
const settle = 3 * time.Second

func TestStart(t *testing.T) {
	inWorld(t, "An entry VM is ready once it knows configuration and servers", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(500 * time.Millisecond)
		So(w.ready(v), ShouldBeTrue)
		So(w.postBooking(v, "key-1"), ShouldEqual, 200)
	})
	inWorld(t, "Without the store an entry VM is not ready and refuses with 503; it becomes ready once the store is back", func(w *world) {
		w.store.SetFault(platformtest.StoreFault{Busy: true})
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(3 * time.Second)
		So(w.ready(v), ShouldBeFalse)
		So(w.postBooking(v, "key-1"), ShouldEqual, 503)
		w.store.SetFault(platformtest.StoreFault{})
		time.Sleep(2 * time.Second)
		So(w.ready(v), ShouldBeTrue)
	})
	inWorld(t, "Entry VMs that start while the store is silent serve half a second after it is back, whenever that is", func(w *world) {
		for round, after := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond, 1900 * time.Millisecond, 2700 * time.Millisecond} {
			w.store.SetFault(platformtest.StoreFault{Silent: true})
			var started []*vm
			for i := range 4 {
				started = append(started, w.vm(fmt.Sprintf("e%d-%d", round, i), "cn-a", 10*round+i+1))
			}
			calls := w.store.Calls()
			time.Sleep(after)
			w.store.SetFault(platformtest.StoreFault{})
			time.Sleep(700 * time.Millisecond)
			for _, v := range started {
				So(w.ready(v), ShouldBeTrue)
				So(w.postBooking(v, "key-1"), ShouldEqual, 200)
			}
			t.Logf("store silent for %s: %d calls by 4 entry VMs", after, w.store.Calls()-calls)
			for _, v := range started {
				v.stop()
			}
			for _, v := range started {
				<-v.done
			}
		}
	})
	inWorld(t, "A request that comes before the configuration waits for it", func(w *world) {
		w.store.SetFault(platformtest.StoreFault{Busy: true})
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(10 * time.Millisecond)
		time.AfterFunc(300*time.Millisecond, func() { w.store.SetFault(platformtest.StoreFault{}) })
		So(w.postBooking(v, "key-1"), ShouldEqual, 200)
	})
	inWorld(t, "Once servers are known, from whichever source, no request waits", func(w *world) {
		w.store.Remove("servers", "a0")
		for i := range 3 {
			w.vm("e"+itoa(i), "cn-a", i+1)
		}
		time.Sleep(settle)
		w.store.Put("servers", "a0", w.app.Entry("ready"))
		time.Sleep(settle)
		for _, v := range w.vms {
			start := time.Now()
			So(w.postBooking(v, "key-1"), ShouldEqual, 200)
			So(time.Since(start), ShouldBeLessThan, 100*time.Millisecond)
		}
	})
	inWorld(t, "An entry VM that the store refuses gets the configuration from the others", func(w *world) {
		w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		v := w.vm("e2", "cn-a", 2)
		time.Sleep(settle)
		w.store.SetFault(platformtest.StoreFault{Busy: true, Only: []string{v.host}})
		w.configure(2, "key-2")
		time.Sleep(configBound)
		So(w.postBooking(v, "key-2"), ShouldEqual, 200)
	})
}

// feedFaults are faults on the paths by which changes reach three entry VMs of one
// failure domain and one of another. The entry VM that watches the store is among the
// first three, but not always the same.
var feedFaults = []struct {
	name   string
	inject func(*world)
	// late is how much longer than the bound changes may take to arrive.
	late time.Duration
	// heal ends the fault.
	heal func(*world)
}{
	{name: "no fault", inject: func(*world) {}},
	{name: "store silent, then back", inject: func(w *world) { w.store.SetFault(platformtest.StoreFault{Silent: true}) }, heal: func(w *world) {
		w.store.SetFault(platformtest.StoreFault{})
	}},
	{name: "store busy, then back", inject: func(w *world) { w.store.SetFault(platformtest.StoreFault{Busy: true}) }, heal: func(w *world) {
		w.store.SetFault(platformtest.StoreFault{})
	}},
	{name: "history gone", inject: func(w *world) { w.store.Compact() }},
	{name: "store refuses the first entry VM", inject: func(w *world) {
		w.store.SetFault(platformtest.StoreFault{Busy: true, Only: []string{w.vms[0].host}})
	}},
	{name: "store silent to two entry VMs", inject: func(w *world) {
		w.store.SetFault(platformtest.StoreFault{Silent: true, Only: []string{w.vms[0].host, w.vms[1].host}})
	}},
	{name: "store refuses a whole failure domain", inject: func(w *world) {
		w.store.SetFault(platformtest.StoreFault{Busy: true, Only: []string{w.vms[0].host, w.vms[1].host, w.vms[2].host}})
	}},
	{name: "connections to the store silent", inject: func(w *world) {
		for _, v := range w.vms {
			w.net.Blackhole(memnet.Host(v.host), storeHost)
		}
	}, late: time.Second},
	{name: "connections between entry VMs silent", inject: func(w *world) {
		for _, a := range w.vms {
			for _, b := range w.vms {
				if a != b {
					w.net.Blackhole(memnet.Host(a.host), memnet.Host(b.host))
				}
			}
		}
	}},
	{name: "entry VMs cut off from each other", inject: func(w *world) {
		for i, a := range w.vms {
			for _, b := range w.vms[i+1:] {
				w.net.Partition(memnet.Host(a.host), memnet.Host(b.host))
			}
		}
	}},
	{name: "each entry VM in turn cut off from the store", inject: func(w *world) {
		for _, v := range w.vms {
			w.net.Partition(memnet.Host(v.host), storeHost)
			time.Sleep(2 * time.Second)
			w.net.Heal(memnet.Host(v.host), storeHost)
		}
	}},
	{name: "the entry VM that watches the store vanishes", inject: func(w *world) { w.vanish(w.storeWatcher()) }},
}

// storeWatcher returns the entry VM of the first failure domain that watches the store.
func (w *world) storeWatcher() *vm {
	for _, v := range w.vms[:3] {
		lines := v.log.String()
		if strings.LastIndex(lines, "watching the store") > strings.LastIndex(lines, "following another entry VM") {
			return v
		}
	}
	panic("no entry VM watches the store")
}

func (w *world) vanish(v *vm) {
	w.net.Disconnect(memnet.Host(v.host))
	v.stop()
	for i := range w.vms {
		if w.vms[i] == v {
			w.vms[i] = nil
		}
	}
	kept := w.vms[:0]
	for _, x := range w.vms {
		if x != nil {
			kept = append(kept, x)
		}
	}
	w.vms = kept
}

// TestNews injects each fault, then changes the API keys and drains a server: every
// entry VM acts on both within the bounds, and does not return to the old state.
func TestNews(t *testing.T) {
	for _, f := range feedFaults {
		inWorld(t, f.name, func(w *world) {
			w.server("a1", "app", "wv-a", 11)
			for i, d := range []string{"cn-a", "cn-a", "cn-a", "wv-a"} {
				w.vm("e"+string(rune('1'+i)), namesID(d), i+1)
			}
			time.Sleep(settle)
			f.inject(w)
			if f.heal != nil {
				time.Sleep(5 * time.Second)
				f.heal(w)
			}
			w.configure(2, "key-2")
			w.store.Put("servers", "a0", w.app.Entry("draining"))
			time.Sleep(configBound + f.late)
			for range 3 {
				for _, v := range w.vms {
					So(w.postBooking(v, "key-1"), ShouldEqual, 401)
					So(w.postBooking(v, "key-2"), ShouldEqual, 200)
				}
				time.Sleep(time.Second)
			}
			for i := range w.seq {
				for _, r := range w.book.Runs("r" + itoa(i)) {
					So(r.Server, ShouldEqual, "a1")
				}
			}
		})
	}
}

func TestFewWatch(t *testing.T) {
	inWorld(t, "One entry VM of a failure domain watches the store", func(w *world) {
		for i := range 6 {
			w.vm("e"+itoa(i), "cn-a", i+1)
		}
		time.Sleep(10 * time.Second)
		before := w.store.Calls()
		time.Sleep(20 * time.Second)
		// Two kinds of objects, about one call a second each.
		So(w.store.Calls()-before, ShouldBeLessThan, 50)
	})
}

// TestOutage counts the calls that a failure domain of twelve entry VMs makes to a
// store that is unreachable, and checks how soon it learns of what changed meanwhile.
func TestOutage(t *testing.T) {
	inWorld(t, "Few calls while the store is unreachable, and a quick recovery", func(w *world) {
		for i := range 12 {
			w.vm("e"+itoa(i), "cn-a", 1+i)
		}
		time.Sleep(5 * time.Second)
		w.store.SetFault(platformtest.StoreFault{Busy: true})
		before := w.store.Calls()
		time.Sleep(20 * time.Second)
		calls := w.store.Calls() - before
		// The best-ranked one retries about every 600 ms, all others together every 400 ms.
		So(calls, ShouldBeLessThan, 20*1000/600+20*1000/400+12)
		w.configure(2, "key-2")
		w.store.SetFault(platformtest.StoreFault{})
		time.Sleep(2 * time.Second)
		for _, v := range w.vms {
			So(w.postBooking(v, "key-2"), ShouldEqual, 200)
		}
	})
}

// TestConfigurationAlone lets only the calls for servers fail after an outage, as at an
// entry VM whose link is too slow for a list of thousands of servers.
func TestConfigurationAlone(t *testing.T) {
	inWorld(t, "A configuration does not wait for the list of servers", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(3 * time.Second)
		w.store.SetFault(platformtest.StoreFault{Busy: true})
		time.Sleep(2 * time.Second)
		w.store.SetFault(platformtest.StoreFault{Busy: true, Kind: "servers"})
		w.configure(2, "key-2")
		time.Sleep(configBound)
		So(w.postBooking(v, "key-2"), ShouldEqual, 200)
	})
	inWorld(t, "A newer configuration is taken from another entry VM even if that one has lost the store too", func(w *world) {
		a, b := w.vm("e1", "cn-a", 1), w.vm("e2", "cn-a", 2)
		time.Sleep(3 * time.Second)
		for i, other := range []*vm{b, a} {
			// The store serves only one of them, for long enough to get the configuration.
			w.store.SetFault(platformtest.StoreFault{Busy: true, Only: []string{other.host}})
			w.configure(2+i, "key-"+itoa(2+i))
			time.Sleep(1500 * time.Millisecond)
			w.store.SetFault(platformtest.StoreFault{Busy: true})
			time.Sleep(configBound)
			So(w.postBooking(a, "key-"+itoa(2+i)), ShouldEqual, 200)
			So(w.postBooking(b, "key-"+itoa(2+i)), ShouldEqual, 200)
			w.store.SetFault(platformtest.StoreFault{})
			time.Sleep(3 * time.Second)
		}
	})
}

// TestStartTraffic starts an entry VM among many others: it must get the list of servers about
// once, as the links of entry VMs are slow.
func TestStartTraffic(t *testing.T) {
	inWorld(t, "bytes of a start", func(w *world) {
		for i := range 300 {
			s := &platformtest.Server{ID: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("10.4.%d.%d:80", i/200, i%200+1), Service: "models", Domain: "wv-a", Version: "v1", Born: int64(i + 1)}
			w.store.Put("servers", s.ID, s.Entry("ready"))
		}
		for i := range 12 {
			w.vm("e"+itoa(i), "cn-a", i+1)
		}
		time.Sleep(settle)
		list, err := json.Marshal(map[string]any{"x": w.store.Names("servers")})
		So(err, ShouldBeNil)
		const entryBytes = 200 // of one server in the feed
		listBytes := len(list) + 300*entryBytes
		late := w.vm("late", "cn-a", 50)
		time.Sleep(settle)
		So(w.ready(late), ShouldBeTrue)
		So(w.net.Traffic(memnet.Host(late.host)).Received, ShouldBeLessThan, 3*listBytes)
	})
}

func TestNoConfiguration(t *testing.T) {
	inWorld(t, "Entry VMs that have no configuration yet poll each other twice a second", func(w *world) {
		w.store.Remove("config", "main")
		for i := range 3 {
			w.vm("e"+itoa(i), "cn-a", i+1)
		}
		time.Sleep(settle)
		before := w.net.Traffic(memnet.Host(w.vms[0].host)).Sent + w.net.Traffic(memnet.Host(w.vms[1].host)).Sent
		time.Sleep(10 * time.Second)
		after := w.net.Traffic(memnet.Host(w.vms[0].host)).Sent + w.net.Traffic(memnet.Host(w.vms[1].host)).Sent
		So(after-before, ShouldBeLessThan, 100_000)
		w.configure(1, "key-1")
		time.Sleep(settle)
		for _, v := range w.vms {
			So(w.ready(v), ShouldBeTrue)
		}
	})
}

func TestEntries(t *testing.T) {
	for _, bad := range []string{
		`"text"`, `{}`, `{"service":7}`, `not json`,
		`{"service":"app","address":"10.3.64.77:80","zone":"cn-a","version":"v1","slots":6,"state":"resting","sequence":1}`,
		`{"service":"app","address":"somewhere","zone":"cn-a","version":"v1","slots":6,"state":"ready","sequence":1}`,
		`{"service":"app","address":"10.3.64.77:80","zone":"cn-a","version":"v1","slots":"six","state":"ready","sequence":1}`,
	} {
		inWorld(t, "An invalid entry from another writer adds no server: "+bad, func(w *world) {
			v := w.vm("e1", "cn-a", 1)
			time.Sleep(settle)
			w.store.PutRaw("servers", "zz", []byte(bad))
			time.Sleep(2 * time.Second)
			for range 10 {
				So(w.postBooking(v, "key-1"), ShouldEqual, 200)
			}
			So(w.ready(v), ShouldBeTrue)
		})
	}
}

func TestLapse(t *testing.T) {
	inWorld(t, "Servers whose entries expire while the store is unreachable are used until it is back and no longer lists them", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		w.store.SetFault(platformtest.StoreFault{Busy: true})
		time.Sleep(5 * time.Second)
		w.store.Remove("servers", "a0")
		w.store.SetFault(platformtest.StoreFault{})
		time.Sleep(time.Second)
		So(w.postBooking(v, "key-1"), ShouldEqual, 200)
		w.store.Put("servers", "a0", w.app.Entry("ready"))
		time.Sleep(4 * time.Second)
		So(w.postBooking(v, "key-1"), ShouldEqual, 200)
		w.store.Remove("servers", "a0")
		time.Sleep(4 * time.Second)
		So(w.postBooking(v, "key-1"), ShouldEqual, 503)
	})
}

func TestLeavingAfterOutage(t *testing.T) {
	inWorld(t, "A server that leaves soon after the store is back gets no requests after the bound", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		w.store.SetFault(platformtest.StoreFault{Busy: true})
		time.Sleep(3 * time.Second)
		w.store.SetFault(platformtest.StoreFault{})
		time.Sleep(2500 * time.Millisecond)
		w.store.Remove("servers", "a0")
		time.Sleep(drainBound)
		So(w.postBooking(v, "key-1"), ShouldEqual, 503)
	})
}

func TestRestartedEngine(t *testing.T) {
	inWorld(t, "An engine that restarts while the store is unreachable is used", func(w *world) {
		e := w.server("m0", "models", "cn-a", 20)
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		w.store.SetFault(platformtest.StoreFault{Busy: true})
		time.Sleep(2 * time.Second)
		e.ID, e.Born = "m0-again", e.Born+5000
		stream := http.Header{"X-Prompt-Prefix": {"aa:800"}, "X-Token-Count": {"800,50"}, "X-Deadline-Ms": {"20000"}}
		var last answer
		for range 5 {
			last = w.get(v, "/brief/1", "key-1", stream)
			time.Sleep(time.Second)
		}
		So(last.status, ShouldEqual, 200)
		So(last.err, ShouldBeNil)
	})
}

func TestGracefulStop(t *testing.T) {
	inWorld(t, "An in-flight stream completes, the readiness check fails, the process ends", func(w *world) {
		e := w.server("m0", "models", "cn-a", 20)
		e.Work = 30 * time.Millisecond
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		got := make(chan answer, 1)
		go func() {
			got <- w.send(w.transport(), v, "/brief/1", "key-1", "s1", http.Header{
				"X-Prompt-Prefix": {"aa:800"}, "X-Token-Count": {"800,500"}, "X-Deadline-Ms": {"20000"},
			})
		}()
		time.Sleep(500 * time.Millisecond)
		v.stop()
		time.Sleep(100 * time.Millisecond)
		So(w.ready(v), ShouldBeFalse)
		late := w.get(v, "/book/1", "key-1", nil)
		So(late.status, ShouldEqual, 200)
		a := <-got
		So(a.err, ShouldBeNil)
		So(strings.Count(a.body, "id: "), ShouldEqual, 100)
		start := time.Now()
		<-v.done
		So(time.Since(start), ShouldBeLessThan, graceBound)
		So(v.log.String(), ShouldContainSubstring, `"event":"stopped"`)
	})
}

func TestMetrics(t *testing.T) {
	inWorld(t, "Requests, store calls and gauges are scraped", func(w *world) {
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(settle)
		w.postBooking(v, "key-1")
		w.postBooking(v, "wrong")
		resp, err := w.transport().RoundTrip(must(http.NewRequest(http.MethodGet, "http://"+v.host+":83/metrics", http.NoBody)))
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		text := string(must(io.ReadAll(resp.Body)))
		for _, want := range []string{
			`quetzalhold_gateway_requests_total{code="0",`, `code="1002"`, "quetzalhold_gateway_latency_seconds_bucket",
			"quetzalhold_gateway_store_calls_total", "quetzalhold_gateway_configuration", "quetzalhold_gateway_news_age_milliseconds",
			"quetzalhold_gateway_servers",
		} {
			So(text, ShouldContainSubstring, want)
		}
	})
}

// TestSpans checks that a request's span is a child of its caller's span and records
// the decisions.
func TestSpans(t *testing.T) {
	inWorld(t, "A request has a span with its decisions", func(w *world) {
		spans := tracetest.NewInMemoryExporter()
		w.traced = spans
		v := w.vm("e1", "cn-a", 1)
		time.Sleep(2 * time.Second)
		const caller = "4bf92f3577b34da6a3ce929d0e0e4736"
		a := w.get(v, "/book/1", "key-1", http.Header{"Traceparent": {"00-" + caller + "-00f067aa0ba902b7-01"}})
		So(a.status, ShouldEqual, 200)
		So(w.get(v, "/book/1", "wrong", nil).status, ShouldEqual, 401)
		got := spans.GetSpans()
		So(got, ShouldHaveLength, 2)
		So(got[0].SpanContext.TraceID().String(), ShouldEqual, caller)
		So(got[0].Events, ShouldHaveLength, 1)
		So(got[0].Events[0].Name, ShouldEqual, "request ended")
		So(got[0].Attributes, ShouldContain, attribute.String("service", "app"))
		So(got[1].Status.Code, ShouldEqual, codes.Error)
	})
}
