package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"quetzalhold/booking"
	"quetzalhold/caller"
	"quetzalhold/demo"
	"quetzalhold/engine"
	"quetzalhold/result"
	"quetzalhold/standin"
)

// bookingReply is the reply that a caller got to a booking.
type bookingReply struct {
	code   result.Code
	notRun bool
	number int
}

// book sends a booking once to an entry VM. A failed connection counts as an
// unknown outcome, as for any caller.
func (ts *testSite) book(i int, key string, limit time.Duration) bookingReply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	url := "http://" + ts.Entries()[i].Address + "/v1/services/pickup/bookings"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("{}")))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	req.Header.Set(caller.HeaderIdempotency, key)
	t := &http.Transport{DialContext: engine.TimeoutDialer(ts.dialer("booker")), DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return bookingReply{code: result.OutcomeUnknown, notRun: engine.IsConnRefused(err)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		e := result.Read(resp, result.Internal)
		return bookingReply{code: e.Code, notRun: e.NotRun}
	}
	var b standin.Booking
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		return bookingReply{code: result.OutcomeUnknown}
	}
	return bookingReply{number: b.Number}
}

// newBookingSite returns a site with two entry VMs and two servers of a service.
func newBookingSite() (*testSite, error) {
	ts, err := newReadySite(0, 2, standin.EngineConfig{})
	if err != nil {
		return nil, err
	}
	for _, id := range []engine.ServerID{"pickup-1", "pickup-2"} {
		if _, err := ts.AddService(ts.Places[0].Names.Code, id); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	return ts, nil
}

// bookingTimeout is how long a caller waits for a booking.
const bookingTimeout = 20 * time.Second

// retryBooking repeats a booking at the second entry VM, as callers do, and
// returns the first final reply.
func (ts *testSite) retryBooking(key string) bookingReply {
	var r bookingReply
	for range 60 {
		r = ts.book(1, key, bookingTimeout)
		retry := r.code == result.BookingUnderWay || r.code == result.PlatformDown
		if !retry {
			return r
		}
		time.Sleep(2 * time.Second)
	}
	return r
}

// bookingFaults are the rows of the booking matrix. Each is injected when the
// step is reached; some end after a while.
var bookingFaults = []struct {
	name   string
	inject func(ts *testSite)
}{
	{"platform down", func(ts *testSite) {
		ts.Platform.SetFault(standin.PlatformFault{Down: true})
		time.AfterFunc(10*time.Second, func() { ts.Platform.SetFault(standin.PlatformFault{}) })
	}},
	{"platform's answers lost after their effect", func(ts *testSite) {
		ts.Platform.SetFault(standin.PlatformFault{LoseAnswers: 3})
	}},
	{"platform slow", func(ts *testSite) {
		ts.Platform.SetFault(standin.PlatformFault{Delay: 1500 * time.Millisecond})
		time.AfterFunc(10*time.Second, func() { ts.Platform.SetFault(standin.PlatformFault{}) })
	}},
	{"entry VM dies", func(ts *testSite) { ts.killEntry(0) }},
	{"entry VM vanishes", func(ts *testSite) { ts.net.Disconnect(ts.host("entry-1")) }},
	{"entry VMs cut off from each other", func(ts *testSite) { ts.net.Partition(ts.host("entry-1"), ts.host("entry-2")) }},
	{"entry VM cut off from the platform", func(ts *testSite) { ts.net.Partition(ts.host("entry-1"), ts.host("platform")) }},
	{"service's answer lost", func(ts *testSite) {
		for _, s := range ts.Services() {
			s.SetFault(standin.ServiceFault{LoseAnswer: 1, Delay: serviceTime})
		}
	}},
	{"service silent", func(ts *testSite) {
		for _, s := range ts.Services() {
			s.SetFault(standin.ServiceFault{Silent: true})
		}
	}},
}

// serviceTime is how long a booking takes at its service.
const serviceTime = 300 * time.Millisecond

// bookingSteps are the columns: when the fault is injected.
var bookingSteps = []struct {
	name    string
	reached func(ts *testSite) bool
}{
	{"before the claim", func(*testSite) bool { return true }},
	{"while the record is claimed", func(ts *testSite) bool { return ts.Platform.Counts().Writes > 0 }},
	{"while the call runs", func(ts *testSite) bool { return len(ts.Ledger.Runs()) > 0 }},
}

func TestBookingMatrix(t *testing.T) {
	for _, f := range bookingFaults {
		for _, st := range bookingSteps {
			runInSynctest(t, f.name+"/"+st.name, func() {
				ts, err := newBookingSite()
				So(err, ShouldBeNil)
				defer ts.closeAndWait()
				for _, s := range ts.Services() {
					s.SetFault(standin.ServiceFault{Delay: serviceTime})
				}
				var wg sync.WaitGroup
				var first, second bookingReply
				if st.name == "before the claim" {
					f.inject(ts)
				} else {
					wg.Go(func() {
						waitUntil(bookingTimeout, func() bool { return st.reached(ts) })
						f.inject(ts)
					})
				}
				wg.Go(func() { first = ts.book(0, "k", bookingTimeout) })
				wg.Go(func() {
					time.Sleep(time.Millisecond)
					second = ts.book(1, "k", bookingTimeout)
				})
				wg.Wait()
				last := ts.retryBooking("k")
				checkBooking(ts, first, second, last)
			})
		}
	}
}

// checkBooking checks the replies for one key against the calls that ran.
func checkBooking(ts *testSite, replies ...bookingReply) {
	runs := ts.Ledger.Runs()["k"]
	So(runs, ShouldBeLessThanOrEqualTo, 1)
	number := 0
	for _, r := range replies {
		if r.code != result.OK {
			continue
		}
		So(runs, ShouldEqual, 1)
		if number != 0 {
			So(r.number, ShouldEqual, number)
		}
		number = r.number
	}
	last := replies[len(replies)-1]
	So(last.code, ShouldBeIn, result.OK, result.OutcomeUnknown)
}

func TestBookingsAreNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Booking records are not distributed as configuration", t, func() {
			ts, err := newBookingSite()
			So(err, ShouldBeNil)
			defer ts.closeAndWait()
			So(ts.book(0, "k", bookingTimeout).code, ShouldEqual, result.OK)
			time.Sleep(2 * time.Minute)
			So(ts.Platform.Counts().Writes, ShouldBeGreaterThan, 0)
			for _, e := range ts.Entries() {
				for b := range booking.BucketID(booking.Buckets) {
					_, ok := e.Object(booking.ObjectKind, b.Name())
					So(ok, ShouldBeFalse)
				}
			}
		})
	})
}

// bookingInput is the input of one booking in a history checked for
// linearizability.
type bookingInput struct {
	key string
}

// bookingModel is the sequential specification of a key's booking: it runs at
// most once; a booking number in a reply is that of this run; a booking with an
// unknown outcome may have run; a refusal with notRun has changed nothing.
var bookingModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			k := op.Input.(bookingInput).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() []any { return []any{bookingState{}} },
	Step: func(state, _, output any) []any {
		s := state.(bookingState)
		r := output.(bookingReply)
		switch {
		case r.code == result.OK && !s.ran:
			return []any{bookingState{ran: true, number: r.number}}
		case r.code == result.OK && (s.number == r.number || s.number == 0):
			return []any{bookingState{ran: true, number: r.number}}
		case r.code == result.OK:
			return nil
		case r.code == result.BookingUnderWay, r.notRun, s.ran:
			return []any{s}
		}
		return []any{s, bookingState{ran: true}}
	},
	Equal: func(a, b any) bool { return a == b },
}

// bookingState says whether a key's call has run, and its booking number if a
// reply has shown it.
type bookingState struct {
	ran    bool
	number int
}

func TestBookingHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, len(bookingFaults)-1), 0, 4).Draw(rt, "faults")
		pauses := rapid.SliceOfN(rapid.IntRange(1, 3000), len(faults), len(faults)).Draw(rt, "pauses")
		var history []porcupine.Operation
		var runs map[string]int
		synctest.Test(t, func(*testing.T) { history, runs = runRandomBookings(faults, pauses) })
		for k, n := range runs {
			if n > 1 {
				rt.Errorf("booking %s ran %d times", k, n)
			}
		}
		if !porcupine.CheckOperations(bookingModel.ToModel(), history) {
			rt.Errorf("history is not linearizable: %+v", history)
		}
	})
}

// runRandomBookings lets callers book a few keys at both entry VMs while faults
// are injected, and returns the history and the number of runs of each key.
func runRandomBookings(faults, pauses []int) ([]porcupine.Operation, map[string]int) {
	ts, err := newBookingSite()
	if err != nil {
		panic(err)
	}
	defer ts.closeAndWait()
	for _, s := range ts.Services() {
		s.SetFault(standin.ServiceFault{Delay: serviceTime})
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Go(func() {
			for i := range 6 {
				key := fmt.Sprintf("k%d", i%3)
				call := time.Now().UnixNano()
				r := ts.book((c+i)%2, key, bookingTimeout)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: c, Input: bookingInput{key}, Call: call, Output: r, Return: time.Now().UnixNano(),
				})
				mu.Unlock()
				time.Sleep(time.Duration(200+100*c) * time.Millisecond)
			}
		})
	}
	for i, f := range faults {
		time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
		bookingFaults[f].inject(ts)
	}
	wg.Wait()
	time.Sleep(15 * time.Second)
	return history, ts.Ledger.Runs()
}
