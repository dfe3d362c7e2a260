package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/caller"
	"quetzalhold/engine"
	"quetzalhold/result"
	"quetzalhold/standin"
)

// runWithServices runs f with two servers of a service and one entry VM.
func runWithServices(t *testing.T, what string, f func(ts *testSite)) {
	t.Helper()
	runWithSite(t, what, 0, 1, standin.EngineConfig{}, func(ts *testSite) {
		for _, id := range []string{"pickup-1", "pickup-2"} {
			_, err := ts.AddService(ts.Places[0].Names.Code, engine.ServerID(id))
			So(err, ShouldBeNil)
		}
		time.Sleep(3 * time.Second)
		f(ts)
	})
}

func TestBookingFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  standin.ServiceFault // injected into every server
		killed bool                 // every server's process is killed
		want   result.Code
		notRun bool
		runs   int
	}{
		{name: "no fault", want: result.OK, runs: 1},
		{name: "the answer is lost", fault: standin.ServiceFault{LoseAnswer: 1}, want: result.OutcomeUnknown, runs: 1},
		{name: "the server dies before it runs", fault: standin.ServiceFault{DieBefore: 1}, want: result.OutcomeUnknown, runs: 0},
		{name: "the answer is another's", fault: standin.ServiceFault{Cross: 1}, want: result.OutcomeUnknown, runs: 1},
		{name: "every server refuses", fault: standin.ServiceFault{Refuse: 9}, want: result.ServiceRefused, notRun: true, runs: 0},
		{name: "no server is there", killed: true, want: result.ServiceNotReached, notRun: true, runs: 0},
		{name: "the server never answers", fault: standin.ServiceFault{Silent: true}, want: result.OutcomeUnknown, runs: 1},
	}
	for _, tt := range tests {
		runWithServices(t, "A booking runs at most once: "+tt.name, func(ts *testSite) {
			for _, sv := range ts.Services() {
				sv.SetFault(tt.fault)
				if tt.killed {
					sv.Kill()
				}
			}
			h := http.Header{caller.HeaderIdempotency: {"key-1"}}
			r := rawClient{site: ts}.do(http.MethodPost, "/v1/services/pickup/bookings", "{}", h, nil)
			code := result.OK
			if r.err != nil {
				code = r.err.Code
				So(r.err.NotRun, ShouldEqual, tt.notRun)
			}
			So(code, ShouldEqual, tt.want)
			So(ts.Ledger.Runs()["key-1"], ShouldEqual, tt.runs)
		})
	}
	runWithServices(t, "If one server refuses, the other is tried", func(ts *testSite) {
		ts.Services()[0].SetFault(standin.ServiceFault{Refuse: 100})
		for i := range 10 {
			key := fmt.Sprintf("key-%d", i)
			h := http.Header{caller.HeaderIdempotency: {key}}
			r := rawClient{site: ts}.do(http.MethodPost, "/v1/services/pickup/bookings", "{}", h, nil)
			So(r.err, ShouldBeNil)
			So(ts.Ledger.Runs()[key], ShouldEqual, 1)
		}
	})
}

func TestIdempotentCalls(t *testing.T) {
	faults := []struct {
		name string
		f    standin.ServiceFault
	}{
		{"the answer is lost", standin.ServiceFault{LoseAnswer: 1}},
		{"the server dies before it runs", standin.ServiceFault{DieBefore: 1}},
		{"the answer is another's", standin.ServiceFault{Cross: 1}},
		{"the server refuses", standin.ServiceFault{Refuse: 1}},
		{"one server is silent", standin.ServiceFault{Silent: true}},
	}
	for _, tt := range faults {
		runWithServices(t, "A lookup is repeated until it is answered: "+tt.name, func(ts *testSite) {
			ts.Services()[0].SetFault(tt.f)
			for range 5 {
				// SVC-12 is the service's name in the legacy scheme.
				r := rawClient{site: ts}.do(http.MethodGet, "/v1/services/SVC-12/stock/cork", "", nil, nil)
				So(r.err, ShouldBeNil)
				So(r.body, ShouldEqual, "\"cork: 4\"\n")
			}
		})
	}
	runWithServices(t, "Once every server has failed, the final answer comes at once", func(ts *testSite) {
		for _, sv := range ts.Services() {
			sv.SetFault(standin.ServiceFault{DieBefore: 100})
		}
		begin := time.Now()
		r := rawClient{site: ts}.do(http.MethodGet, "/v1/services/pickup/stock/cork", "", nil, nil)
		So(r.err.Code, ShouldEqual, result.ServiceFailed)
		So(time.Since(begin), ShouldBeLessThan, time.Second)
	})
}
