package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"quetzalhold/clock"
	"quetzalhold/result"
	"quetzalhold/service"
)

// ServiceFault orders a service stand-in to fail its next calls. The zero
// value ends all faults.
type ServiceFault struct {
	Refuse     int           `json:"refuse,omitempty"`     // so many calls are refused before they run
	LoseAnswer int           `json:"loseAnswer,omitempty"` // so many calls run and are not answered
	DieBefore  int           `json:"dieBefore,omitempty"`  // so many calls break off before they run
	Cross      int           `json:"cross,omitempty"`      // so many calls are answered as another's
	Delay      time.Duration `json:"delay,omitempty"`      // of each call
	Silent     bool          `json:"silent,omitempty"`     // calls run and nothing is ever answered
}

// ServiceCounts is what a service stand-in has run.
type ServiceCounts struct {
	Runs     int            `json:"runs"`
	Bookings map[string]int `json:"bookings"` // runs by booking key
}

// Ledger counts the bookings of all servers of a service, as the database
// behind them would. The zero value is ready to use.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *Ledger) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[key]++
}

// Runs returns how often each booking key ran.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return cloneMap(l.runs)
}

// Service is a stand-in for a server of a plain service with bookings and
// lookups. It is an [http.Handler]. Use [NewService].
type Service struct {
	mux    *http.ServeMux
	ledger *Ledger

	mu    sync.Mutex
	fault ServiceFault
	runs  int
}

// Booking is the answer to a booking.
type Booking struct {
	Key    string `json:"key"`
	Number int    `json:"number"`
}

// NewService returns a server of a service that books in l.
func NewService(l *Ledger) *Service {
	s := &Service{mux: http.NewServeMux(), ledger: l}
	s.mux.HandleFunc("POST /bookings", s.handle(s.book))
	s.mux.HandleFunc("GET /stock/{item}", s.handle(s.stock))
	s.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	s.mux.HandleFunc("POST /faults", s.handleFault)
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counts returns what the server has run.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceCounts{Runs: s.runs, Bookings: s.ledger.Runs()}
}

// Fail orders faults in place of the earlier ones.
func (s *Service) Fail(f ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Service) handleFault(w http.ResponseWriter, r *http.Request) {
	var f ServiceFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		result.Write(w, result.Wrap(result.BadRequest, err, "decode fault"))
		return
	}
	s.Fail(f)
	w.WriteHeader(http.StatusNoContent)
}

// takeFault returns the fault of one call and uses it up.
func (s *Service) takeFault() ServiceFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := ServiceFault{Delay: s.fault.Delay, Silent: s.fault.Silent}
	take := func(n, mine *int) {
		if *n > 0 {
			*n--
			*mine = 1
		}
	}
	take(&s.fault.Refuse, &f.Refuse)
	take(&s.fault.DieBefore, &f.DieBefore)
	take(&s.fault.LoseAnswer, &f.LoseAnswer)
	take(&s.fault.Cross, &f.Cross)
	return f
}

// handle runs a call under the faults in force.
func (s *Service) handle(f func(*http.Request) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The end of the connection is noticed only after the body.
		_, _ = io.Copy(io.Discard, r.Body)
		fault := s.takeFault()
		w.Header().Set(service.HeaderRequestID, r.Header.Get(service.HeaderRequestID))
		switch {
		case fault.Refuse > 0:
			result.Write(w, result.New(result.ServiceRefused, "busy").AsNotRun())
			return
		case fault.DieBefore > 0:
			panic(http.ErrAbortHandler)
		}
		v := f(r)
		if fault.Silent {
			<-r.Context().Done()
		}
		if clock.Sleep(r.Context(), fault.Delay) != nil || fault.LoseAnswer > 0 {
			panic(http.ErrAbortHandler)
		}
		if fault.Cross > 0 {
			w.Header().Set(service.HeaderRequestID, "another")
		}
		writeJSON(w, v)
	}
}

func (s *Service) run() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	return s.runs
}

func (s *Service) book(r *http.Request) any {
	key := r.Header.Get("Idempotency-Key")
	s.ledger.add(key)
	return Booking{Key: key, Number: s.run()}
}

func (s *Service) stock(r *http.Request) any {
	s.run()
	return fmt.Sprintf("%s: %d", r.PathValue("item"), len(r.PathValue("item")))
}
