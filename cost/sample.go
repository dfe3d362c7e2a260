package cost

import (
	"math"

	"quetzalhold/engine"
	"quetzalhold/routing"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind,Level -linecomment -output=names_string.go

// Kind is what a sample measures.
type Kind int

// The kinds of samples.
const (
	FirstEvent Kind = iota // first event
	Gap                    // gap
	Call                   // call
	// stretchedGap is that of an engine that prefills a prompt. It is no kind of a sample: which gaps are stretched is
	// decided where samples are merged.
	stretchedGap // stretched gap
)

// Sample is a measurement of the speed of a server's start.
type Sample struct {
	Service routing.ServiceName
	Server  engine.ServerID
	Start   engine.Incarnation
	Kind    Kind
	// Rate is the prompt tokens, events or calls a second that the server handled for one request.
	Rate Rate
	// Least is the rate that is certain. It is less than Rate where a part of the prompt may have been cached, and
	// where gaps between events were of different lengths, which shows only that the engine is not slow.
	Least Rate
	Count int   // measurements that the sample stands for
	AgeMs int64 // time in milliseconds since the measurement
}

// Bounds of a sample.
const (
	maxRate  = 1e9
	maxCount = 1000
	// maxAgeMs is the age in milliseconds above which a sample says nothing any more.
	maxAgeMs = 60_000
)

// Valid reports whether all fields are in range.
func (s *Sample) Valid() bool {
	inRange := func(r Rate) bool { return r > 0 && r <= maxRate }
	return s.Service != "" && s.Server != "" && s.Kind >= FirstEvent && s.Kind <= Call && inRange(s.Rate) && inRange(s.Least) &&
		s.Count > 0 && s.Count <= maxCount && s.AgeMs >= 0
}

// ServerSpeed is the speed of a server's start.
type ServerSpeed struct {
	ID    engine.ServerID    `json:"id"`
	Start engine.Incarnation `json:"start"`
	Speed Speed              `json:"speed"`
}

// ServiceSpeeds is what is known of the speeds of a service's servers. Rates are 0 while they are unknown.
type ServiceSpeeds struct {
	Service routing.ServiceName `json:"service"`
	Prefill Rate                `json:"prefill,omitempty"` // usual, in tokens a second
	Events  Rate                `json:"events,omitempty"`  // usual, in events of one answer a second
	Calls   Rate                `json:"calls,omitempty"`   // usual, in calls that follow each other a second
	// Servers are those whose speed differs from the usual one.
	Servers []ServerSpeed `json:"servers"`

	stretched Rate // usual rate of events while an engine prefills
}

// Valid reports whether all fields are in range.
func (s *ServiceSpeeds) Valid() bool {
	for _, r := range []Rate{s.Prefill, s.Events, s.Calls} {
		if !(r >= 0 && r <= maxRate) {
			return false
		}
	}
	for _, x := range s.Servers {
		if x.ID == "" || !(x.Speed > 0) || math.IsInf(float64(x.Speed), 0) {
			return false
		}
	}
	return s.Service != "" && len(s.Servers) <= MaxServers
}

const (
	// MaxServers bounds the servers in a table, whose answers go to each entry VM of a failure domain twice a second.
	MaxServers = 256
	// Different is the factor from which on a server's speed is listed as different from the usual one. Times of
	// equal servers scatter by less.
	Different = 1.2
	// Uneven is the factor from which on the servers of a service count as uneven.
	Uneven = 1.5
	// minSpeed and maxSpeed bound estimates, so that one extreme sample has no extreme effect.
	minSpeed = 1.0 / 8
	maxSpeed = 4
)

func clamp(s float64) float64 { return min(max(s, minSpeed), maxSpeed) }

// Level is how a server's speed compares with the usual one.
type Level int

// The levels.
const (
	Usual Level = iota // usual
	Slow               // slow
	Fast               // fast
)

// level returns the level of a speed. Between Different and Uneven the former level stays.
func level(former Level, s Speed) Level {
	f := s.Factor()
	switch {
	case f*Uneven <= 1:
		return Slow
	case f >= Uneven:
		return Fast
	case f*Different >= 1 && f <= Different:
		return Usual
	}
	return former
}
