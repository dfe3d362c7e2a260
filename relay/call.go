package relay

import (
	"net/http"
	"time"
)

// Action is the next step for a request.
type Action int

// The actions.
const (
	Await    Action = iota // await
	TryNext                // send to another server
	Pause                  // pause, then send again
	Deliver                // deliver the answer
	Refuse                 // refuse, nothing ran
	Fail                   // fail, it may have run
	Probe                  // probe the server
	FailOver               // take over at another server
)

// Retrier decides whether a plain request is sent to another server and how it ends. It does no
// I/O. The exported fields are set before the first call and don't change.
type Retrier struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxRuns is the number of servers that may run the request, at all entry VMs together.
	MaxRuns int
	// GiveUpAt is when a request that every server refuses is refused for good: the latency
	// objective of its route.
	GiveUpAt time.Time

	pending int // sends without an outcome
	runs    int // servers that may have run it, or may do so at other entry VMs
	rounds  int // how often every server has refused
	failed  bool
}

// maxRounds is how often all servers are tried while they refuse. Each round counts against
// the retry budget.
const maxRounds = 3

// refusalRetryDelay is the time between two rounds, about as long as one call occupies a slot
// of a server.
const refusalRetryDelay = 30 * time.Millisecond

// Left returns how many more servers may run the request.
func (r *Retrier) Left() int { return r.MaxRuns - r.runs }

// Sent records that the request is sent to a server, or to another entry VM that may send it to so many
// servers.
func (r *Retrier) Sent(attempts int) {
	r.pending++
	r.runs += attempts
}

// Replied records the outcome of one send, of whose attempts some were not used, and decides what
// follows. status matters only for Answered.
func (r *Retrier) Replied(o Outcome, status, unused int) Action {
	r.pending--
	r.runs -= unused
	switch o {
	case NotRun:
		return TryNext
	case Answered:
		if status < http.StatusInternalServerError || !r.Repeatable {
			return Deliver
		}
		// An error status is delivered if no other server does better.
		r.failed = true
	}
	if r.Repeatable && r.Left() > 0 {
		return TryNext
	}
	return r.Conclude()
}

// GiveBack records that attempts which counted as used were not.
func (r *Retrier) GiveBack(attempts int) { r.runs -= attempts }

// Conclude decides when the request can't be sent to another server.
func (r *Retrier) Conclude() Action {
	switch {
	case r.pending > 0:
		return Await
	case r.failed:
		return Deliver
	case r.runs > 0:
		return Fail
	}
	return Refuse
}

// NoServer decides when every server has been tried.
func (r *Retrier) NoServer(now time.Time) Action {
	if r.pending > 0 || r.runs > 0 {
		return r.Conclude()
	}
	if r.rounds++; r.rounds < maxRounds && now.Add(refusalRetryDelay).Before(r.GiveUpAt) {
		return Pause
	}
	return Refuse
}

// Hedge decides when no server has answered within the hedging delay.
func (r *Retrier) Hedge() Action {
	if r.Repeatable && r.Left() > 0 && r.pending == 1 {
		return TryNext
	}
	return Await
}
