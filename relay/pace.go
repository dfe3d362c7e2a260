package relay

import (
	"slices"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/routing"
)

// Sample is how a stream went that no fault interrupted.
type Sample struct {
	Prompt engine.Tokens
	First  time.Duration // until its first event
	Gap    time.Duration // mean time between two events
	Events int64
}

// StreamStats knows how the streams of each route went lately, to tell what one needs at
// least. Its zero value knows nothing.
type StreamStats struct {
	mu     sync.Mutex
	routes map[routing.RouteName][]Sample // the last ones, at most paceSamples
	next   map[routing.RouteName]int
}

const (
	// paceSamples is how many streams of a route are remembered.
	paceSamples = 64
	// paceLeast is how many suffice to tell anything.
	paceLeast = 6
	// paceQuantile is the part of streams that need less than what is told: a
	// request with less time left than that cannot be served.
	paceQuantile = 0.05
)

// Add takes over how a stream of a route went.
func (p *StreamStats) Add(r routing.RouteName, s Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes == nil {
		p.routes = make(map[routing.RouteName][]Sample)
		p.next = make(map[routing.RouteName]int)
	}
	if len(p.routes[r]) < paceSamples {
		p.routes[r] = append(p.routes[r], s)
		return
	}
	p.routes[r][p.next[r]%paceSamples] = s
	p.next[r]++
}

// FirstEventTime returns the usual time until the first event of a route's streams with a
// prompt of so many tokens; false if too little is known.
func (p *StreamStats) FirstEventTime(r routing.RouteName, prompt engine.Tokens) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]float64, 0, paceSamples)
	for _, s := range p.routes[r] {
		all = append(all, float64(s.First)/float64(max(1, s.Prompt)))
	}
	if len(all) < paceLeast {
		return 0, false
	}
	slices.Sort(all)
	return time.Duration(all[len(all)/2] * float64(max(1, prompt))), true
}

// Needed returns the time that a stream of a route takes at least to go on after
// the event last; false if too little is known. Its prompt has to be read again.
func (p *StreamStats) Needed(r routing.RouteName, last int64) (time.Duration, bool) {
	p.mu.Lock()
	samples := slices.Clone(p.routes[r])
	p.mu.Unlock()
	if len(samples) < paceLeast {
		return 0, false
	}
	low := func(f func(Sample) int64) int64 {
		all := make([]int64, len(samples))
		for i, s := range samples {
			all[i] = f(s)
		}
		slices.Sort(all)
		return all[int(paceQuantile*float64(len(all)))]
	}
	events := low(func(s Sample) int64 { return s.Events })
	first := low(func(s Sample) int64 { return int64(s.First) })
	gap := low(func(s Sample) int64 { return int64(s.Gap) })
	return time.Duration(first + max(0, events-last)*gap), true
}
