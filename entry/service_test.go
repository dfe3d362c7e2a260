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

// serviceWorld runs f with two servers of a service and one entry VM.
func serviceWorld(t *testing.T, what string, f func(w *world)) {
	t.Helper()
	inWorld(t, what, 0, 1, standin.EngineConfig{}, func(w *world) {
		for _, id := range []string{"pickup-1", "pickup-2"} {
			_, err := w.AddService(w.Places[0].Names.Code, engine.ServerID(id))
			So(err, ShouldBeNil)
		}
		time.Sleep(3 * time.Second)
		f(w)
	})
}

func TestBookingFaults(t *testing.T) {
	tests := []struct {
		name   string
		first  standin.ServiceFault // of every server
		cut    bool                 // no server's process runs
		want   result.Code
		notRun bool
		runs   int
	}{
		{name: "no fault", want: result.OK, runs: 1},
		{name: "the answer is lost", first: standin.ServiceFault{LoseAnswer: 1}, want: result.OutcomeUnknown, runs: 1},
		{name: "the server dies before it runs", first: standin.ServiceFault{DieBefore: 1}, want: result.OutcomeUnknown, runs: 0},
		{name: "the answer is another's", first: standin.ServiceFault{Cross: 1}, want: result.OutcomeUnknown, runs: 1},
		{name: "every server refuses", first: standin.ServiceFault{Refuse: 9}, want: result.ServiceRefused, notRun: true, runs: 0},
		{name: "no server is there", cut: true, want: result.ServiceNotReached, notRun: true, runs: 0},
		{name: "the server never answers", first: standin.ServiceFault{Silent: true}, want: result.OutcomeUnknown, runs: 1},
	}
	for _, tt := range tests {
		serviceWorld(t, "A booking runs at most once: "+tt.name, func(w *world) {
			for _, sv := range w.Services() {
				sv.SetFault(tt.first)
				if tt.cut {
					sv.Kill()
				}
			}
			h := http.Header{caller.HeaderIdempotency: {"key-1"}}
			r := plain{w: w}.do(http.MethodPost, "/v1/services/pickup/bookings", "{}", h, nil)
			code := result.OK
			if r.err != nil {
				code = r.err.Code
				So(r.err.NotRun, ShouldEqual, tt.notRun)
			}
			So(code, ShouldEqual, tt.want)
			So(w.Ledger.Runs()["key-1"], ShouldEqual, tt.runs)
		})
	}
	serviceWorld(t, "One server's refusal leads to the other", func(w *world) {
		w.Services()[0].SetFault(standin.ServiceFault{Refuse: 100})
		for i := range 10 {
			key := fmt.Sprintf("key-%d", i)
			h := http.Header{caller.HeaderIdempotency: {key}}
			r := plain{w: w}.do(http.MethodPost, "/v1/services/pickup/bookings", "{}", h, nil)
			So(r.err, ShouldBeNil)
			So(w.Ledger.Runs()[key], ShouldEqual, 1)
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
		serviceWorld(t, "A lookup is repeated until it is answered: "+tt.name, func(w *world) {
			w.Services()[0].SetFault(tt.f)
			for range 5 {
				// The service answers by its name in any scheme.
				r := plain{w: w}.do(http.MethodGet, "/v1/services/SVC-12/stock/cork", "", nil, nil)
				So(r.err, ShouldBeNil)
				So(r.body, ShouldEqual, "\"cork: 4\"\n")
			}
		})
	}
	serviceWorld(t, "Once every server failed, the final answer comes at once", func(w *world) {
		for _, sv := range w.Services() {
			sv.SetFault(standin.ServiceFault{DieBefore: 100})
		}
		begin := time.Now()
		r := plain{w: w}.do(http.MethodGet, "/v1/services/pickup/stock/cork", "", nil, nil)
		So(r.err.Code, ShouldEqual, result.ServiceFailed)
		So(time.Since(begin), ShouldBeLessThan, time.Second)
	})
}
