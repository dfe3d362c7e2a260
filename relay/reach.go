package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/routing"
	"quetzalhold/serverconn"
	"quetzalhold/telemetry"
)

// Reach decides whether this entry VM is cut off from all servers of a service, or of all services. It does
// no I/O. The zero value is an entry VM that reaches servers.
type Reach struct {
	mu          sync.Mutex
	suspected   bool                         // others are to be tried
	connectedAt time.Time                    // when a connection to a server was last opened
	failed      map[engine.ServerID]struct{} // could not be connected to since
	cutOff      bool
	since       time.Time // when the first of failed could not
	alsoCutOff  int       // entry VMs of other failure domains in a row that were cut off as well
	aloneUntil  time.Time // until when no others are asked for help
}

// checkAfterFailures is the number of servers without any connection between after which others are
// tried, where there are as many: one may have failed by itself.
const checkAfterFailures = 2

// Connected records that a connection to a server was opened. It reports whether this entry VM was
// cut off before, and since when.
func (r *Reach) Connected(now time.Time) (since time.Time, was bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, was = r.since, r.cutOff
	r.connectedAt, r.failed, r.cutOff, r.suspected = now, nil, false, false
	return since, was
}

// Failed records that one of a number of servers could not be connected to. It reports whether to try others.
func (r *Reach) Failed(now time.Time, id engine.ServerID, servers int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failed) == 0 {
		r.failed, r.since = make(map[engine.ServerID]struct{}), now
	}
	r.failed[id] = struct{}{}
	r.suspected = !r.cutOff && len(r.failed) >= min(checkAfterFailures, servers)
	return r.suspected
}

// Due reports whether servers are to be tried: whether this entry VM may be cut off, or is.
func (r *Reach) Due() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspected || r.cutOff
}

// Checked records that none of several servers could be connected to, in a check that began at an
// instant. It reports whether this entry VM is now known to be cut off, and was not before.
func (r *Reach) Checked(begun time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutOff || r.connectedAt.After(begun) {
		return false
	}
	r.cutOff, r.suspected = true, false
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

// CutOff reports whether this entry VM is cut off from all the servers.
func (r *Reach) CutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff
}

// allServices stands for the servers of all services together. Links are mostly lost to all at once, which
// shows sooner than by those of one service.
const allServices routing.ServiceName = ""

// reaches holds the [Reach] of each service, and that of allServices. The zero value is ready to use.
type reaches struct {
	mu  sync.Mutex
	all map[routing.ServiceName]*Reach
}

func (r *reaches) of(service routing.ServiceName) *Reach {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.all[service]
	if x == nil {
		x = &Reach{}
		if r.all == nil {
			r.all = make(map[routing.ServiceName]*Reach)
		}
		r.all[service] = x
	}
	return x
}

// due returns the services of which servers are to be tried.
func (r *reaches) due() []routing.ServiceName {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []routing.ServiceName
	for service, x := range r.all {
		if x.Due() {
			list = append(list, service)
		}
	}
	return list
}

// CutOff reports whether this entry VM is cut off from all servers.
func (r *Relay) CutOff() bool { return r.reach.of(allServices).CutOff() }

// widest returns the [Reach] of all services if this entry VM is cut off from all of them, else that of a
// service.
func (r *reaches) widest(service routing.ServiceName) *Reach {
	if all := r.of(allServices); all.CutOff() {
		return all
	}
	return r.of(service)
}

// cutOffFrom reports whether this entry VM is cut off from all servers of a service.
func (r *Relay) cutOffFrom(service routing.ServiceName) bool { return r.reach.widest(service).CutOff() }

const (
	// checkedServers is how many servers are tried to tell whether this entry VM is cut off.
	checkedServers = 5
	// reachCheckInterval is how often they are tried while it is.
	reachCheckInterval = 400 * time.Millisecond
)

// connectionFailed records that a server could not be connected to. Kept connections to it may be silent, and stay so
// when it is reached again.
func (r *Relay) connectionFailed(to *backend.Choice) {
	r.dropKept(to.Address)
	now, wake := time.Now(), false
	for _, service := range []routing.ServiceName{allServices, to.Service} {
		servers := len(r.Pool.Sample(now, service, checkAfterFailures))
		wake = r.reach.of(service).Failed(now, to.ID, servers) || wake
	}
	if wake {
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
// since an instant. It tries others if none has been connected to since then. All servers of one service
// may have crashed under one request, and that is no sign.
func (r *Relay) cutOffSince(at time.Time) bool {
	r.trying <- struct{}{}
	defer func() { <-r.trying }()
	if !r.reach.of(allServices).Known(at) {
		r.tryServers(context.Background(), allServices)
	}
	return r.CutOff()
}

// connected records that a connection to a server of a service was opened.
func (r *Relay) connected(to routing.ServiceName) {
	now := time.Now()
	for _, service := range []routing.ServiceName{allServices, to} {
		since, was := r.reach.of(service).Connected(now)
		if !was {
			continue
		}
		// Servers that could not be reached from here have not failed.
		r.Pool.ForgetFailures(service, since)
		r.Log.Info("servers reached again", zap.String("service", string(service)), zap.Time("since", since))
	}
}

// WatchReach finds out whether this entry VM is cut off from all servers, or from those of a service, when
// connections fail, and when it no longer is, until ctx ends.
func (r *Relay) WatchReach(ctx context.Context) {
	t := time.NewTicker(reachCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-r.checkReach:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		var wg sync.WaitGroup
		for _, service := range r.reach.due() {
			wg.Go(func() { telemetry.Run(r.Log, "checks of a service", func() { r.tryServers(ctx, service) }) })
		}
		wg.Wait()
	}
}

// tryServers tries to connect to some servers of a service at once.
func (r *Relay) tryServers(ctx context.Context, service routing.ServiceName) {
	begun := time.Now()
	list := r.Pool.Sample(begun, service, checkedServers)
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		of  routing.ServiceName
		err error
	}
	results := make(chan outcome, len(list))
	for _, c := range list {
		go func() {
			results <- outcome{c.Service, telemetry.Guard(r.Log, "check of a server", func() error { return r.tryServer(ctx, &c) })}
		}()
	}
	for range list {
		if o := <-results; o.err == nil {
			r.connected(o.of)
			return
		}
	}
	if ctx.Err() == nil && r.reach.of(service).Checked(begun) {
		r.Log.Warn("cut off from all servers", zap.String("service", string(service)), zap.Int("tried", len(list)))
	}
}

func (r *Relay) tryServer(ctx context.Context, to *backend.Choice) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout(to.DialTime))
	defer cancel()
	return r.tryConnect(ctx, to.Address)
}

// tryConnect opens a connection to a server and closes it.
func (r *Relay) tryConnect(ctx context.Context, address string) error {
	c, err := r.dial(ctx, "tcp", address)
	if err == nil {
		r.countConnection(serverconn.Probe, false)
		_ = c.Close() // nothing was sent on it
	}
	return err
}
