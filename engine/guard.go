package engine

import (
	"context"
	"errors"
	"net"
	"time"

	"quetzalhold/result"
)

// Guard keeps a request that crashes the servers which run it from further servers. Its zero value
// lets every request pass.
type Guard struct {
	// Check returns an error while the request must not be sent to a server.
	Check func() *result.Error
	// OnCrash is called when a server was lost while it began to answer the request.
	OnCrash func(ServerID, Incarnation)
	// OnSound is called when a server got past the beginning of an answer.
	OnSound func()
}

// Blocked returns an error if the request must not be sent to a server now.
func (g Guard) Blocked() *result.Error {
	if g.Check == nil {
		return nil
	}
	return g.Check()
}

// RecordCrash records that a server was lost while it began to answer.
func (g Guard) RecordCrash(id ServerID, start Incarnation) {
	if g.OnCrash != nil {
		g.OnCrash(id, start)
	}
}

// RecordSound records that a server got past the beginning of an answer.
func (g Guard) RecordSound() {
	if g.OnSound != nil {
		g.OnSound()
	}
}

// IsBroken reports whether err shows that a connection was made and then broke. A server that is not
// reached, or does not answer in time, has not crashed under a request as far as is known.
func IsBroken(err error) bool {
	var op *net.OpError
	var t interface{ Timeout() bool }
	switch {
	case err == nil, errors.Is(err, context.Canceled), IsConnRefused(err):
		return false
	case errors.As(err, &op) && op.Op == "dial":
		return false
	}
	return !errors.As(err, &t) || !t.Timeout()
}

// blocked returns an error if no further engine may get the request now.
func (u *run) blocked() *result.Error {
	if u.sound {
		return nil
	}
	return u.job.Guard.Blocked()
}

// handleBlocked ends the run with the Guard's error, unless engines that have the request may still
// answer.
func (u *run) handleBlocked(now time.Time, e *result.Error) error {
	if u.noServerSince.IsZero() {
		u.noServerSince = now
	}
	switch {
	case len(u.live) > 0 && now.Before(u.noServerSince.Add(u.serverWait())):
		u.retryAt = now.Add(maxBackoff)
		return nil
	case u.notRun():
		return e.AsNotRun()
	}
	return result.Wrap(result.EngineLost, e, "no further engine gets the request").WithRetryAt(e.RetryAt)
}

// recordBegun records that an engine may have begun the stream that the attempt reads. Of one that
// another entry VM has read, all tokens before this run count.
func (u *run) recordBegun(c *conn) {
	if _, ok := u.begun[c.Stream]; !ok {
		u.begun[c.Stream] = 0
		if c.attach {
			u.begun[c.Stream] = u.gen.Next()
		}
	}
}

// recordSound records that the request does not crash engines.
func (u *run) recordSound() {
	if !u.sound {
		u.sound = true
		u.job.Guard.RecordSound()
	}
}

// lostAtBeginning reports whether the failure of an attempt shows that an engine was lost while it
// began to answer: the connection to the stream broke, and a new one did too or found the engine or
// the stream gone. If only the connection was lost, the new one goes on with the stream.
func (u *run) lostAtBeginning(c *conn, e *result.Error) bool {
	n, ok := u.begun[c.Stream]
	if u.sound || !ok || n >= beginTokens {
		return false
	}
	return c.attach && IsConnRefused(e) || e.Code == result.StreamUnknown ||
		c.probed && e.Code == result.EngineLost && IsBroken(e)
}
