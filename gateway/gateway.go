// Package gateway is the daemon of an entry VM on the users' platform. It joins
// the platform's store, the pool of backend servers and the relay.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/names"
	"quetzalhold/platform"
	"quetzalhold/relay"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/settings"
	"quetzalhold/telemetry"
)

// Daemon is an entry VM. Use [New].
type Daemon struct {
	settings atomic.Pointer[settings.Gateway]
	store    *platform.Store
	pool     backend.Pool
	relay    *relay.Relay
	log      *zap.Logger
	lines    *telemetry.Lines
	metrics  *telemetry.Gateway
	traced   []telemetry.Option
	// closeTraces pushes the last spans.
	closeTraces func(context.Context) error
	dial        engine.Dialer // nil for that of package net
	listen      func(address string) (net.Listener, error)

	members feed.Members
	news    feed.Log
	client  *feed.Client

	table     atomic.Pointer[routing.Table]
	begun     chan struct{} // closed when a configuration and servers are known
	begunOnce sync.Once
	stopping  atomic.Bool
	health    storeHealth
	conns     idleConns
	moves     moves
	asking    sync.Map // addresses of servers that are asked who they are

	mu      sync.Mutex
	hung    []feed.Hung // found here since the last question to another entry VM
	budgets map[routing.ServiceName]*backend.Budget
}

// Option changes a Daemon.
type Option func(*Daemon)

// WithLog sets where log lines go; nowhere if it is not used.
func WithLog(w io.Writer) Option {
	return func(d *Daemon) { d.lines = telemetry.NewLines(w) }
}

// WithTelemetry sets where spans go beside the settings.
func WithTelemetry(opts ...telemetry.Option) Option {
	return func(d *Daemon) { d.traced = opts }
}

// WithNetwork sets how connections are opened and accepted.
func WithNetwork(d engine.Dialer, listen func(address string) (net.Listener, error)) Option {
	return func(g *Daemon) { g.dial, g.listen = d, listen }
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// New returns the daemon of the entry VM with settings s.
func New(s *settings.Gateway, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		listen:  listenTCP,
		begun:   make(chan struct{}),
		log:     zap.NewNop(),
		budgets: make(map[routing.ServiceName]*backend.Budget),
	}
	d.settings.Store(s)
	d.members.Self = feed.Member{ID: feed.MemberID(s.ID), Address: s.Peers, Domain: s.Domain, LinkMbps: int(s.LinkMbps)}
	for _, o := range opts {
		o(d)
	}
	if d.lines != nil {
		d.log = telemetry.NewLog(d.lines, s.LogLevel).With(zap.String("entry", s.ID), zap.String("domain", string(s.Domain)))
	}
	d.store = platform.NewStore(s.Store, d.dial)
	d.client = feed.NewClient(d.dial)
	d.relay = relay.New(d.dial)
	d.relay.Domain = s.Domain
	d.relay.Region = func(n names.ID) names.ID { return s.Region(n) }
	d.relay.Pool = &d.pool
	d.relay.Table = d.table.Load
	d.relay.Ready = d.begun
	d.relay.Budget = d.budget
	d.relay.Restarted = d.restarted
	d.relay.Hung = d.foundHung
	d.relay.Allowed = d.allowed
	d.relay.Answered = d.ran
	d.relay.Closing = d.stopping.Load
	d.relay.Log = d.log
	return d, d.measure()
}

// measure sets up the metrics.
func (d *Daemon) measure() error {
	m, err := telemetry.NewGateway(telemetry.Gauges{
		Servers: d.pool.Size,
		Members: d.members.Count,
		Version: func() int64 {
			if t := d.table.Load(); t != nil {
				return int64(t.Version)
			}
			return 0
		},
		NewsAge: func() time.Duration { return time.Since(d.news.FreshAt()) },
		DroppedLines: func() int64 {
			if d.lines == nil {
				return 0
			}
			return d.lines.Dropped()
		},
	})
	if err != nil {
		return err
	}
	d.metrics = m
	if d.relay.Tracer, d.closeTraces, err = telemetry.NewGatewayTracer(d.settings.Load(), d.traced...); err != nil {
		return err
	}
	d.relay.StreamSent = m.Sent
	d.relay.Ended = func(n routing.ServiceName, c result.Code, took time.Duration) { m.Ended(string(n), c, took) }
	d.store.Observe = func(_ string, took time.Duration, c result.Code) { m.Store(c, took) }
	return nil
}

// budget returns what bounds the repeats at a service.
func (d *Daemon) budget(n routing.ServiceName) *backend.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[n]
	if b == nil {
		b = &backend.Budget{Ratio: budgetShare * d.settings.Load().Bounds.RepeatRatio, Window: d.settings.Load().Bounds.RepeatWindowS.Duration()}
		b.SetSlack(d.slack())
		d.budgets[n] = b
	}
	return b
}

// budgetShare is the part of the permitted repeats that is used: the entry VMs
// and the backend servers do not count in the same windows.
const budgetShare = 0.85

// fewestEntries is the least number of entry VMs that the slack of the retry
// budget is split among: while the others are unknown, too much must not be used.
const fewestEntries = 8

// slack returns this entry VM's part of the slack of the retry budget.
func (d *Daemon) slack() float64 {
	return budgetShare * d.settings.Load().Bounds.RepeatSlack / float64(max(fewestEntries, d.members.Count()))
}

// share splits the slack anew: the number of entry VMs may have changed.
func (d *Daemon) share() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.budgets {
		b.SetSlack(d.slack())
	}
}

// usage returns what this entry VM uses of the retry budgets.
func (d *Daemon) usage(now time.Time) []backend.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]backend.Usage, 0, len(d.budgets))
	for n, b := range d.budgets {
		u := b.Usage(now)
		u.Service = n
		all = append(all, u)
	}
	return all
}

// setOthers takes over what the entry VMs of the failure domain use together, of
// which told is this one's part.
func (d *Daemon) setOthers(now time.Time, sum, told []backend.Usage) {
	own := make(map[routing.ServiceName]backend.Usage, len(told))
	for _, u := range told {
		own[u.Service] = u
	}
	pooled := d.slack() * float64(len(d.members.InDomain())+1)
	for _, u := range sum {
		u.Requests -= own[u.Service].Requests
		u.Repeats -= own[u.Service].Repeats
		d.budget(u.Service).SetOthers(now, u, pooled)
	}
}

// The limits of the servers.
const (
	// headerLimit bounds how long a caller may take to send headers. It is above
	// every limit that configurations set.
	headerLimit = 10 * time.Second
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second
	// memoryShare is the part of the permitted memory that the garbage collector
	// aims to stay below.
	memoryShare = 0.7
	megabyte    = 1_000_000
)

// Serve runs the daemon until ctx ends, and then until what is under way has
// ended or the grace period is nearly over.
func (d *Daemon) Serve(ctx context.Context) error {
	begun := time.Now()
	s := d.settings.Load()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * megabyte * float64(s.MemoryMB)))
	}
	work, stopWork := context.WithCancelCause(context.Background())
	defer stopWork(nil)
	front := &http.Server{
		Handler: d.relay, ReadHeaderTimeout: headerLimit, ConnState: d.conns.note,
		ErrorLog:    errorLog(d.log),
		BaseContext: func(net.Listener) context.Context { return work },
	}
	ready := &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: headerLimit}
	peers := &http.Server{Handler: d.peerHandler(), ReadHeaderTimeout: headerLimit}
	metrics := &http.Server{Handler: d.metrics.Handler(), ReadHeaderTimeout: headerLimit}
	failed := make(chan error, 4)
	for _, x := range []struct {
		server  *http.Server
		address string
	}{{front, s.Listen}, {ready, s.Readiness}, {peers, s.Peers}, {metrics, s.Metrics}} {
		l, err := d.listen(x.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go func() { failed <- x.server.Serve(l) }()
	}
	defer front.Close()
	defer ready.Close()
	defer peers.Close()
	defer metrics.Close()
	background, stop := context.WithCancel(ctx)
	defer stop()
	go d.follow(background)
	go d.sweep(background)
	d.log.Info("started", zap.Duration("after", time.Since(begun)), zap.String("listen", s.Listen))
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	d.shutDown(front, stopWork)
	return nil
}

// Reload puts changed settings in force. Addresses, names and the memory limit
// hold until the next start; requests under way are not touched.
func (d *Daemon) Reload(s *settings.Gateway) {
	old := d.settings.Swap(s)
	if old.Bounds != s.Bounds {
		d.mu.Lock()
		clear(d.budgets) // made anew with the new bounds
		d.mu.Unlock()
	}
	d.log.Info("settings reloaded", zap.Bool("changed", !reflect.DeepEqual(old, s)),
		zap.Bool("restartNeeded", old.ID != s.ID || old.Listen != s.Listen || old.Store != s.Store || old.Peers != s.Peers))
}

// errorLog returns where an http.Server reports panics and broken connections.
func errorLog(l *zap.Logger) *log.Logger {
	std, err := zap.NewStdLogAt(l, zap.ErrorLevel)
	if err != nil {
		panic(err) // only for an unknown level
	}
	return std
}

// The times of a graceful stop.
const (
	// noticeTime is how long the platform may go on sending new connections after
	// it was told that this entry VM is not ready.
	noticeTime = 2300 * time.Millisecond
	// killMargin is kept before the kill for callers to see their connections
	// closed.
	killMargin = 700 * time.Millisecond
)

// shutDown stops taking callers and waits for the requests under way.
func (d *Daemon) shutDown(front *http.Server, stopWork context.CancelCauseFunc) {
	begun := time.Now()
	killAt := begun.Add(d.settings.Load().Bounds.GraceS.Duration())
	d.stopping.Store(true)
	d.log.Info("stopping", zap.Time("killAt", killAt))
	time.Sleep(min(noticeTime, time.Until(killAt)/2))
	ctx, cancel := context.WithDeadline(context.Background(), killAt.Add(-killMargin))
	defer cancel()
	err := front.Shutdown(ctx)
	stopWork(relay.ErrStopping)
	if errors.Is(err, context.DeadlineExceeded) {
		err = errors.New("requests were broken off at the end of the grace period")
	}
	d.log.Info("stopped", zap.Duration("after", time.Since(begun)), zap.Error(err))
	d.store.CloseIdle()
	d.client.CloseIdle()
	d.relay.CloseIdle()
	if err := d.closeTraces(ctx); err != nil {
		d.log.Info("spans not pushed", zap.Error(err))
	}
	if d.lines != nil {
		d.lines.Close()
	}
}

// serveReady tells the platform whether it may send callers here.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.table.Load() == nil || d.pool.Size() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// peerHandler answers the other entry VMs.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+feed.Path, &feed.Server{Members: &d.members, Log: &d.news, Hung: d.takeHung, Ran: d.takeRan, Answer: func(q feed.Question) feed.Answer {
		now := time.Now()
		a := d.news.Answer(now, q, d.pool.List)
		a.Usage, _ = d.members.Usage(now, d.usage(now))
		return a
	}})
	return mux
}

// sweep does what is due now and then until ctx ends.
func (d *Daemon) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			d.pool.Expire(now)
			d.members.Expire(now)
			d.share()
			if table := d.table.Load(); table != nil {
				d.conns.close(now, table.Limits.Idle)
			}
		case <-ctx.Done():
			return
		}
	}
}
