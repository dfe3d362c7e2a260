// Package entry is the daemon on an entry VM: it joins what speaks to callers,
// engines, services, the platform, operators and the other entry VMs.
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
	"quetzalhold/engine"
	"quetzalhold/limit"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/peer"
	"quetzalhold/result"
	"quetzalhold/service"
	"quetzalhold/settings"
	"quetzalhold/telemetry"
)

// Daemon is the process of one entry VM. Use [New], then [Daemon.Serve].
type Daemon struct {
	settings *settings.Entry
	dial     engine.Dialer
	log      io.Writer
	telemOpt []telemetry.Option
	policy   engine.Policy
	chooser  engine.Chooser

	telemetry *telemetry.Telemetry
	history   *telemetry.History
	places    *names.Registry
	store     operator.Store
	pool      engine.Pool
	engines   *engine.Client
	canceller engine.Canceller
	runner    *engine.Runner
	services  *service.Client
	platform  *objects.Client
	peers     *peer.Client
	members   *peer.Membership
	gossip    *peer.Gossip
	gate      limit.Gate
	quota     *peer.Quota
	owners    owners
	ledger    booking.BatchWriter
	desk      *booking.Runner
	mover     mover
	lease     *objects.Lease
	http      *http.Server

	draining atomic.Bool  // not ready, but requests are still taken
	stopping atomic.Bool  // no new requests
	open     atomic.Int64 // callers' requests under way
	listed   atomic.Bool  // the list of VMs was read once

	mu         sync.Mutex
	faults     []*result.Error
	reachedAt  time.Time
	platformIs error
}

// Option changes a Daemon.
type Option func(*Daemon)

// WithDial sets how the daemon opens connections.
func WithDial(d engine.Dialer) Option { return func(e *Daemon) { e.dial = d } }

// WithLog sets where the daemon logs to; nowhere if unset.
func WithLog(w io.Writer) Option { return func(e *Daemon) { e.log = w } }

// WithPolicy sets by which limits a stream is judged.
func WithPolicy(p engine.Policy) Option { return func(e *Daemon) { e.policy = p } }

// WithChooser sets how an engine is picked.
func WithChooser(c engine.Chooser) Option { return func(e *Daemon) { e.chooser = c } }

// WithTelemetry passes options on to the daemon's telemetry.
func WithTelemetry(opts ...telemetry.Option) Option {
	return func(e *Daemon) { e.telemOpt = append(e.telemOpt, opts...) }
}

// New returns a daemon with checked settings.
func New(s *settings.Entry, opts ...Option) (*Daemon, error) {
	d := &Daemon{settings: s, log: io.Discard, places: s.Registry()}
	for _, o := range opts {
		o(d)
	}
	var err error
	if d.telemetry, err = telemetry.New(s, d.log, d.telemOpt...); err != nil {
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
		OnStep:   d.note,
	}
	d.platform = d.newPlatform(limits)
	d.peers = peer.NewClient(peer.NewToken(s.CursorKey), d.dial, d.telemetry.Tracer)
	d.ledger.Get = d.platform.Get
	d.ledger.Put = d.platform.Put
	d.newGossip()
	d.lease = &objects.Lease{
		Name: moveLease, Holder: s.ID, TTL: leaseTerm, Get: d.platform.Get, Put: d.platform.Put,
	}
	d.owners.self = d.members.Self().Address
	d.desk = &booking.Runner{Apply: d.changeBooking, Limits: booking.Limits{Retention: limits.BookingKeepMs.Duration()}}
	d.http = d.newServer(limits)
	return d, nil
}

// newGossip sets up the exchange with the other entry VMs. Each start is a new
// incarnation.
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
		Draining:       d.leaving,
		RecordDraining: d.noteLeaving,
	}
	d.quota = &peer.Quota{Gossip: d.gossip, Gate: &d.gate, Limits: d.limitsOf}
	for _, p := range d.settings.Peers {
		d.gossip.Seeds = append(d.gossip.Seeds, peer.Address(p))
	}
}

// limitsOf returns an organisation's fleet-wide limits in force.
func (d *Daemon) limitsOf(k limit.Key) limit.Limits {
	cfg := d.store.Current()
	org := cfg.OrganisationByLimitKey(k)
	if org == nil {
		return limit.Limits{}
	}
	return org.Limits(cfg.InForce())
}

// burstSeconds is how many seconds' calls to the platform may be made at once.
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
		OnStep:      d.note,
		Tracer:      d.telemetry.Tracer,
		ServerWait:  l.ServerWaitMs.Duration(),
		ResumeGrace: l.ResumeGraceMs.Duration(),
	}
}

// headerLimit is how long a caller may take to send its headers.
const headerLimit = 10 * time.Second

func (d *Daemon) newServer(l settings.Limits) *http.Server {
	mux := http.NewServeMux()
	scheme := d.settings.DisplayScheme()
	answers := &caller.Server{
		Configuration: d.store.Current,
		Run:           d.runner.Run,
		Version:       d.versionOf,
		OnOutcome:     d.observe,
		OnStep:        d.note,
		Gate:          &d.gate,
		Domains:       d.gossip.Domains,
		Stopping:      d.stopping.Load,
		Sealer:        caller.NewSealer(d.settings.CursorKey),
		Telemetry:     d.telemetry,
		Limits:        l,
		Scheme:        scheme,
	}
	answers.Register(mux)
	calls := &caller.Services{
		Configuration: d.store.Current,
		Do:            d.services.Do,
		Book:          d.desk.Run,
		Stopping:      d.stopping.Load,
		Telemetry:     d.telemetry,
		Limits:        l,
		Scheme:        scheme,
	}
	calls.Register(mux)
	api := &operator.API{
		Key:     d.settings.OperatorKey,
		Store:   &d.store,
		Put:     d.platform.Put,
		Get:     d.platform.Get,
		OnWrite: func(o objects.Object) { d.learn(context.Background(), []objects.Object{o}) },
		Status:  d.status,
		History: d.History,
	}
	api.Register(mux)
	share := &peer.Server{Token: peer.NewToken(d.settings.CursorKey), Gossip: d.gossip, Quota: d.quota, Evidence: d.takeEvidence, ApplyBooking: d.ledger.Apply}
	share.Register(mux)
	mux.Handle("GET /metrics", d.telemetry.Handler())
	mux.HandleFunc("GET "+caller.PathAlive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET "+caller.PathReady, d.serveReady)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		result.Write(w, result.New(result.UnknownPath, "%s %s", r.Method, r.URL.Path).AsNotRun())
	})
	return &http.Server{
		Handler:           d.count(limitHeader(l.MaxHeaderBytes, mux)),
		ReadHeaderTimeout: headerLimit,
		// Far above the limit, the connection is refused without a code.
		MaxHeaderBytes: headerSlack * int(l.MaxHeaderBytes),
	}
}

// headerSlack times the limit on headers is what is read of them.
const headerSlack = 4

// limitHeader refuses requests whose headers are over a limit.
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

// callersPrefix is the path below which callers' requests are.
const callersPrefix = "/v1/"

// count counts the callers' requests under way.
func (d *Daemon) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, callersPrefix) {
			d.open.Add(1)
			defer d.open.Add(-1)
		}
		h.ServeHTTP(w, r)
	})
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.draining.Load():
		result.Write(w, result.New(result.Stopping, "shutting down"))
	case d.store.Empty() || !d.listed.Load():
		result.Write(w, result.New(result.NoConfiguration, "starting"))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// Serve serves on l until ctx ends, then shuts down gracefully: first the
// entry VM says that it is not ready, then it takes no new requests, and it
// returns once every request under way has ended or the drain limit is over.
func (d *Daemon) Serve(ctx context.Context, l net.Listener) error {
	run, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){d.watchConfiguration, d.pollVMs, d.pollEngines, d.gossip.Run, d.quota.Run, d.runMoves} {
		wg.Go(func() { loop(run) })
	}
	failed := make(chan error, 1)
	go func() { failed <- d.http.Serve(l) }()
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

// readyDelay is how long the entry VM still takes requests after it has said
// that it is not ready, for the balancer to hear of it.
const readyDelay = 2 * time.Second

// The pace at which a shutdown looks for requests under way, and what is left
// to them once none is.
const (
	drainPoll  = 50 * time.Millisecond
	closeLimit = 5 * time.Second
)

// shutdown ends the HTTP server without cutting a request. The server listens
// until the last one has ended: callers probe the entry VM that has their
// question, and new requests get a numbered refusal.
func (d *Daemon) shutdown() error {
	d.telemetry.Log.Info("stopping", zap.Int64("open", d.open.Load()))
	d.draining.Store(true)
	d.members.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.WithDefaults().DrainMs.Duration())
	defer cancel()
	_ = clock.Sleep(ctx, readyDelay) // a shorter drain limit ends it sooner
	d.stopping.Store(true)
	for d.open.Load() > 0 && ctx.Err() == nil {
		_ = clock.Sleep(ctx, drainPoll) // the loop sees the end of ctx
	}
	d.settleBookings()
	cut := d.open.Load()
	closing, stop := context.WithTimeout(context.Background(), closeLimit)
	defer stop()
	err := d.http.Shutdown(closing)
	if cut > 0 {
		return result.Wrap(result.Stopping, err, "%d requests were cut", cut)
	}
	return err
}

// settleBookings waits for the records of ended bookings to be written. One
// that is not is answered with an unknown outcome when it is repeated.
func (d *Daemon) settleBookings() {
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	go func() {
		d.desk.Wait()
		cancel()
	}()
	<-ctx.Done()
}

// Kill ends the daemon at once, as the loss of its VM does: connections are
// cut and nothing is finished.
func (d *Daemon) Kill() { _ = d.http.Close() }

// note takes a step of a request.
func (d *Daemon) note(s engine.Step) {
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

// History returns what this entry VM knows of a request.
func (d *Daemon) History(id engine.RequestID) operator.History {
	return operator.History{Entry: engine.ServerID(d.settings.ID), Steps: d.history.Steps(id)}
}

func (d *Daemon) status() operator.Status {
	st := operator.Status{
		Entry:          engine.ServerID(d.settings.ID),
		Domain:         d.places.Names(names.Domain, d.settings.DomainID()),
		Address:        d.settings.AdvertiseAddress(),
		Ready:          !d.draining.Load() && !d.store.Empty() && d.listed.Load(),
		Stopping:       d.draining.Load(),
		OpenRequests:   int(d.open.Load()),
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
	st.Platform.LastSuccess = d.reachedAt
	if d.platformIs != nil {
		st.Platform.Error = d.platformIs.Error()
	}
	return st
}

// Object returns a configuration object in force here.
func (d *Daemon) Object(k objects.Kind, n objects.Name) (objects.Object, bool) {
	return d.store.Get(k, n)
}
