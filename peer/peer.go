// Package peer speaks between entry VMs: an entry VM that starts while the
// platform is down takes the configuration over from another one.
package peer

import (
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

	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/result"
)

// pathObjects is where an entry VM shares its configuration objects.
const pathObjects = "/peer/objects"

// callLimit bounds a call to another entry VM.
const callLimit = time.Second

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
}

// Register adds the server's paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+pathObjects, s.objects)
}

func (s *Server) objects(w http.ResponseWriter, r *http.Request) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(key), []byte(s.Token)) != 1 {
		result.Write(w, result.New(result.NotAllowed, "entry VM key").AsNotRun())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The connection may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(Objects{Objects: s.Objects()})
}

// Client calls other entry VMs. Use [NewClient].
type Client struct {
	http   *http.Client
	tracer trace.Tracer
}

// NewClient returns a client that dials with d and makes a span for each call;
// a nil d dials as package net does.
func NewClient(d engine.Dialer, t trace.Tracer) *Client {
	return &Client{tracer: t, http: &http.Client{Transport: &http.Transport{DialContext: engine.LimitDial(d), DisableKeepAlives: true}}}
}

// Objects returns the configuration objects that the entry VM at address
// knows.
func (c *Client) Objects(ctx context.Context, address string, t Token) ([]platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	ctx, span := c.tracer.Start(ctx, "peer objects", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathObjects, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+string(t))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call peer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, result.Read(resp, result.Internal)
	}
	var objs Objects
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxObjects)).Decode(&objs); err != nil {
		return nil, fmt.Errorf("decode objects: %w", err)
	}
	return objs.Objects, nil
}
