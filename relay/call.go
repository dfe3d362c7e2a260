package relay

import (
	"net/http"
	"time"
)

// Action is what a decision asks for.
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

// Retrier decides about one plain request: whether it is sent to another server
// and with what it ends. It does no I/O. The exported fields are set once.
type Retrier struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxRuns is the number of servers that the request may run at.
	MaxRuns int
	// GiveUpAt is when a request that nobody takes is refused; the objective.
	GiveUpAt time.Time

	open   int // servers that have not answered yet
	runs   int // servers at which it may have run
	rounds int // times that every server refused
	failed bool
}

// maxRounds is how often all servers are asked while they refuse. Each round
// counts against the retry budget.
const maxRounds = 3

// refusalPause is the time between two rounds: about that of one call in a slot.
const refusalPause = 30 * time.Millisecond

// Sent notes that the request goes to a server.
func (c *Retrier) Sent() {
	c.open++
	c.runs++
}

// Replied decides after a server's outcome. status counts only for answers.
func (c *Retrier) Replied(o Outcome, status int) Action {
	c.open--
	switch o {
	case NotRun:
		c.runs--
		return TryNext
	case Answered:
		if status < http.StatusInternalServerError || !c.Repeatable {
			return Deliver
		}
		// A server's failure is passed on if no other server does better.
		c.failed = true
	}
	if c.Repeatable && c.runs < c.MaxRuns {
		return TryNext
	}
	return c.Rest()
}

// Rest decides where the request cannot be sent on.
func (c *Retrier) Rest() Action {
	switch {
	case c.open > 0:
		return Await
	case c.failed:
		return Deliver
	case c.runs > 0:
		return Fail
	}
	return Refuse
}

// NoServer decides where no server is left that has not been asked.
func (c *Retrier) NoServer(now time.Time) Action {
	if c.open > 0 || c.runs > 0 {
		return c.Rest()
	}
	if c.rounds++; c.rounds < maxRounds && now.Add(refusalPause).Before(c.GiveUpAt) {
		return Pause
	}
	return Refuse
}

// Hedge decides where no server has answered for a while.
func (c *Retrier) Hedge() Action {
	if c.Repeatable && c.runs < c.MaxRuns && c.open == 1 {
		return TryNext
	}
	return Await
}
