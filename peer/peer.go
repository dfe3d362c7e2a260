// Package peer speaks between entry VMs: an entry VM that starts while the
// platform is down takes the configuration over from another one, and the
// changes of one bucket of bookings go through one entry VM.
package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"quetzalhold/booking"
	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/result"
)

// The paths that entry VMs call on each other.
const (
	pathObjects  = "/peer/objects"
	pathBookings = "/peer/bookings"
)

// callLimit bounds a call to another entry VM.
const callLimit = time.Second

// maxBody bounds the body of any call, in bytes.
const maxBody = 1 << 20

// maxObjects bounds the configuration taken from a peer, in bytes.
const maxObjects = 256 << 20

// Objects is a list of configuration objects.
type Objects struct {
	Objects []platform.Object `json:"objects"`
}

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
	// Objects returns the known configuration objects.
	Objects func() []platform.Object
	// Book makes a change of a booking's record that this entry VM writes.
	Book func(context.Context, booking.Op) (booking.Reply, error)
}

// Register adds the server's paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+pathObjects, s.guard(func(r *http.Request) (any, error) {
		return Objects{Objects: s.Objects()}, nil
	}))
	mux.HandleFunc("POST "+pathBookings, s.guard(s.book))
}

// guard answers calls of entry VMs only, with what f returns.
func (s *Server) guard(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(s.Token)) != 1 {
			result.Write(w, result.New(result.NotAllowed, "entry VM token").AsNotRun())
			return
		}
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		v, err := f(r.WithContext(ctx))
		if err != nil {
			result.Write(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The connection may be gone; there is nobody left to tell.
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *Server) book(r *http.Request) (any, error) {
	var op booking.Op
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody)).Decode(&op); err != nil {
		return nil, result.Wrap(result.BadRequest, err, "decode change")
	}
	if err := op.Check(); err != nil {
		return nil, err
	}
	return s.Book(r.Context(), op)
}

// Client calls other entry VMs. Use [NewClient].
type Client struct {
	http   *http.Client
	token  Token
	tracer trace.Tracer
}

// NewClient returns a client that proves itself by t, dials with d and makes a
// span for each call; a nil d dials as package net does.
func NewClient(t Token, d engine.Dialer, tr trace.Tracer) *Client {
	return &Client{token: t, tracer: tr, http: &http.Client{Transport: &http.Transport{DialContext: engine.LimitDial(d), DisableKeepAlives: true}}}
}

// Objects returns the configuration objects that the entry VM at address
// knows.
func (c *Client) Objects(ctx context.Context, address string) ([]platform.Object, error) {
	var objs Objects
	err := c.call(ctx, http.MethodGet, address, pathObjects, nil, &objs)
	return objs.Objects, err
}

// Book makes a change of a booking's record through the entry VM at address.
func (c *Client) Book(ctx context.Context, address string, op booking.Op) (booking.Reply, error) {
	var reply booking.Reply
	err := c.call(ctx, http.MethodPost, address, pathBookings, op, &reply)
	return reply, err
}

// call does a call with JSON bodies; in may be nil.
func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	ctx, span := c.tracer.Start(ctx, "peer "+path, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+string(c.token))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.http.Do(req)
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
