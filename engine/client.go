package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel/propagation"

	"quetzalhold/http1"
	"quetzalhold/result"
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client makes HTTP calls to engines. Use [NewClient].
//
// Every call that concerns a stream uses a new connection, for three reasons: a
// pooled connection may have failed undetected, [http.Transport] retries requests
// by itself only on reused connections, and streams that share a connection would
// fail together. Only the polling of load reports and cache events reuses
// connections.
type Client struct {
	unpooled *http.Client
	pooled   *http.Client
}

// dialTimeout bounds the time to open a connection.
const dialTimeout = 3 * time.Second

// idleConnTimeout is how long an idle connection for polling is kept.
const idleConnTimeout = 10 * time.Second

// maxStreamEvent is the maximum size of one event of a stream, in bytes.
const maxStreamEvent = 64 << 10

// maxReply is the maximum size of the body of any other response, in bytes.
const maxReply = 4 << 20

// NewClient returns a client that dials with d, or with a [net.Dialer] if d is nil.
func NewClient(d Dialer) *Client {
	d = TimeoutDialer(d)
	unpooled := newTransport(d)
	unpooled.DisableKeepAlives = true
	pooled := newTransport(d)
	pooled.MaxIdleConnsPerHost = 1
	pooled.IdleConnTimeout = idleConnTimeout
	return &Client{
		unpooled: &http.Client{Transport: http1.New(unpooled), CheckRedirect: noRedirect},
		pooled:   &http.Client{Transport: http1.New(pooled), CheckRedirect: noRedirect},
	}
}

// MaxHeaderBytes bounds the head of a response to any call of the system, so that one
// without end does not exhaust the memory.
const MaxHeaderBytes = 64 << 10

// ActivityReader calls OnRead after each read that returned data. A time limit that is reset by
// it bounds a silence, not the whole of a long response.
type ActivityReader struct {
	io.Reader
	OnRead func()
}

// Read implements io.Reader.
func (r *ActivityReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.OnRead()
	}
	return n, err
}

// TimeoutDialer returns a dialer that calls d, or a [net.Dialer] if d is nil, with a
// timeout of a few seconds. The timeout of the request is not enough:
// [http.Transport] continues to dial after the request that needed the connection
// has ended.
func TimeoutDialer(d Dialer) Dialer {
	if d == nil {
		d = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return d(ctx, network, address)
	}
}

// newTransport returns a transport that uses only HTTP/1, since HTTP/2 would
// multiplex all streams over one connection.
func newTransport(d Dialer) *http.Transport {
	t := &http.Transport{
		DialContext:        d,
		DisableCompression: true,
		Protocols:          new(http.Protocols),

		MaxResponseHeaderBytes: MaxHeaderBytes,
	}
	t.Protocols.SetHTTP1(true)
	return t
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Stream is an open stream of tokens from an engine.
type Stream struct {
	id   StreamID
	body io.ReadCloser
}

// Start requests a new stream from the engine at address.
func (c *Client) Start(ctx context.Context, address string, s Start) (*Stream, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode start: %w", err)
	}
	resp, err := c.do(ctx, c.unpooled, http.MethodPost, address, "/streams", b)
	if err != nil {
		return nil, err
	}
	return &Stream{id: s.Stream, body: resp.Body}, nil
}

// Attach reads an existing stream of the engine, beginning at position from. The
// attempt replaces the earlier reader of the stream.
func (c *Client) Attach(ctx context.Context, address string, id StreamID, a Attempt, from Tokens) (*Stream, error) {
	q := url.Values{
		"attempt": {strconv.FormatUint(uint64(a), 10)},
		"from":    {strconv.FormatInt(int64(from), 10)},
	}
	resp, err := c.do(ctx, c.unpooled, http.MethodGet, address, "/streams/"+url.PathEscape(string(id))+"?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return &Stream{id: id, body: resp.Body}, nil
}

// Cancel cancels a stream unless an attempt later than a reads it. A nil error
// means that the engine confirmed the cancel.
func (c *Client) Cancel(ctx context.Context, address string, id StreamID, a Attempt) error {
	path := "/streams/" + url.PathEscape(string(id)) + "?attempt=" + strconv.FormatUint(uint64(a), 10)
	return c.call(ctx, c.unpooled, http.MethodDelete, address, path, nil, nil)
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var r LoadReport
	err := c.call(ctx, c.pooled, http.MethodGet, address, "/load", nil, &r)
	return r, err
}

// CacheEvents fetches the engine's cache events after sequence number seq.
func (c *Client) CacheEvents(ctx context.Context, address string, seq uint64) (CacheEvents, error) {
	var evs CacheEvents
	path := "/cache-events?after=" + strconv.FormatUint(seq, 10)
	err := c.call(ctx, c.pooled, http.MethodGet, address, path, nil, &evs)
	return evs, err
}

// Order sends the engine an order.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	return c.call(ctx, c.unpooled, http.MethodPost, address, "/orders", o, nil)
}

// call sends in as JSON and decodes the response into out; both may be nil.
func (c *Client) call(ctx context.Context, hc *http.Client, method, address, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
	}
	resp, err := c.do(ctx, hc, method, address, path, body)
	if err != nil {
		return err
	}
	defer closeQuietly(resp.Body)
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(out); err != nil {
		return result.Wrap(result.EngineMalformed, err, "decode %s", path)
	}
	return nil
}

// do sends a request and returns the response if its status is below 300.
func (c *Client) do(ctx context.Context, hc *http.Client, method, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	// Without GetBody, http.Transport cannot send the request a second time.
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := hc.Do(req)
	if err != nil {
		return nil, connError(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer closeQuietly(resp.Body)
		return nil, result.Read(resp, result.EngineRefused)
	}
	return resp, nil
}

// connError returns the result for a failed connection. Only a refused connection
// proves that the request did not reach the engine.
func connError(err error) *result.Error {
	e := result.Wrap(result.EngineLost, err, "connection failed")
	e.NotRun = IsConnRefused(err)
	return e
}

// IsConnRefused reports whether err is a refused connection, which proves that the
// request was not received: nothing listens at the address.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func closeQuietly(c io.Closer) {
	// An error has no consequence: the connection is not used again.
	_ = c.Close()
}

// Close stops reading the stream. The engine continues to generate until the
// stream is cancelled.
func (s *Stream) Close() { closeQuietly(s.body) }

// Read calls f with each event of the stream in order, until f returns an error or
// the stream ends. It returns EngineLost if the connection closes before the end
// event, and CrossedAnswer if an event belongs to another stream.
func (s *Stream) Read(f func(kind string, ev StreamEvent) error) error {
	for ev, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxStreamEvent}) {
		if err != nil {
			return connError(err)
		}
		var e StreamEvent
		if err := json.Unmarshal([]byte(ev.Data), &e); err != nil {
			return result.Wrap(result.EngineMalformed, err, "event of stream %s", s.id)
		}
		if e.Stream != s.id {
			return result.New(result.CrossedAnswer, "event of stream %s on stream %s", e.Stream, s.id)
		}
		if err := f(ev.Type, e); err != nil {
			return err
		}
		if ev.Type != EventToken {
			return nil
		}
	}
	return result.New(result.EngineLost, "stream %s broke off", s.id)
}
