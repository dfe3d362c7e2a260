// Package peer is the protocol between entry VMs. By gossip they learn which of them
// are alive in their failure domain, which version of the configuration each has, and
// which backend servers are draining. New configuration objects are pushed to a few
// members, and digests in heartbeats show what a push has missed. The package also
// carries the demands and shares of fleet-wide limits, observations of version moves,
// and changes of booking records: those of one bucket go through one entry VM.
package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"quetzalhold/booking"
	"quetzalhold/engine"
	"quetzalhold/http1"
	"quetzalhold/move"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/result"
)

// The paths of calls between entry VMs.
const (
	pathHeartbeat = "/peer/heartbeat"
	pathVersions  = "/peer/versions"
	pathFetch     = "/peer/fetch"
	pathPush      = "/peer/push"
	pathBookings  = "/peer/bookings"
	pathDemands   = "/peer/demands"
	pathCompare   = "/peer/compare"
	pathEvidence  = "/peer/evidence"
)

// callTimeout bounds a call to another entry VM.
const callTimeout = time.Second

// maxBodyBytes bounds the body of a call or a response. The largest is a whole
// configuration.
const maxBodyBytes = 256 << 20

// Objects is a list of configuration objects.
type Objects struct {
	Objects []objects.Object `json:"objects"`
}

// ObjectIDs is a list of identifiers of configuration objects.
type ObjectIDs struct {
	IDs []operator.ObjectID `json:"ids"`
}

// PartDigests holds the digests of the parts of a configuration.
type PartDigests struct {
	Digests operator.Digests `json:"digests"`
}

// Versions is a list of versions of configuration objects.
type Versions struct {
	Versions []operator.ObjectVersion `json:"versions"`
}

// Evidence is what an entry VM observed of a version move since its last report.
type Evidence struct {
	Deployment string         `json:"deployment"`
	To         engine.Version `json:"to"`
	Counts     []move.Count   `json:"counts"`
}

// Accepted is the empty response of a call that returns no data.
type Accepted struct{}

// Token authenticates entry VMs to each other.
type Token string

// NewToken derives the token from the key that all entry VMs share. The key itself,
// which also seals cursors, is never sent.
func NewToken(key string) Token {
	h := hmac.New(sha256.New, []byte(key))
	// Write of a hash never fails.
	_, _ = h.Write([]byte("peer"))
	return Token(hex.EncodeToString(h.Sum(nil)))
}

// Server handles calls from other entry VMs. All fields must be set.
type Server struct {
	// Token is required of every call.
	Token Token
	// Gossip handles heartbeats and exchanges the configuration.
	Gossip *Gossip
	// Quota splits the organisations' fleet-wide limits.
	Quota *Quota
	// Evidence records what another entry VM observed of a version move.
	Evidence func(Evidence)
	// ApplyBooking applies a change to a booking record that this entry VM writes.
	ApplyBooking func(context.Context, booking.Op) (booking.Reply, error)
}

// Register adds handlers for the server's paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathHeartbeat, handle(s, func(_ context.Context, m Message) (Message, error) {
		return s.Gossip.HandleHeartbeat(m), nil
	}))
	mux.HandleFunc("POST "+pathVersions, handle(s, func(_ context.Context, p PartDigests) (Versions, error) {
		return Versions{s.Gossip.Store.Versions(p.Digests)}, nil
	}))
	mux.HandleFunc("POST "+pathFetch, handle(s, func(_ context.Context, ids ObjectIDs) (Objects, error) {
		return Objects{s.Gossip.Store.Select(ids.IDs)}, nil
	}))
	mux.HandleFunc("POST "+pathPush, handle(s, func(ctx context.Context, objs Objects) (Accepted, error) {
		s.Gossip.Accept(ctx, objs.Objects)
		return Accepted{}, nil
	}))
	mux.HandleFunc("POST "+pathDemands, handle(s, func(_ context.Context, d Demands) (Shares, error) {
		if err := d.Check(); err != nil {
			return Shares{}, err
		}
		return s.Quota.Allocate(d), nil
	}))
	mux.HandleFunc("POST "+pathCompare, handle(s, func(_ context.Context, d Demands) (Demands, error) {
		if err := d.Check(); err != nil {
			return Demands{}, err
		}
		return s.Quota.ExchangeDemands(d), nil
	}))
	mux.HandleFunc("POST "+pathEvidence, handle(s, func(_ context.Context, e Evidence) (Accepted, error) {
		s.Evidence(e)
		return Accepted{}, nil
	}))
	mux.HandleFunc("POST "+pathBookings, handle(s, func(ctx context.Context, op booking.Op) (booking.Reply, error) {
		if err := op.Check(); err != nil {
			return booking.Reply{}, err
		}
		return s.ApplyBooking(ctx, op)
	}))
}

// handle returns a handler that rejects calls without the token of the entry VMs,
// decodes the body, calls f and encodes its result.
func handle[In, Out any](s *Server, f func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !operator.Authorized(r, string(s.Token)) {
			result.Write(w, result.New(result.NotAllowed, "entry VM token").AsNotRun())
			return
		}
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
			result.Write(w, result.Wrap(result.BadRequest, err, "decode call"))
			return
		}
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		out, err := f(ctx, in)
		if err != nil {
			result.Write(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// If the connection is lost, there is no one to report the error to.
		_ = json.NewEncoder(w).Encode(out)
	}
}

// Client calls other entry VMs. Use [NewClient].
type Client struct {
	http   *http.Client
	pooled *http.Client // for periodic calls; a failed heartbeat closes its idle connections
	token  Token
	tracer trace.Tracer
}

// Limits of the pooled connections.
const (
	idlePerPeer = 1
	idleTimeout = 90 * time.Second
)

// NewClient returns a client that authenticates with t, dials with d and starts a
// span for each call. If d is nil, it dials as package net does.
func NewClient(t Token, d engine.Dialer, tr trace.Tracer) *Client {
	dial := engine.TimeoutDialer(d)
	return &Client{
		token:  t,
		tracer: tr,
		http:   &http.Client{Transport: http1.New(&http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: engine.MaxHeaderBytes})},
		pooled: &http.Client{Transport: http1.New(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: idlePerPeer,
			IdleConnTimeout:     idleTimeout,

			MaxResponseHeaderBytes: engine.MaxHeaderBytes,
		})},
	}
}

// Heartbeat exchanges heartbeats with the entry VM at a over a pooled connection.
func (c *Client) Heartbeat(ctx context.Context, a Address, m Message) (Message, error) {
	var reply Message
	err := c.call(ctx, c.pooled, a, pathHeartbeat, m, &reply)
	return reply, err
}

// Probe exchanges heartbeats over a new connection.
func (c *Client) Probe(ctx context.Context, a Address, m Message) (Message, error) {
	var reply Message
	err := c.call(ctx, c.http, a, pathHeartbeat, m, &reply)
	return reply, err
}

// Versions returns the versions of the objects that the entry VM at a has in the
// parts whose digests differ from d.
func (c *Client) Versions(ctx context.Context, a Address, d operator.Digests) ([]operator.ObjectVersion, error) {
	var v Versions
	err := c.call(ctx, c.http, a, pathVersions, PartDigests{d}, &v)
	return v.Versions, err
}

// Fetch returns those of the named objects that the entry VM at a has.
func (c *Client) Fetch(ctx context.Context, a Address, ids []operator.ObjectID) ([]objects.Object, error) {
	var objs Objects
	err := c.call(ctx, c.http, a, pathFetch, ObjectIDs{ids}, &objs)
	return objs.Objects, err
}

// Push sends objects to the entry VM at a.
func (c *Client) Push(ctx context.Context, a Address, objs []objects.Object) error {
	return c.call(ctx, c.http, a, pathPush, Objects{objs}, &Accepted{})
}

// ApplyBooking applies a change to a booking record through the entry VM at a.
func (c *Client) ApplyBooking(ctx context.Context, a Address, op booking.Op) (booking.Reply, error) {
	var reply booking.Reply
	err := c.call(ctx, c.http, a, pathBookings, op, &reply)
	return reply, err
}

// ReportDemands reports the demands of this entry VM to the allocator at a and returns
// the shares.
func (c *Client) ReportDemands(ctx context.Context, a Address, d Demands) (Shares, error) {
	var reply Shares
	err := c.call(ctx, c.pooled, a, pathDemands, d, &reply)
	return reply, err
}

// ExchangeDemands reports the demands of this domain to the allocator of another domain
// at a and returns the demands there.
func (c *Client) ExchangeDemands(ctx context.Context, a Address, d Demands) (Demands, error) {
	var reply Demands
	if err := c.call(ctx, c.pooled, a, pathCompare, d, &reply); err != nil {
		return reply, err
	}
	return reply, reply.Check()
}

// ReportEvidence reports to the entry VM at a what was observed of a version move.
func (c *Client) ReportEvidence(ctx context.Context, a Address, e Evidence) error {
	return c.call(ctx, c.pooled, a, pathEvidence, e, &Accepted{})
}

// CloseIdle closes the pooled connections that no call uses.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

// call makes a call with hc; request and response bodies are JSON.
func (c *Client) call(ctx context.Context, hc *http.Client, a Address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, span := c.tracer.Start(ctx, "peer "+path, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	b, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(a)+path, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+string(c.token))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := hc.Do(req)
	if err != nil {
		return fmt.Errorf("call peer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return result.Read(resp, result.Internal)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(out); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
