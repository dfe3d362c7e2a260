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

	"quetzalhold/result"
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client does the HTTP calls to engines. Use [NewClient].
//
// Every call about a stream uses a connection of its own: a pooled one may
// have gone silent unnoticed, [http.Transport] repeats requests on its own
// account only on reused connections, and streams that share a connection
// would be lost together. Only the polling of reports reuses connections.
type Client struct {
	http   *http.Client
	pooled *http.Client
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = 3 * time.Second

// idleConnLimit is how long a connection for reports is kept unused.
const idleConnLimit = 10 * time.Second

// maxStreamEvent bounds one event of a stream, in bytes.
const maxStreamEvent = 64 << 10

// maxReply bounds the body of any other reply, in bytes.
const maxReply = 4 << 20

// NewClient returns a client that dials with d; nil dials as package net does.
func NewClient(d Dialer) *Client {
	d = TimeoutDialer(d)
	single := newTransport(d)
	single.DisableKeepAlives = true
	pooled := newTransport(d)
	pooled.MaxIdleConnsPerHost = 1
	pooled.IdleConnTimeout = idleConnLimit
	return &Client{
		http:   &http.Client{Transport: single, CheckRedirect: noRedirect},
		pooled: &http.Client{Transport: pooled, CheckRedirect: noRedirect},
	}
}

// TimeoutDialer returns a dialer that gives up after a few seconds. It needs a
// limit of its own: [http.Transport] goes on dialling when the request that
// asked for the connection has ended. A nil d dials as package net does.
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

// newTransport returns a transport that speaks only HTTP/1, since HTTP/2 puts
// all streams on one connection.
func newTransport(d Dialer) *http.Transport {
	t := &http.Transport{
		DialContext:        d,
		DisableCompression: true,
		Protocols:          new(http.Protocols),
	}
	t.Protocols.SetHTTP1(true)
	return t
}

// CloseIdle closes the connections that no call uses.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Stream is an open stream of an engine's tokens.
type Stream struct {
	id   StreamID
	body io.ReadCloser
}

// Start asks the engine at address for a new stream.
func (c *Client) Start(ctx context.Context, address string, s Start) (*Stream, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode start: %w", err)
	}
	resp, err := c.do(ctx, c.http, http.MethodPost, address, "/streams", b)
	if err != nil {
		return nil, err
	}
	return &Stream{id: s.Stream, body: resp.Body}, nil
}

// Attach reads a stream that the engine already generates from position from
// on, in place of any earlier attempt.
func (c *Client) Attach(ctx context.Context, address string, id StreamID, a Attempt, from Tokens) (*Stream, error) {
	q := url.Values{
		"attempt": {strconv.FormatUint(uint64(a), 10)},
		"from":    {strconv.FormatInt(int64(from), 10)},
	}
	resp, err := c.do(ctx, c.http, http.MethodGet, address, "/streams/"+url.PathEscape(string(id))+"?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return &Stream{id: id, body: resp.Body}, nil
}

// Cancel ends a stream unless a later attempt than a reads it. Success means
// that the engine confirmed.
func (c *Client) Cancel(ctx context.Context, address string, id StreamID, a Attempt) error {
	path := "/streams/" + url.PathEscape(string(id)) + "?attempt=" + strconv.FormatUint(uint64(a), 10)
	return c.call(ctx, c.http, http.MethodDelete, address, path, nil, nil)
}

// Load returns the engine's own load report.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var r LoadReport
	err := c.call(ctx, c.pooled, http.MethodGet, address, "/load", nil, &r)
	return r, err
}

// CacheEvents returns the engine's cache events after sequence number seq.
func (c *Client) CacheEvents(ctx context.Context, address string, seq uint64) (CacheEvents, error) {
	var evs CacheEvents
	path := "/cache-events?after=" + strconv.FormatUint(seq, 10)
	err := c.call(ctx, c.pooled, http.MethodGet, address, path, nil, &evs)
	return evs, err
}

// Order sends the engine an order.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	return c.call(ctx, c.http, http.MethodPost, address, "/orders", o, nil)
}

// call does a call with JSON bodies; in and out may be nil.
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
	// A body that cannot be read again cannot be sent again.
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := hc.Do(req)
	if err != nil {
		return nil, lostError(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer closeQuietly(resp.Body)
		return nil, result.Read(resp, result.EngineRefused)
	}
	return resp, nil
}

// lostError describes a failed connection. Only a refused one proves that the
// request did not reach the engine.
func lostError(err error) *result.Error {
	e := result.Wrap(result.EngineLost, err, "connection failed")
	e.NotRun = IsConnRefused(err)
	return e
}

// IsConnRefused reports whether err says that nothing listens at the address, so
// that a request cannot have been received.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func closeQuietly(c io.Closer) {
	// Nothing is left to do with a connection that fails to close.
	_ = c.Close()
}

// Close ends the reading of the stream; the engine goes on until it is
// cancelled.
func (s *Stream) Close() { closeQuietly(s.body) }

// Read calls f with each event of the stream in order, until f fails or the
// stream ends. It fails with EngineLost where the stream breaks off before its
// end and with CrossedAnswer where an event belongs to another stream.
func (s *Stream) Read(f func(kind string, ev StreamEvent) error) error {
	for ev, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxStreamEvent}) {
		if err != nil {
			return lostError(err)
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
