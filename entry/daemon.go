// Package entry implements the daemon of an entry VM. It connects the callers'
// API, the operators' API and the clients of engines, plain services, the
// platform and the other entry VMs.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quetzalhold/booking"
	"quetzalhold/caller"
	"quetzalhold/clock"
	"quetzalhold/connlimit"
	"quetzalhold/engine"
	"quetzalhold/limit"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/peer"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/service"
	"quetzalhold/settings"
	"quetzalhold/telemetry"
)

// Daemon is the process of one entry VM. Use [New], then [Daemon.Serve].
type Daemon struct {
	settings      *settings.Entry
	dial          engine.Dialer
	log           io.Writer
	telemetryOpts []telemetry.Option
	policy        engine.Policy
	chooser       engine.Chooser

	telemetry     *telemetry.Telemetry
	history       *telemetry.History
	registry      *names.Registry
	store         operator.Store
	pool          engine.Pool
	engines       *engine.Client
	canceller     engine.Canceller
	runner        *engine.Runner
	services      *service.Client
	platform      *objects.Client
	peers         *peer.Client
	members       *peer.Membership
	gossip        *peer.Gossip
	gate          limit.Gate
	quota         *peer.Quota
	owners        bucketOwners
	bookingWriter booking.BatchWriter
	bookings      *booking.Runner
	moves         moveTracker
	quarantine    quarantine.List
	// crashesChanged wakes shareCrashes up.
	crashesChanged chan struct{}
	lease          *objects.Lease
	http           *http.Server
	clients        connlimit.Limiter

	draining  atomic.Bool  // reports not ready, but still accepts requests
	stopping  atomic.Bool  // refuses new requests
	inFlight  atomic.Int64 // callers' requests in progress
	vmsListed atomic.Bool  // the platform's list of VMs has been read at least once

	applying          sync.Mutex // held while configuration objects are applied
	mu                sync.Mutex
	faults            []*result.Error
	platformReachedAt time.Time
	platformErr       error
}

// Option changes a Daemon.
type Option func(*Daemon)

// WithDial sets the dialer for the daemon's outgoing connections.
func WithDial(d engine.Dialer) Option { return func(e *Daemon) { e.dial = d } }

// WithLog sets the destination of the log. By default nothing is logged.
func WithLog(w io.Writer) Option { return func(e *Daemon) { e.log = w } }

// WithPolicy sets the limits by which the daemon decides that an engine's
// stream has failed.
func WithPolicy(p engine.Policy) Option { return func(e *Daemon) { e.policy = p } }

// WithChooser sets how an engine is chosen for an attempt.
func WithChooser(c engine.Chooser) Option { return func(e *Daemon) { e.chooser = c } }

// WithTelemetry passes options on to the daemon's telemetry.
func WithTelemetry(opts ...telemetry.Option) Option {
	return func(e *Daemon) { e.telemetryOpts = append(e.telemetryOpts, opts...) }
}

// New returns a daemon. The settings must have been validated.
func New(s *settings.Entry, opts ...Option) (*Daemon, error) {
	d := &Daemon{settings: s, log: io.Discard, registry: s.Registry(), crashesChanged: make(chan struct{}, 1)}
	for _, o := range opts {
		o(d)
	}
	var err error
	if d.telemetry, err = telemetry.New(s, d.log, d.telemetryOpts...); err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	limits := s.Limits.WithDefaults()
	d.history = telemetry.NewHistory(limits.HistoryRequests)
	d.engines = engine.NewClient(d.dial)
	d.canceller.Call = d.engines.Cancel
	d.runner = d.newRunner(limits)
	d.services = &service.Client{
		Domain:   s.DomainID(),
		RegionOf: s.RegionOf,
		Dial:     d.dial,
		Tracer:   d.telemetry.Tracer,
		OnStep:   d.recordStep,
	}
	d.platform = d.newPlatform(limits)
	d.peers = peer.NewClient(peer.NewToken(s.CursorKey), d.dial, d.telemetry.Tracer)
	d.bookingWriter.Get = d.platform.Get
	d.bookingWriter.Put = d.platform.Put
	d.newGossip()
	d.lease = &objects.Lease{
		Name: moveLeaseName, Holder: s.ID, TTL: moveLeaseTTL, Get: d.platform.Get, Put: d.platform.Put,
	}
	d.owners.self = d.members.Self().Address
	d.bookings = &booking.Runner{Apply: d.applyBooking, Limits: booking.Limits{Retention: limits.BookingKeepMs.Duration()}}
	d.http = d.newServer(limits)
	if err := d.initClients(); err != nil {
		return nil, err
	}
	// callerStallMs bounds the pauses of callers that read an answer as well.
	d.clients.Attach(d.http, connlimit.BodyPolicy{
		Stall:  limits.CallerStallMs.Duration(),
		Limits: connlimit.BodyLimits{Memory: connlimit.UnknownBodyMemory, Unfinished: d.clients.Limits.Connections},
	})
	return d, nil
}

// newGossip sets up membership, gossip and quota allocation among the entry
// VMs. Each start of the daemon is a new incarnation.
func (d *Daemon) newGossip() {
	d.members = peer.NewMembership(peer.Member{
		Address:     peer.Address(d.settings.AdvertiseAddress()),
		ID:          engine.ServerID(d.settings.ID),
		Domain:      d.settings.DomainID(),
		Incarnation: engine.Incarnation(time.Now().UnixMilli()),
	})
	d.gossip = &peer.Gossip{
		Members:        d.members,
		Client:         d.peers,
		Store:          &d.store,
		Apply:          d.apply,
		Draining:       d.leavingServers,
		RecordDraining: d.markLeaving,
		Crashes:        d.crashReport,
		RecordCrashes:  d.recordCrashes,
	}
	d.quota = &peer.Quota{Gossip: d.gossip, Gate: &d.gate, Limits: d.limitsOf}
	for _, p := range d.settings.Peers {
		d.gossip.Seeds = append(d.gossip.Seeds, peer.Address(p))
	}
}

// limitsOf returns the fleet-wide limits of an organisation under the preset
// in force.
func (d *Daemon) limitsOf(k limit.Key) limit.Limits {
	cfg := d.store.Current()
	org := cfg.OrganisationByLimitKey(k)
	if org == nil {
		return limit.Limits{}
	}
	return org.Limits(cfg.InForce())
}

// burstSeconds is the burst of the platform call budget, in seconds of its rate.
const burstSeconds = 2

func (d *Daemon) newPlatform(l settings.Limits) *objects.Client {
	budget := objects.NewBudget(float64(l.PlatformCalls), burstSeconds*l.PlatformCalls)
	budget.Observe = func(p objects.Priority, room bool) { d.telemetry.Metrics.PlatformCall(p.String(), room) }
	return objects.NewClient(d.settings.Platform,
		objects.WithDial(d.dial), objects.WithTracer(d.telemetry.Tracer), objects.WithBudget(budget))
}

func (d *Daemon) newRunner(l settings.Limits) *engine.Runner {
	ch := d.chooser
	ch.RegionOf = d.settings.RegionOf
	return &engine.Runner{
		Client:      d.engines,
		Pool:        &d.pool,
		Canceller:   &d.canceller,
		Chooser:     ch,
		Policy:      d.policy,
		Domain:      d.settings.DomainID(),
		OnStep:      d.recordStep,
		Tracer:      d.telemetry.Tracer,
		ServerWait:  l.ServerWaitMs.Duration(),
		ResumeGrace: l.ResumeGraceMs.Duration(),
	}
}

// headerTimeout bounds the time in which a caller must send its headers.
const headerTimeout = 10 * time.Second

func (d *Daemon) newServer(l settings.Limits) *http.Server {
	mux := http.NewServeMux()
	scheme := d.settings.DisplayScheme()
	completions := &caller.Server{
		Configuration: d.store.Current,
		Run:           d.runner.Run,
		Version:       d.versionOf,
		OnOutcome:     d.observe,
		OnStep:        d.recordStep,
		Guard:         d.guard,
		Gate:          &d.gate,
		Domains:       d.gossip.Domains,
		Stopping:      d.stopping.Load,
		Sealer:        caller.NewSealer(d.settings.CursorKey),
		Telemetry:     d.telemetry,
		Limits:        l,
		Scheme:        scheme,
	}
	completions.Register(mux)
	serviceCalls := &caller.Services{
		Configuration: d.store.Current,
		Do:            d.services.Do,
		Book:          d.bookings.Run,
		Guard:         d.guard,
		Stopping:      d.stopping.Load,
		Telemetry:     d.telemetry,
		Limits:        l,
		Scheme:        scheme,
	}
	serviceCalls.Register(mux)
	api := &operator.API{
		Key:     d.settings.OperatorKey,
		Store:   &d.store,
		Put:     d.platform.Put,
		Get:     d.platform.Get,
		OnWrite: func(o objects.Object) { d.applyAndPush(context.Background(), []objects.Object{o}) },
		Status:  d.status,
		History: d.History,
	}
	api.Register(mux)
	mux.HandleFunc("GET "+operator.PathWhere, d.serveWhere)
	peerServer := &peer.Server{Token: peer.NewToken(d.settings.CursorKey), Gossip: d.gossip, Quota: d.quota, Evidence: d.addEvidence, ApplyBooking: d.bookingWriter.Apply}
	peerServer.Register(mux)
	mux.Handle("GET /metrics", d.telemetry.Handler())
	mux.HandleFunc("GET "+caller.PathAlive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET "+caller.PathReady, d.serveReady)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		result.Write(w, result.New(result.UnknownPath, "%s %s", r.Method, r.URL.Path).AsNotRun())
	})
	return &http.Server{
		Handler:           d.countInFlight(limitHeader(l.MaxHeaderBytes, mux)),
		ReadHeaderTimeout: headerTimeout,
	}
}

// headerReadFactor times the limit on headers is how much of them is read, so that limitHeader can refuse larger ones
// with a result code. limitHeader does not count separators, and a line may have one other byte.
const headerReadFactor = 4

// limitHeader refuses requests whose headers and URI exceed a limit.
func limitHeader(limit settings.Bytes, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(r.RequestURI)
		for k, all := range r.Header {
			for _, v := range all {
				size += len(k) + len(v)
			}
		}
		if settings.Bytes(size) > limit {
			result.Write(w, result.New(result.HeaderTooLarge, "%d bytes, over %d", size, limit).AsNotRun())
			return
		}
		h.ServeHTTP(w, r)
	})
}

// callersPrefix is the path prefix of callers' requests.
const callersPrefix = "/v1/"

// countInFlight counts the callers' requests in progress.
func (d *Daemon) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, callersPrefix) {
			d.inFlight.Add(1)
			defer d.inFlight.Add(-1)
		}
		h.ServeHTTP(w, r)
	})
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.draining.Load():
		result.Write(w, result.New(result.Stopping, "shutting down"))
	case d.store.Empty() || !d.vmsListed.Load():
		result.Write(w, result.New(result.NoConfiguration, "starting"))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// Serve serves on l until ctx ends, then shuts down gracefully: it first
// reports that it is not ready, then refuses new requests, and returns once
// every request in progress has ended or the drain limit has passed.
func (d *Daemon) Serve(ctx context.Context, l net.Listener) error {
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, x := range []struct {
		what string
		run  func(context.Context)
	}{
		{"watch of the configuration", d.watchConfiguration},
		{"list of VMs", d.pollVMs},
		{"reports of engines", d.pollEngines},
		{"gossip", d.gossip.Run},
		{"shares of limits", d.quota.Run},
		{"version moves", d.runMoves},
		{"exchange of crashes", d.shareCrashes},
	} {
		wg.Go(func() { telemetry.Loop(loopCtx, d.telemetry.Log, x.what, x.run) })
	}
	failed := make(chan error, 1)
	go func() { failed <- d.http.Serve(d.clients.Listen(l, d.headLimit)) }()
	d.telemetry.Log.Info("serving", zap.String("address", l.Addr().String()))
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = d.shutdown()
	}
	stop()
	wg.Wait()
	d.engines.CloseIdle()
	d.platform.CloseIdle()
	d.peers.CloseIdle()
	return errors.Join(err, d.telemetry.Close(context.Background()))
}

// readyDelay is how long the entry VM still accepts requests after it has
// reported that it is not ready, so that the load balancer can notice.
const readyDelay = 2 * time.Second

// drainPoll is how often a shutdown checks for requests in progress.
// closeTimeout bounds each of the two steps after them: writing the records of
// ended bookings, and closing the HTTP server.
const (
	drainPoll    = 50 * time.Millisecond
	closeTimeout = 5 * time.Second
)

// shutdown stops the HTTP server without interrupting a request. The server
// listens until the last request has ended: callers probe the entry VM that
// holds their request, and new requests get a refusal with a result code.
func (d *Daemon) shutdown() error {
	d.telemetry.Log.Info("stopping", zap.Int64("open", d.inFlight.Load()))
	d.draining.Store(true)
	d.members.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.WithDefaults().DrainMs.Duration())
	defer cancel()
	_ = clock.Sleep(ctx, readyDelay) // a shorter drain limit ends it sooner
	d.stopping.Store(true)
	for d.inFlight.Load() > 0 && ctx.Err() == nil {
		_ = clock.Sleep(ctx, drainPoll) // the loop checks ctx
	}
	d.waitBookings()
	interrupted := d.inFlight.Load()
	closing, stop := context.WithTimeout(context.Background(), closeTimeout)
	defer stop()
	err := d.http.Shutdown(closing)
	if interrupted > 0 {
		return result.Wrap(result.Stopping, err, "%d requests were cut", interrupted)
	}
	return err
}

// waitBookings waits until the records of ended bookings have been written, or
// closeTimeout has passed. If a record has not been written, a caller that
// repeats the booking is told that its outcome is unknown.
func (d *Daemon) waitBookings() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	go func() {
		d.bookings.Wait()
		cancel()
	}()
	<-ctx.Done()
}

// Kill stops the daemon at once, as the loss of its VM would: it closes all
// connections and finishes no request.
func (d *Daemon) Kill() { _ = d.http.Close() }

// recordStep adds a step to the request's history, the metrics and the debug log.
func (d *Daemon) recordStep(s engine.Step) {
	d.history.Record(s)
	d.telemetry.Metrics.Step(s.Event)
	d.telemetry.Log.Debug("step",
		zap.String("request", string(s.Request)),
		zap.String("what", s.Event),
		zap.String("why", s.Reason),
		zap.String("server", string(s.Server)),
		zap.Uint64("attempt", uint64(s.Attempt)),
		zap.Int64("offset", int64(s.Offset)),
	)
}

// History returns the steps of a request that this entry VM recorded.
func (d *Daemon) History(id engine.RequestID) operator.History {
	return operator.History{Entry: engine.ServerID(d.settings.ID), Steps: d.history.Steps(id)}
}

func (d *Daemon) status() operator.Status {
	st := operator.Status{
		Entry:          engine.ServerID(d.settings.ID),
		Domain:         d.registry.Names(names.Domain, d.settings.DomainID()),
		Address:        d.settings.AdvertiseAddress(),
		Ready:          !d.draining.Load() && !d.store.Empty() && d.vmsListed.Load(),
		Stopping:       d.draining.Load(),
		OpenRequests:   int(d.inFlight.Load()),
		PendingCancels: d.canceller.Pending(),
		Engines:        []operator.EngineStatus{},
		Objects:        []operator.ObjectVersion{},
	}
	cfg := d.store.Current()
	if p := cfg.InForce(); p != nil {
		st.Preset = p.Name
	}
	for _, o := range cfg.Objects() {
		st.Objects = append(st.Objects, operator.ObjectVersion{Kind: o.Kind, Name: o.Name, Version: o.Version})
	}
	for _, m := range d.members.Members() {
		st.Members = append(st.Members, operator.MemberStatus{
			ID: m.ID, Address: string(m.Address), State: m.State.String(), Incarnation: m.Incarnation,
		})
	}
	st.Watcher = d.members.Has(peer.Watcher)
	st.Delegate = d.members.Has(peer.Delegate)
	for _, s := range d.pool.Servers() {
		st.Engines = append(st.Engines, operator.EngineStatus{
			ID: s.ID, Domain: s.Domain, LastSeen: d.pool.LastSeen(s.ID), Draining: s.Leaving,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	st.Faults = d.faults
	st.Platform.LastSuccess = d.platformReachedAt
	if d.platformErr != nil {
		st.Platform.Error = d.platformErr.Error()
	}
	return st
}

// Object returns a configuration object that is in force on this entry VM.
func (d *Daemon) Object(k objects.Kind, n objects.Name) (objects.Object, bool) {
	return d.store.Get(k, n)
}
