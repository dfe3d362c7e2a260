// Package peer speaks between entry VMs: who lives in a failure domain, which
// version of the configuration each has, and which backend servers leave. New
// objects are pushed to a few, and digests in heartbeats find what was missed.
// The changes of one bucket of bookings go through one entry VM.
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
	"quetzalhold/move"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/result"
)

// The paths that entry VMs call on each other.
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

// callLimit bounds a call to another entry VM.
const callLimit = time.Second

// maxObjects bounds the configuration taken from a peer, in bytes.
const maxObjects = 256 << 20

// Objects is a list of configuration objects.
type Objects struct {
	Objects []objects.Object `json:"objects"`
}

// ObjectIDs is a list of names of configuration objects.
type ObjectIDs struct {
	IDs []operator.ObjectID `json:"ids"`
}

// Parts is the digests of the parts of a configuration.
type Parts struct {
	Digests operator.Digests `json:"digests"`
}

// Versions is a list of versions of configuration objects.
type Versions struct {
	Versions []operator.ObjectVersion `json:"versions"`
}

// Evidence is what an entry VM saw of a move since it last told.
type Evidence struct {
	Deployment string         `json:"deployment"`
	To         engine.Version `json:"to"`
	Counts     []move.Count   `json:"counts"`
}

// Accepted answers a call that has nothing to say.
type Accepted struct{}

// Token is what entry VMs prove themselves by to each other.
type Token string

// NewToken returns the token for the key that all entry VMs share. The key
// itself, which seals cursors, never leaves them.
func NewToken(key string) Token {
	h := hmac.New(sha256.New, []byte(key))
	// A hash never fails to write.
	_, _ = h.Write([]byte("peer"))
	return Token(hex.EncodeToString(h.Sum(nil)))
}

// Server answers the other entry VMs. All fields must be set.
type Server struct {
	// Token is what the others must send.
	Token Token
	// Gossip answers heartbeats and shares the configuration.
	Gossip *Gossip
	// Quota splits the organisations' limits.
	Quota *Quota
	// Evidence takes over what another entry VM saw of a move.
	Evidence func(Evidence)
	// Book makes a change of a booking's record that this entry VM writes.
	Book func(context.Context, booking.Op) (booking.Reply, error)
}

// Register adds the server's paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathHeartbeat, handle(s, func(_ context.Context, m Message) (Message, error) {
		return s.Gossip.Answer(m), nil
	}))
	mux.HandleFunc("POST "+pathVersions, handle(s, func(_ context.Context, p Parts) (Versions, error) {
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
		return s.Quota.Answer(d), nil
	}))
	mux.HandleFunc("POST "+pathCompare, handle(s, func(_ context.Context, d Demands) (Demands, error) {
		if err := d.Check(); err != nil {
			return Demands{}, err
		}
		return s.Quota.Compare(d), nil
	}))
	mux.HandleFunc("POST "+pathEvidence, handle(s, func(_ context.Context, e Evidence) (Accepted, error) {
		s.Evidence(e)
		return Accepted{}, nil
	}))
	mux.HandleFunc("POST "+pathBookings, handle(s, func(ctx context.Context, op booking.Op) (booking.Reply, error) {
		if err := op.Check(); err != nil {
			return booking.Reply{}, err
		}
		return s.Book(ctx, op)
	}))
}

// handle answers calls of entry VMs only: it decodes the body, calls f and
// encodes what f returns.
func handle[In, Out any](s *Server, f func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !operator.Authorized(r, string(s.Token)) {
			result.Write(w, result.New(result.NotAllowed, "entry VM token").AsNotRun())
			return
		}
		var in In
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjects)).Decode(&in); err != nil {
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
		// The connection may be gone; there is nobody left to tell.
		_ = json.NewEncoder(w).Encode(out)
	}
}

// Client calls other entry VMs. Use [NewClient].
type Client struct {
	http   *http.Client
	pooled *http.Client // for heartbeats, whose failure shows a silent connection
	token  Token
	tracer trace.Tracer
}

// The connections kept for heartbeats.
const (
	idlePerPeer = 1
	idleLimit   = 90 * time.Second
)

// NewClient returns a client that proves itself by t, dials with d and makes a
// span for each call; a nil d dials as package net does.
func NewClient(t Token, d engine.Dialer, tr trace.Tracer) *Client {
	dial := engine.TimeoutDialer(d)
	return &Client{
		token:  t,
		tracer: tr,
		http:   &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
		pooled: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: idlePerPeer,
			IdleConnTimeout:     idleLimit,
		}},
	}
}

// Heartbeat exchanges heartbeats with the entry VM at a.
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

// Versions returns the versions of the objects at a in the parts that differ.
func (c *Client) Versions(ctx context.Context, a Address, d operator.Digests) ([]operator.ObjectVersion, error) {
	var v Versions
	err := c.call(ctx, c.http, a, pathVersions, Parts{d}, &v)
	return v.Versions, err
}

// Fetch returns objects that the entry VM at a knows.
func (c *Client) Fetch(ctx context.Context, a Address, ids []operator.ObjectID) ([]objects.Object, error) {
	var objs Objects
	err := c.call(ctx, c.http, a, pathFetch, ObjectIDs{ids}, &objs)
	return objs.Objects, err
}

// Push sends objects to the entry VM at a.
func (c *Client) Push(ctx context.Context, a Address, objs []objects.Object) error {
	return c.call(ctx, c.http, a, pathPush, Objects{objs}, &Accepted{})
}

// Book makes a change of a booking's record through the entry VM at a.
func (c *Client) Book(ctx context.Context, a Address, op booking.Op) (booking.Reply, error) {
	var reply booking.Reply
	err := c.call(ctx, c.http, a, pathBookings, op, &reply)
	return reply, err
}

// Demands tells a keeper what is wanted here and returns the shares.
func (c *Client) Demands(ctx context.Context, a Address, d Demands) (Shares, error) {
	var reply Shares
	err := c.call(ctx, c.pooled, a, pathDemands, d, &reply)
	return reply, err
}

// Compare tells another domain's keeper what is wanted in this domain, and
// returns what is wanted there.
func (c *Client) Compare(ctx context.Context, a Address, d Demands) (Demands, error) {
	var reply Demands
	if err := c.call(ctx, c.pooled, a, pathCompare, d, &reply); err != nil {
		return reply, err
	}
	return reply, reply.Check()
}

// Evidence tells the entry VM at a what was seen of a move.
func (c *Client) Evidence(ctx context.Context, a Address, e Evidence) error {
	return c.call(ctx, c.pooled, a, pathEvidence, e, &Accepted{})
}

// CloseIdle closes the connections that no call uses.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

// call does a call with JSON bodies.
func (c *Client) call(ctx context.Context, hc *http.Client, a Address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxObjects)).Decode(out); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
