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

// ServiceFault is the faults of a service stand-in. The zero value is no fault.
type ServiceFault struct {
	Refuse     int           `json:"refuse,omitempty"`     // the next Refuse calls are refused and do not run
	LoseAnswer int           `json:"loseAnswer,omitempty"` // the next LoseAnswer calls run, but their answers are lost
	DieBefore  int           `json:"dieBefore,omitempty"`  // the connections of the next DieBefore calls break before the calls run
	Cross      int           `json:"cross,omitempty"`      // the next Cross answers carry another call's request id
	Delay      time.Duration `json:"delay,omitempty"`      // from running a call to answering it
	Silent     bool          `json:"silent,omitempty"`     // calls run, but are never answered
	// CrashBody is the body of calls that crash the server when it begins to run them; none do so
	// if it is empty.
	CrashBody string `json:"crashBody,omitempty"`
	// Crashed is called for each such call.
	Crashed func() `json:"-"`
}

// ServiceCounts counts the calls that a service stand-in has run.
type ServiceCounts struct {
	Runs     int            `json:"runs"`
	Bookings map[string]int `json:"bookings"` // runs on all servers of the service, by booking key
}

// Ledger counts the bookings of all servers of a service; it takes the place of
// the database that they share. The zero value is ready to use.
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

// Runs returns how often the booking with each key has run.
func (l *Ledger) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return cloneMap(l.runs)
}

// Service is a stand-in for one server of a plain service with bookings and
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

// NewService returns a server of a service that records its bookings in l.
func NewService(l *Ledger) *Service {
	s := &Service{mux: http.NewServeMux(), ledger: l}
	s.mux.HandleFunc("POST /bookings", s.withFaults(s.book))
	s.mux.HandleFunc("GET /stock/{item}", s.withFaults(s.stock))
	s.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	s.mux.HandleFunc("POST /faults", s.handleFault)
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counts returns the calls that this server has run, and the bookings of all
// servers that share its ledger.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceCounts{Runs: s.runs, Bookings: s.ledger.Runs()}
}

// SetFault replaces the faults in force by f.
func (s *Service) SetFault(f ServiceFault) {
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
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// nextFault returns the faults of one call, and counts it off from those in force.
func (s *Service) nextFault() ServiceFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := ServiceFault{Delay: s.fault.Delay, Silent: s.fault.Silent, CrashBody: s.fault.CrashBody, Crashed: s.fault.Crashed}
	consume := func(n, once *int) {
		if *n > 0 {
			*n--
			*once = 1
		}
	}
	consume(&s.fault.Refuse, &f.Refuse)
	consume(&s.fault.DieBefore, &f.DieBefore)
	consume(&s.fault.LoseAnswer, &f.LoseAnswer)
	consume(&s.fault.Cross, &f.Cross)
	return f
}

// withFaults returns a handler that answers with the result of f, under the faults
// in force.
func (s *Service) withFaults(f func(*http.Request) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The server notices that a connection ends only once the body has been read.
		body, _ := io.ReadAll(r.Body)
		fault := s.nextFault()
		w.Header().Set(service.HeaderRequestID, r.Header.Get(service.HeaderRequestID))
		switch {
		case fault.Refuse > 0:
			result.Write(w, result.New(result.ServiceRefused, "busy").AsNotRun())
			return
		case fault.DieBefore > 0:
			panic(http.ErrAbortHandler)
		case fault.CrashBody != "" && fault.CrashBody == string(body):
			if fault.Crashed != nil {
				fault.Crashed()
			}
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

// countRun counts a call that has run, and returns the number of calls run so far.
func (s *Service) countRun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	return s.runs
}

func (s *Service) book(r *http.Request) any {
	key := r.Header.Get("Idempotency-Key")
	s.ledger.add(key)
	return Booking{Key: key, Number: s.countRun()}
}

func (s *Service) stock(r *http.Request) any {
	s.countRun()
	return fmt.Sprintf("%s: %d", r.PathValue("item"), len(r.PathValue("item")))
}
