// Package gateway is the daemon of an entry VM on the users' platform. It connects the
// platform's store, the change feed among entry VMs, the pool of backend servers,
// version moves and the relay.
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

	"quetzalhold/admit"
	"quetzalhold/backend"
	"quetzalhold/clock"
	"quetzalhold/connlimit"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/names"
	"quetzalhold/platform"
	"quetzalhold/quarantine"
	"quetzalhold/relay"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/serverconn"
	"quetzalhold/settings"
	"quetzalhold/telemetry"
)

// Daemon is the process of an entry VM. Use [New].
type Daemon struct {
	settings         atomic.Pointer[settings.Gateway]
	store            *platform.Store
	pool             backend.Pool
	relay            *relay.Relay
	log              *zap.Logger
	lines            *telemetry.AsyncWriter
	metrics          *telemetry.Gateway
	telemetryOptions []telemetry.Option
	// closeTraces exports the last spans.
	closeTraces func(context.Context) error
	dial        engine.Dialer // nil uses that of package net
	listen      func(address string) (net.Listener, error)

	members feed.Members
	changes feed.Log
	client  *feed.Client

	table      atomic.Pointer[routing.Table]
	loaded     chan struct{} // closed once a configuration and servers are known
	loadedOnce sync.Once
	stopping   atomic.Bool
	draining   atomic.Bool // callers' connections are being closed
	health     storeHealth
	conns      idleConns
	clients    connlimit.Limiter
	moves      moves
	orders     listRequests // of orders of version moves
	crashLists listRequests
	quarantine quarantine.List
	// crashesChanged wakes publishCrashes up, and unwritten writeCrashes.
	crashesChanged, unwritten chan struct{}
	claiming                  sync.Mutex // held while a trial is claimed

	identifying sync.Map // addresses of servers whose identity is being queried
	// fetchingConfig is set while a newer configuration is fetched from another entry VM.
	fetchingConfig atomic.Bool
	stopsAt        atomic.Pointer[time.Time]

	mu      sync.Mutex
	reports serverReports // since the last poll of another entry VM
	budgets map[routing.ServiceName]*backend.RetryBudget

	// allotments divides the retry budgets among the entry VMs that report theirs here.
	allotments backend.Allotments
	// permits divides the limits that servers have named among the entry VMs that ask here.
	permits backend.Permits
	// issuer divides the windows of services among the entry VMs that report their demands here.
	issuer admit.Issuer
	// costs holds what requests cost and how fast servers are.
	costs cost.Book
	// short wakes shareBudgets up.
	short chan struct{}
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLog sets where log lines go; without it they are discarded.
func WithLog(w io.Writer) Option {
	return func(d *Daemon) { d.lines = telemetry.NewAsyncWriter(w) }
}

// WithTelemetry sets where spans go in addition to the destination in the settings.
func WithTelemetry(opts ...telemetry.Option) Option {
	return func(d *Daemon) { d.telemetryOptions = opts }
}

// WithNetwork sets how connections are opened and accepted.
func WithNetwork(d engine.Dialer, listen func(address string) (net.Listener, error)) Option {
	return func(g *Daemon) { g.dial, g.listen = d, listen }
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// New returns the daemon of the entry VM with settings s.
func New(s *settings.Gateway, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		listen:         listenTCP,
		loaded:         make(chan struct{}),
		crashesChanged: make(chan struct{}, 1),
		unwritten:      make(chan struct{}, 1),
		short:          make(chan struct{}, 1),
		log:            zap.NewNop(),
		budgets:        make(map[routing.ServiceName]*backend.RetryBudget),
	}
	d.settings.Store(s)
	d.members.Self = feed.Member{ID: feed.MemberID(s.ID), Address: s.Peers, Domain: s.Domain, LinkMbps: int(s.LinkMbps)}
	for _, o := range opts {
		o(d)
	}
	if d.lines != nil {
		d.log = telemetry.NewLog(d.lines, s.LogLevel).With(zap.String("entry", s.ID), zap.String("domain", string(s.Domain)))
	}
	d.conns.limit = d.idleLimit
	d.store = platform.NewStore(s.Store, d.dial)
	d.client = feed.NewClient(d.dial)
	d.relay = relay.New(d.dial)
	d.relay.ID = s.ID
	d.relay.Domain = s.Domain
	d.relay.Helper = d.helper
	d.relay.HelperFailed = d.helperFailed
	d.relay.Region = func(n names.ID) names.ID { return s.Region(n) }
	d.relay.Pool = &d.pool
	d.relay.Costs = &d.costs
	d.relay.Table = d.table.Load
	d.relay.Ready = d.loaded
	d.relay.Budget = d.budget
	d.relay.Restarted = d.handleRestart
	d.relay.Hung = d.reportHung
	d.relay.Leaving = d.reportLeaving
	d.relay.LimitChanged = d.reportLimit
	d.initAdmission()
	d.pool.OnShort = d.reportShort
	d.pool.EntryVMs = d.members.Count
	d.pool.Seed = s.ID
	d.relay.Allowed = d.allowedVersions
	d.relay.Sending, d.relay.Sent = d.mayStillSend, d.recordSent
	d.relay.SlowAfter = d.slowAfter
	d.relay.Answered = d.recordAnswer
	d.relay.Quarantine = &d.quarantine
	d.relay.QuarantineChanged = d.quarantineChanged
	d.relay.ClaimTrial = d.claimTrial
	d.relay.Closing = d.stopping.Load
	d.relay.Draining = d.draining.Load
	d.relay.StopAt = d.stopAt
	d.relay.Log = d.log
	d.initMemory(s)
	if err := d.initTelemetry(); err != nil {
		return nil, err
	}
	return d, d.initClients(s)
}

// initMemory bounds what the relay holds, and puts the agreement pressure in force for it if the settings list it.
func (d *Daemon) initMemory(s *settings.Gateway) {
	d.relay.BodyMemory = int64(bodyMemoryShare * megabyte * float64(s.MemoryMB))
	d.relay.AnswerMemory = int64(answerMemoryShare * megabyte * float64(s.MemoryMB))
	if s.Agreed(platform.Pressure) {
		d.relay.KeepConnections(s.MaxFDs)
		d.relay.ReadAhead(slowCallerMemory(s))
	}
}

// initTelemetry sets up the metrics and the tracer.
func (d *Daemon) initTelemetry() error {
	m, err := telemetry.NewGateway(telemetry.Gauges{
		Servers: d.pool.Size,
		Members: d.members.Count,
		Version: func() int64 {
			if t := d.table.Load(); t != nil {
				return int64(t.Version)
			}
			return 0
		},
		CutOff:   d.relay.CutOff,
		Taken:    d.relay.Taken,
		Held:     d.relay.HeldForCallers,
		Limited:  func() int { return d.pool.LimitedServers(time.Now()) },
		Admitted: d.admissionState,
		StoreAge: func() time.Duration { return time.Since(d.changes.FreshAt()) },
		Speeds:   func() (slow, fast int) { return d.costs.Levels(time.Now()) },
		Prefill:  d.prefillRates,
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
	if d.relay.Tracer, d.closeTraces, err = telemetry.NewGatewayTracer(d.settings.Load(), d.telemetryOptions...); err != nil {
		return err
	}
	d.relay.StreamSent = m.StreamSent
	d.relay.Connection = func(p serverconn.Purpose, reused bool) { m.Connection(p.String(), reused) }
	d.observeAdmission(m)
	d.relay.Ended = func(n routing.ServiceName, c result.Code, took time.Duration, attempts int) {
		m.RequestEnded(string(n), c, took, attempts)
	}
	d.store.Observe = func(_ string, took time.Duration, c result.Code) { m.StoreCall(c, took) }
	d.store.Skipped = func(path string, err error) {
		d.log.Warn("malformed object ignored", zap.String("path", path), zap.Error(err))
	}
	return nil
}

// Limits of the daemon's HTTP servers and of its memory.
const (
	// readHeaderTimeout bounds how long a caller may take to send headers. It is above
	// every limit that configurations set.
	readHeaderTimeout = 10 * time.Second
	// unusedBodyWait bounds the time to receive a body that no handler uses. Those of requests that other entry VMs
	// hand over have the deadline of the request.
	unusedBodyWait = time.Second
	// sweepInterval is how often sweep runs.
	sweepInterval = time.Second
	// memoryLimitShare is the part of the permitted memory that the garbage collector
	// aims to stay below.
	memoryLimitShare = 0.7
	// bodyMemoryShare is the part of the permitted memory for large bodies of requests.
	bodyMemoryShare = 0.3
	// answerMemoryShare is the same for long answers to calls.
	answerMemoryShare = 0.1
	// slowCallerShare is the same for what callers that read slowly have not read of their streams.
	slowCallerShare = 0.08
	// defaultSlowCallerMB is used if the permitted memory is unknown: the share of the smallest entry VMs.
	defaultSlowCallerMB = 8
	megabyte            = 1_000_000
)

// slowCallerMemory returns the memory for what callers that read slowly have not read of their streams, in bytes.
func slowCallerMemory(s *settings.Gateway) int64 {
	switch {
	case s.SlowReaderMemoryMB > 0:
		return int64(s.SlowReaderMemoryMB) * megabyte
	case s.MemoryMB > 0:
		return int64(slowCallerShare * megabyte * float64(s.MemoryMB))
	}
	return defaultSlowCallerMB * megabyte
}

// Serve runs the daemon until ctx ends, and then until the in-flight requests have
// ended or the grace period is nearly over.
func (d *Daemon) Serve(ctx context.Context) error {
	start := time.Now()
	s := d.settings.Load()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * megabyte * float64(s.MemoryMB)))
	}
	work, stopWork := context.WithCancelCause(context.Background())
	defer stopWork(nil)
	front := &http.Server{
		Handler: d.relay, ReadHeaderTimeout: readHeaderTimeout, ConnState: d.conns.track,
		ErrorLog:    errorLog(d.log),
		BaseContext: func(net.Listener) context.Context { return work },
	}
	ready := &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	peers := &http.Server{
		Handler: d.takeRequests(d.peerHandler()), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: errorLog(d.log),
		BaseContext: func(net.Listener) context.Context { return work },
	}
	metrics := &http.Server{Handler: d.metrics.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	defer front.Close()
	defer ready.Close()
	defer peers.Close()
	defer metrics.Close()
	failed := make(chan error, 4)
	var callers net.Listener
	for _, x := range []struct {
		server  *http.Server
		address string
		head    func() connlimit.Bytes
		bodies  time.Duration
	}{
		{front, s.Listen, d.callerHead, readHeaderTimeout},
		{ready, s.Readiness, d.probeHead, unusedBodyWait},
		{peers, s.Peers, d.peerHead, unusedBodyWait},
		{metrics, s.Metrics, d.probeHead, unusedBodyWait},
	} {
		l, err := d.bind(ctx, x.address)
		if err != nil {
			return err
		}
		d.clients.Attach(x.server, connlimit.BodyPolicy{Total: x.bodies})
		if x.server == front {
			l = d.boundSendBuffers(l)
		}
		l = d.clients.Listen(l, x.head)
		if x.server == front {
			callers = l
		}
		go func() { failed <- x.server.Serve(l) }()
	}
	// Until its last answer a stopping entry VM learns of changes as any other.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.startLoops(background)
	d.log.Info("started", zap.Duration("after", time.Since(start)), zap.String("listen", s.Listen))
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	d.shutDown(callers, stopWork)
	return nil
}

// startLoops starts what runs in the background until ctx ends.
func (d *Daemon) startLoops(ctx context.Context) {
	for _, x := range []struct {
		what string
		run  func(context.Context)
	}{
		{"updates", d.follow},
		{"expiry", d.sweep},
		{"retry budgets", d.shareBudgets},
		{"exchange of sums", d.exchangeSums},
		{"samples of speeds", d.forwardSamples},
		{"publication of crashes", d.publishCrashes},
		{"checks of reach", d.relay.WatchReach},
	} {
		go telemetry.Loop(ctx, d.log, x.what, x.run)
	}
}

// How an address is bound that is not free: the process before this one may be closing.
const (
	bindWait     = 5 * time.Second
	bindInterval = 100 * time.Millisecond
)

// bind listens at an address, once it is free. Its error is logged.
func (d *Daemon) bind(ctx context.Context, address string) (net.Listener, error) {
	until := time.Now().Add(bindWait)
	for tries := 1; ; tries++ {
		l, err := d.listen(address)
		switch {
		case err == nil && tries > 1:
			d.log.Info("address bound", zap.String("address", address), zap.Int("tries", tries))
			return l, nil
		case err == nil:
			return l, nil
		case time.Now().After(until) || clock.Sleep(ctx, bindInterval) != nil:
			d.log.Error("address not bound", zap.String("address", address), zap.Int("tries", tries), zap.Error(err))
			if d.lines != nil {
				d.lines.Close()
			}
			return nil, result.Wrap(result.AddressNotBound, err, "listen at %s", address)
		}
	}
}

// Log returns the daemon's log.
func (d *Daemon) Log() *zap.Logger { return d.log }

// Reload puts changed settings in force. Changes of addresses, names and the memory
// limit take effect at the next start; in-flight requests are not affected.
func (d *Daemon) Reload(s *settings.Gateway) {
	old := d.settings.Swap(s)
	if old.Bounds.RepeatRatio != s.Bounds.RepeatRatio || old.Bounds.RepeatWindowS != s.Bounds.RepeatWindowS {
		d.mu.Lock()
		clear(d.budgets) // created again with the new bounds when used
		d.mu.Unlock()
	}
	d.updateSlack()
	d.log.Info("settings reloaded", zap.Bool("changed", !reflect.DeepEqual(old, s)),
		zap.Bool("restartNeeded", old.ID != s.ID || old.Listen != s.Listen || old.Store != s.Store || old.Peers != s.Peers))
}

// errorLog returns a logger for an http.Server, which reports panics and broken
// connections.
func errorLog(l *zap.Logger) *log.Logger {
	std, err := zap.NewStdLogAt(l, zap.ErrorLevel)
	if err != nil {
		panic(err) // the only error is an unknown level
	}
	return std
}

// Timing of a graceful stop.
const (
	// unreadyNotice is how long the platform may go on sending new connections after
	// this entry VM has reported that it is not ready.
	unreadyNotice = 2300 * time.Millisecond
	// killMargin is the time left before the kill for callers to see their connections
	// closed.
	killMargin = 700 * time.Millisecond
	// lastAnswersWait is how long the requests that are cancelled at the end may take to be
	// answered. It is a part of killMargin.
	lastAnswersWait = 300 * time.Millisecond
)

// drainInterval is how often drain looks for idle connections.
const drainInterval = 20 * time.Millisecond

// drain closes callers' connections once they are idle, until none is left and no request of another
// entry VM is in flight, or ctx ends.
// http.Server.Shutdown drops requests whose heads it reads meanwhile.
func (d *Daemon) drain(ctx context.Context) error {
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for d.conns.closeIdle(time.Now())+d.relay.Taken() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// stopAt returns when the requests in flight are broken off; zero before a stop.
func (d *Daemon) stopAt() time.Time {
	if at := d.stopsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// shutDown stops accepting callers and waits for the in-flight requests.
func (d *Daemon) shutDown(callers net.Listener, stopWork context.CancelCauseFunc) {
	start := time.Now()
	killAt := start.Add(d.settings.Load().Bounds.GraceS.Duration())
	stopAt := killAt.Add(-killMargin)
	d.stopsAt.Store(&stopAt)
	d.stopping.Store(true)
	d.log.Info("stopping", zap.Time("killAt", killAt))
	time.Sleep(min(unreadyNotice, time.Until(killAt)/2))
	ctx, cancel := context.WithDeadline(context.Background(), stopAt)
	defer cancel()
	d.draining.Store(true)
	// The server fails to accept from here on, however Close ends.
	_ = callers.Close()
	err := d.drain(ctx)
	stopWork(relay.ErrStopping)
	if errors.Is(err, context.DeadlineExceeded) {
		last, cancel := context.WithTimeout(context.Background(), lastAnswersWait)
		defer cancel()
		// What is still open then is closed without an answer.
		_ = d.drain(last)
		err = errors.New("in-flight requests were aborted at the end of the grace period")
	}
	d.log.Info("stopped", zap.Duration("after", time.Since(start)), zap.Error(err))
	d.store.CloseIdle()
	d.client.CloseIdle()
	d.relay.CloseIdle()
	if err := d.closeTraces(ctx); err != nil {
		d.log.Info("last spans not exported", zap.Error(err))
	}
	if d.lines != nil {
		d.lines.Close()
	}
}

// serveReady answers the platform's readiness check: whether callers may be sent here.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.table.Load() == nil || d.pool.Size() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// peerHandler returns the handler of polls from other entry VMs.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+feed.Path, &feed.Server{
		Members: &d.members, Log: &d.changes,
		OnHung: d.applyHung, OnLeaving: d.applyLeaving, OnServerLimits: d.applyLimits, OnCounts: d.applyPeerCounts, OnCrashes: d.applyCrashReports, OnNewerConfig: d.fetchConfig,
		Respond: func(q feed.Request) feed.Response {
			now := time.Now()
			a := d.changes.Respond(now, q, d.pool.List)
			a.Limits, a.Permits = d.grant(now, &q)
			a.Crowds = d.pool.Crowds(now)
			a.Grants, a.Sums = d.grantShares(now, &q), d.exchangeSumsWith(now, &q)
			a.Speeds = d.mergeSpeeds(now, &q)
			return a
		},
	})
	mux.HandleFunc("GET "+WherePath, d.serveWhere)
	return mux
}

// closeIdleConns closes callers' connections that have been idle for too long.
func (d *Daemon) closeIdleConns(now time.Time) {
	if n := d.conns.closeExpired(now); n > 0 {
		d.metrics.IdleClosed(n)
		d.log.Info("idle connections closed", zap.Int("count", n), zap.Duration("limit", d.idleLimit()))
	}
}

// idleLimit returns the limit of the configuration in force for callers' idle
// connections; 0 for none.
func (d *Daemon) idleLimit() time.Duration {
	if t := d.table.Load(); t != nil {
		return t.Limits.IdleTimeout
	}
	return 0
}

// sweep expires servers and members, divides the retry budgets' slack again and closes
// idle connections, periodically until ctx ends.
func (d *Daemon) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			d.pool.Expire(now)
			d.releaseHeldServers(now)
			d.expireCrashes(now)
			d.members.Expire(now)
			d.updateSlack()
			d.closeIdleConns(now)
		case <-ctx.Done():
			return
		}
	}
}
