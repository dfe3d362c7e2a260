package relay

import (
	"math"
	"slices"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/routing"
)

// Sample is the measured timing of a stream that ended without a fault.
type Sample struct {
	Prompt engine.Tokens
	First  time.Duration // from the request to the first event
	Gap    time.Duration // mean time between two events
	Events int64
	// firstID and lastID are those of its events; none if they have none.
	firstID, lastID eventID
}

// before returns how many events come up to the one with an id, were the stream another one of the same route. It reports false if
// ids don't tell.
func (s *Sample) before(id eventID) (int64, bool) {
	all, ok := s.firstID.rise(s.lastID)
	had, inside := s.firstID.rise(id)
	if !ok || !inside || all <= 0 || had < 0 || had > all {
		return 0, false
	}
	return 1 + int64(float64(had)/float64(all)*float64(s.Events-1)), true
}

// recent holds the latest samples of each route, at most maxSamples. Its zero value has none.
type recent[T any] struct {
	samples map[routing.RouteName][]T
	next    map[routing.RouteName]int
}

func (l *recent[T]) add(r routing.RouteName, s T) {
	if l.samples == nil {
		l.samples = make(map[routing.RouteName][]T)
		l.next = make(map[routing.RouteName]int)
	}
	if len(l.samples[r]) < maxSamples {
		l.samples[r] = append(l.samples[r], s)
		return
	}
	l.samples[r][l.next[r]%maxSamples] = s
	l.next[r]++
}

// newest returns the latest n samples of a route, or all if there are fewer.
func (l *recent[T]) newest(r routing.RouteName, n int) []T {
	all := l.samples[r]
	if len(all) <= n {
		return slices.Clone(all)
	}
	end := len(all)
	if len(all) == maxSamples {
		end = l.next[r] % maxSamples // the oldest one is there
	}
	list := make([]T, 0, n)
	for i := range n {
		list = append(list, all[(end-n+i+len(all))%len(all)])
	}
	return list
}

// StreamStats keeps the timing of recent streams of each route, from which it estimates how
// long a stream takes. Its zero value is ready to use and has no samples.
type StreamStats struct {
	mu     sync.Mutex
	recent recent[Sample]
}

const (
	// maxSamples is the number of samples kept for each route.
	maxSamples = 64
	// minSamples is the number of samples needed for an estimate.
	minSamples = 6
	// lowQuantile is the share of streams that need less than the estimate of MinTime: a
	// request with less time left than that can't be served.
	lowQuantile = 0.05
)

// Add adds a sample to a route.
func (p *StreamStats) Add(r routing.RouteName, s Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recent.add(r, s)
}

// FirstEventTime returns the median time to the first event of a route's streams for a prompt of
// the given length; false if there are too few samples.
func (p *StreamStats) FirstEventTime(r routing.RouteName, prompt engine.Tokens) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]float64, 0, maxSamples)
	for _, s := range p.recent.samples[r] {
		all = append(all, float64(s.First)/float64(max(1, s.Prompt)))
	}
	if len(all) < minSamples {
		return 0, false
	}
	slices.Sort(all)
	return time.Duration(all[len(all)/2] * float64(max(1, prompt))), true
}

// allEvents stands for a number of events that is not known, where the least time that is left is asked for.
const allEvents = math.MaxInt64

// eventsBefore returns how many events a caller has who resumes a stream of a route after an id, or allEvents if most
// samples don't tell: ids need not count events.
func (p *StreamStats) eventsBefore(r routing.RouteName, id eventID) int64 {
	if id.isNone() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	samples := p.recent.samples[r]
	var known []int64
	for i := range samples {
		if n, ok := samples[i].before(id); ok {
			known = append(known, n)
		}
	}
	if len(known) == 0 || len(known)*2 < len(samples) {
		return allEvents
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// MinTime returns the least time that a stream of a route takes to resume after so many events,
// including the time to read its prompt again; false if there are too few samples.
func (p *StreamStats) MinTime(r routing.RouteName, had int64) (time.Duration, bool) {
	p.mu.Lock()
	samples := slices.Clone(p.recent.samples[r])
	p.mu.Unlock()
	if len(samples) < minSamples {
		return 0, false
	}
	low := func(f func(Sample) int64) int64 {
		all := make([]int64, len(samples))
		for i, s := range samples {
			all[i] = f(s)
		}
		slices.Sort(all)
		return all[int(lowQuantile*float64(len(all)))]
	}
	events := low(func(s Sample) int64 { return s.Events })
	first := low(func(s Sample) int64 { return int64(s.First) })
	gap := low(func(s Sample) int64 { return int64(s.Gap) })
	return time.Duration(first + max(0, events-had)*gap), true
}

// recentSamples is the number of samples from which RecentTime is estimated: those of some seconds, as the time
// that a stream takes rises with the load within seconds.
const recentSamples = 8

// RecentTime returns the median time that the last streams of a route took to resume after so many events, or MinTime if
// that is longer; false if there are too few samples.
func (p *StreamStats) RecentTime(r routing.RouteName, had int64) (time.Duration, bool) {
	least, ok := p.MinTime(r, had)
	if !ok {
		return 0, false
	}
	p.mu.Lock()
	newest := p.recent.newest(r, recentSamples)
	p.mu.Unlock()
	times := make([]time.Duration, 0, len(newest))
	for _, s := range newest {
		times = append(times, s.First+time.Duration(max(0, s.Events-had))*s.Gap)
	}
	slices.Sort(times)
	return max(least, times[len(times)/2]), true
}

// CallStats keeps how long the servers of each route took for recent calls. Its zero value is ready to
// use and has no samples.
type CallStats struct {
	mu     sync.Mutex
	recent recent[time.Duration]
}

// Add adds a sample to a route.
func (c *CallStats) Add(r routing.RouteName, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.add(r, took)
}

// Longest returns the longest time of a route's recent calls; false if there are too few.
func (c *CallStats) Longest(r routing.RouteName) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recent.samples[r]) < minSamples {
		return 0, false
	}
	return slices.Max(c.recent.samples[r]), true
}
