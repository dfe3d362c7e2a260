// Package cost estimates what requests cost at backend servers, from what the system measures. It does no
// I/O.
package cost

import (
	"slices"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/routing"
)

// Work is what a request needs at a server.
type Work struct {
	Prefill engine.Tokens // prompt tokens that are not cached
	Output  engine.Tokens // tokens that the answer is expected to have
}

// TokensPerEvent is the number of tokens in an event of an answer.
const TokensPerEvent = 5

// Rate is a number of tokens a second.
type Rate float64

// Time returns how long a number of tokens takes at the rate; 0 if the rate is not positive.
func (r Rate) Time(n engine.Tokens) time.Duration {
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(r) * float64(time.Second))
}

// Speed is a server's speed as a multiple of the usual one; 0 reads as 1.
type Speed float64

// Factor returns the speed as a positive number.
func (s Speed) Factor() float64 {
	if s <= 0 {
		return 1
	}
	return float64(s)
}

const (
	// maxSamples is the number of samples that are kept of each kind for each service.
	maxSamples = 64
	// minSamples is the number of samples needed for an estimate.
	minSamples = 6
	// uncontendedQuantile is the quantile of the samples that counts as the rate of a server with no
	// other work: most samples include some waiting.
	uncontendedQuantile = 0.75
)

// Rates learns the usual rates of a service's servers: above all at which they prefill prompts. The zero value has
// no samples. Its methods are safe for concurrent use.
type Rates struct {
	mu      sync.Mutex
	samples map[series]*samples
}

// series names the samples of one kind of a service.
type series struct {
	service routing.ServiceName
	kind    Kind
}

// samples is a ring of the latest rates.
type samples struct {
	rates []Rate
	next  int
}

// Observe records how long a server that was not known to have other prompts to prefill took from the
// request to the first token.
func (r *Rates) Observe(service routing.ServiceName, w Work, took time.Duration) {
	if w.Prefill <= 0 || took <= 0 {
		return
	}
	r.add(series{service, FirstEvent}, Rate(float64(w.Prefill)/took.Seconds()))
}

func (r *Rates) add(k series, rate Rate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.samples[k]
	if s == nil {
		if r.samples == nil {
			r.samples = make(map[series]*samples)
		}
		s = &samples{}
		r.samples[k] = s
	}
	if len(s.rates) < maxSamples {
		s.rates = append(s.rates, rate)
		return
	}
	s.rates[s.next%maxSamples] = rate
	s.next++
}

// Prefill returns the usual prefill rate of a server of a service; false if there are too few samples.
func (r *Rates) Prefill(service routing.ServiceName) (Rate, bool) {
	return r.quantile(series{service, FirstEvent}, uncontendedQuantile)
}

// PrefillRates returns the usual prefill rates of the services with enough samples.
func (r *Rates) PrefillRates() map[routing.ServiceName]Rate {
	r.mu.Lock()
	var services []routing.ServiceName
	for k := range r.samples {
		if k.kind == FirstEvent {
			services = append(services, k.service)
		}
	}
	r.mu.Unlock()
	all := make(map[routing.ServiceName]Rate)
	for _, n := range services {
		if rate, ok := r.Prefill(n); ok {
			all[n] = rate
		}
	}
	return all
}

func (r *Rates) quantile(k series, q float64) (Rate, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.samples[k]
	if s == nil || len(s.rates) < minSamples {
		return 0, false
	}
	sorted := slices.Clone(s.rates)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))], true
}
