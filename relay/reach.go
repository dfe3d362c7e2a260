package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
)

// Reach decides whether this entry VM is cut off from all servers. It does no I/O. The zero value is
// an entry VM that reaches servers.
type Reach struct {
	mu          sync.Mutex
	connectedAt time.Time                    // when a connection to a server was last opened
	failed      map[engine.ServerID]struct{} // could not be connected to since
	cutOff      bool
	since       time.Time // when the first of failed could not
	alsoCutOff  int       // entry VMs of other failure domains in a row that were cut off as well
	aloneUntil  time.Time // until when no others are asked for help
}

// checkAfterFailures is the number of servers without any connection between after which others are
// tried: one may have failed by itself.
const checkAfterFailures = 2

// Connected records that a connection to a server was opened. It reports whether this entry VM was
// cut off before, and since when.
func (r *Reach) Connected(now time.Time) (since time.Time, was bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, was = r.since, r.cutOff
	r.connectedAt, r.failed, r.cutOff = now, nil, false
	return since, was
}

// Failed records that a server could not be connected to. It reports whether to try others.
func (r *Reach) Failed(now time.Time, id engine.ServerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failed) == 0 {
		r.failed, r.since = make(map[engine.ServerID]struct{}), now
	}
	r.failed[id] = struct{}{}
	return !r.cutOff && len(r.failed) >= checkAfterFailures
}

// Checked records that none of several servers could be connected to, in a check that began at an
// instant. It reports whether this entry VM is now known to be cut off, and was not before.
func (r *Reach) Checked(begun time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutOff || r.connectedAt.After(begun) {
		return false
	}
	r.cutOff = true
	return true
}

// Known reports whether it is known since an instant that this entry VM reaches servers, or that it is
// cut off from them.
func (r *Reach) Known(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff || r.connectedAt.After(since)
}

// Where so many entry VMs of other failure domains in a row are cut off as well, the servers are likely to
// be gone, and no others are asked for help for a while.
const (
	alsoCutOffLimit = 4
	alonePause      = time.Second
)

// HelperCutOff records that an entry VM of another failure domain that was asked for help is cut off as
// well.
func (r *Reach) HelperCutOff(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.alsoCutOff++; r.alsoCutOff >= alsoCutOffLimit {
		r.alsoCutOff, r.aloneUntil = 0, now.Add(alonePause)
	}
}

// HelperAnswered records that another entry VM has passed on the answer of a server.
func (r *Reach) HelperAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alsoCutOff = 0
}

// Alone reports whether no other entry VM is to be asked for help.
func (r *Reach) Alone(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.aloneUntil)
}

// CutOff reports whether this entry VM is cut off from all servers.
func (r *Reach) CutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff
}

// CutOff reports whether this entry VM is cut off from all servers.
func (r *Relay) CutOff() bool { return r.reach.CutOff() }

const (
	// checkedServers is how many servers are tried to tell whether this entry VM is cut off.
	checkedServers = 5
	// reachCheckInterval is how often they are tried while it is.
	reachCheckInterval = 400 * time.Millisecond
)

// connectionFailed records that a server could not be connected to.
func (r *Relay) connectionFailed(id engine.ServerID) {
	if r.reach.Failed(time.Now(), id) {
		r.wakeReach()
	}
}

func (r *Relay) wakeReach() {
	select {
	case r.checkReach <- struct{}{}:
	default: // it has been woken up
	}
}

// cutOffSince reports whether this entry VM is cut off from all servers, where a server is not reached
// since an instant. It tries others if none has been connected to since then.
func (r *Relay) cutOffSince(at time.Time) bool {
	r.trying <- struct{}{}
	defer func() { <-r.trying }()
	if !r.reach.Known(at) {
		r.tryServers(context.Background())
		if r.reach.CutOff() {
			r.wakeReach()
		}
	}
	return r.reach.CutOff()
}

// connected records that a connection to a server was opened.
func (r *Relay) connected() {
	since, was := r.reach.Connected(time.Now())
	if !was {
		return
	}
	// Servers that could not be reached from here have not failed.
	r.Pool.ForgetFailures(since)
	r.Log.Info("servers reached again", zap.Time("since", since))
}

// WatchReach finds out whether this entry VM is cut off from all servers when connections fail, and
// when it no longer is, until ctx ends.
func (r *Relay) WatchReach(ctx context.Context) {
	for {
		select {
		case <-r.checkReach:
		case <-ctx.Done():
			return
		}
		r.tryServers(ctx)
		for r.reach.CutOff() {
			t := time.NewTimer(reachCheckInterval)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return
			}
			r.tryServers(ctx)
		}
	}
}

// tryServers tries to connect to some servers at once.
func (r *Relay) tryServers(ctx context.Context) {
	begun := time.Now()
	list := r.Pool.Sample(begun, checkedServers)
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(list))
	for _, c := range list {
		go func() { results <- r.tryServer(ctx, &c) }()
	}
	for range list {
		if <-results == nil {
			r.connected()
			return
		}
	}
	if ctx.Err() == nil && r.reach.Checked(begun) {
		r.Log.Warn("cut off from all servers", zap.Int("tried", len(list)))
	}
}

func (r *Relay) tryServer(ctx context.Context, to *backend.Choice) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout(to.DialTime))
	defer cancel()
	c, err := r.dial(ctx, "tcp", to.Address)
	if err == nil {
		_ = c.Close() // nothing was sent on it
	}
	return err
}
