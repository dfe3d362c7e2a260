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

// bookingReply is what a caller was told of a booking.
type bookingReply struct {
	code   result.Code
	notRun bool
	number int
}

// tryBook books once at an entry VM. A connection that fails is an unknown
// outcome, as for any caller.
func (w *world) tryBook(i int, key string, limit time.Duration) bookingReply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	url := "http://" + w.Entries()[i].Address + "/v1/services/pickup/bookings"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("{}")))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	req.Header.Set(caller.HeaderIdempotency, key)
	t := &http.Transport{DialContext: engine.TimeoutDialer(w.dialer("booker")), DisableKeepAlives: true}
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

// bookingWorld returns a site with two entry VMs and two servers of a service.
func bookingWorld() (*world, error) {
	w, err := newBuiltWorld(0, 2, standin.EngineConfig{})
	if err != nil {
		return nil, err
	}
	for _, id := range []engine.ServerID{"pickup-1", "pickup-2"} {
		if _, err := w.AddService(w.Places[0].Names.Code, id); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	return w, nil
}

// bookingLimit is how long a caller waits for a booking.
const bookingLimit = 20 * time.Second

// repeatUntilSettled repeats a booking at the second entry VM, as callers do,
// and returns the first final answer.
func (w *world) repeatUntilSettled(key string) bookingReply {
	var r bookingReply
	for range 60 {
		r = w.tryBook(1, key, bookingLimit)
		again := r.code == result.BookingUnderWay || r.code == result.PlatformDown
		if !again {
			return r
		}
		time.Sleep(2 * time.Second)
	}
	return r
}

// bookingFaults are the rows of the matrix of bookings; each strikes when the
// step is reached and may end by itself.
var bookingFaults = []struct {
	name   string
	strike func(w *world)
}{
	{"platform down", func(w *world) {
		w.Platform.Fail(standin.PlatformFault{Down: true})
		time.AfterFunc(10*time.Second, func() { w.Platform.Fail(standin.PlatformFault{}) })
	}},
	{"platform's answers lost after their effect", func(w *world) {
		w.Platform.Fail(standin.PlatformFault{LoseAnswers: 3})
	}},
	{"platform slow", func(w *world) {
		w.Platform.Fail(standin.PlatformFault{Delay: 1500 * time.Millisecond})
		time.AfterFunc(10*time.Second, func() { w.Platform.Fail(standin.PlatformFault{}) })
	}},
	{"entry VM dies", func(w *world) { w.killEntry(0) }},
	{"entry VM vanishes", func(w *world) { w.net.Vanish(w.host("entry-1")) }},
	{"entry VMs cut off from each other", func(w *world) { w.net.Cut(w.host("entry-1"), w.host("entry-2")) }},
	{"entry VM cut off from the platform", func(w *world) { w.net.Cut(w.host("entry-1"), w.host("platform")) }},
	{"service's answer lost", func(w *world) {
		for _, s := range w.Services() {
			s.Fail(standin.ServiceFault{LoseAnswer: 1, Delay: serviceTime})
		}
	}},
	{"service silent", func(w *world) {
		for _, s := range w.Services() {
			s.Fail(standin.ServiceFault{Silent: true})
		}
	}},
}

// serviceTime is how long a booking takes at its service.
const serviceTime = 300 * time.Millisecond

// bookingSteps are the columns: when the fault strikes.
var bookingSteps = []struct {
	name    string
	reached func(w *world) bool
}{
	{"before the claim", func(*world) bool { return true }},
	{"while the record is claimed", func(w *world) bool { return w.Platform.Counts().Writes > 0 }},
	{"while the call runs", func(w *world) bool { return len(w.Ledger.Runs()) > 0 }},
}

func TestBookingMatrix(t *testing.T) {
	for _, f := range bookingFaults {
		for _, st := range bookingSteps {
			inBubble(t, f.name+"/"+st.name, func() {
				w, err := bookingWorld()
				So(err, ShouldBeNil)
				defer w.end()
				for _, s := range w.Services() {
					s.Fail(standin.ServiceFault{Delay: serviceTime})
				}
				var wg sync.WaitGroup
				var first, rival bookingReply
				if st.name == "before the claim" {
					f.strike(w)
				} else {
					wg.Go(func() {
						eventually(bookingLimit, func() bool { return st.reached(w) })
						f.strike(w)
					})
				}
				wg.Go(func() { first = w.tryBook(0, "k", bookingLimit) })
				wg.Go(func() {
					time.Sleep(time.Millisecond)
					rival = w.tryBook(1, "k", bookingLimit)
				})
				wg.Wait()
				last := w.repeatUntilSettled("k")
				checkBooking(w, first, rival, last)
			})
		}
	}
}

// checkBooking checks what callers were told of one key against what ran.
func checkBooking(w *world, replies ...bookingReply) {
	runs := w.Ledger.Runs()["k"]
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
		Convey("Records of bookings stay in the platform", t, func() {
			w, err := bookingWorld()
			So(err, ShouldBeNil)
			defer w.end()
			So(w.tryBook(0, "k", bookingLimit).code, ShouldEqual, result.OK)
			time.Sleep(2 * time.Minute)
			So(w.Platform.Counts().Writes, ShouldBeGreaterThan, 0)
			for _, e := range w.Entries() {
				for b := range booking.BucketID(booking.Buckets) {
					_, ok := e.Object(booking.ObjectKind, b.Name())
					So(ok, ShouldBeFalse)
				}
			}
		})
	})
}

// historyOp is one booking of a history for the check of linearizability.
type historyOp struct {
	key string
}

// bookingModel says what a sequential system may tell of a key's booking: it
// runs at most once; a number is always the number of that run; an unknown
// outcome may have run; a refusal that says "not run" has changed nothing.
var bookingModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			k := op.Input.(historyOp).key
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

// bookingState is whether a key's call has run, and its number where that is
// known.
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
		synctest.Test(t, func(*testing.T) { history, runs = bookRandomly(faults, pauses) })
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

// bookRandomly lets callers book a few keys at both entry VMs while faults
// strike.
func bookRandomly(faults, pauses []int) ([]porcupine.Operation, map[string]int) {
	w, err := bookingWorld()
	if err != nil {
		panic(err)
	}
	defer w.end()
	for _, s := range w.Services() {
		s.Fail(standin.ServiceFault{Delay: serviceTime})
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Go(func() {
			for i := range 6 {
				key := fmt.Sprintf("k%d", i%3)
				call := time.Now().UnixNano()
				r := w.tryBook((c+i)%2, key, bookingLimit)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: c, Input: historyOp{key}, Call: call, Output: r, Return: time.Now().UnixNano(),
				})
				mu.Unlock()
				time.Sleep(time.Duration(200+100*c) * time.Millisecond)
			}
		})
	}
	for i, f := range faults {
		time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
		bookingFaults[f].strike(w)
	}
	wg.Wait()
	time.Sleep(15 * time.Second)
	return history, w.Ledger.Runs()
}
