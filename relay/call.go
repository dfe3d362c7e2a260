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
	TryNext                 // send to another server
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
	// MaxRuns is the number of servers that may run the request.
	MaxRuns int
	// GiveUpAt is when a request that every server refuses is refused for good: the latency
	// objective of its route.
	GiveUpAt time.Time

	pending int // attempts without an outcome
	runs    int // servers that may have run it
	rounds  int // how often every server has refused
	failed  bool
}

// maxRounds is how often all servers are tried while they refuse. Each round counts against
// the retry budget.
const maxRounds = 3

// refusalRetryDelay is the time between two rounds, about as long as one call occupies a slot
// of a server.
const refusalRetryDelay = 30 * time.Millisecond

// Sent records that the request is sent to a server.
func (c *Retrier) Sent() {
	c.pending++
	c.runs++
}

// Replied records the outcome of one attempt and decides what follows. status matters only for
// Answered.
func (c *Retrier) Replied(o Outcome, status int) Action {
	c.pending--
	switch o {
	case NotRun:
		c.runs--
		return TryNext
	case Answered:
		if status < http.StatusInternalServerError || !c.Repeatable {
			return Deliver
		}
		// An error status is delivered if no other server does better.
		c.failed = true
	}
	if c.Repeatable && c.runs < c.MaxRuns {
		return TryNext
	}
	return c.Conclude()
}

// Conclude decides when the request can't be sent to another server.
func (c *Retrier) Conclude() Action {
	switch {
	case c.pending > 0:
		return Await
	case c.failed:
		return Deliver
	case c.runs > 0:
		return Fail
	}
	return Refuse
}

// NoServer decides when every server has been tried.
func (c *Retrier) NoServer(now time.Time) Action {
	if c.pending > 0 || c.runs > 0 {
		return c.Conclude()
	}
	if c.rounds++; c.rounds < maxRounds && now.Add(refusalRetryDelay).Before(c.GiveUpAt) {
		return Pause
	}
	return Refuse
}

// Hedge decides when no server has answered within the hedging delay.
func (c *Retrier) Hedge() Action {
	if c.Repeatable && c.runs < c.MaxRuns && c.pending == 1 {
		return TryNext
	}
	return Await
}
