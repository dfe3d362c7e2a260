package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"quetzalhold/engine"
	"quetzalhold/result"
)

// Client calls the platform's object API. Use [NewClient].
type Client struct {
	address string
	http    *http.Client
	writer  func() string
	tracer  trace.Tracer
	budget  *Budget
}

// Option changes a Client.
type Option func(*Client)

// WithDial sets how connections are opened.
func WithDial(d engine.Dialer) Option {
	return func(c *Client) { c.http.Transport.(*http.Transport).DialContext = engine.TimeoutDialer(d) }
}

// WithTracer makes a span for each call.
func WithTracer(t trace.Tracer) Option { return func(c *Client) { c.tracer = t } }

// WithBudget bounds the calls.
func WithBudget(b *Budget) Option { return func(c *Client) { c.budget = b } }

// callLimit bounds each call but a watch.
const callLimit = 2 * time.Second

// watchSilence is how long a watch may be silent before it counts as lost. The
// platform sends a comment more often than that.
const watchSilence = 15 * time.Second

// NewClient returns a client of the platform at address, an IP number with a
// port.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{
		address: address,
		http:    &http.Client{Transport: &http.Transport{DialContext: engine.TimeoutDialer(nil), MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}},
		writer:  uuid.NewString,
		tracer:  noop.Tracer{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// CloseIdle closes the connections that no call uses.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Get returns one object. It fails with ObjectMissing.
func (c *Client) Get(ctx context.Context, k Kind, n Name) (Object, error) {
	var o Object
	err := c.call(ctx, priorityOf(k), http.MethodGet, objectPath(k, n), nil, &o)
	return o, err
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, k Kind) (List, error) {
	var l List
	err := c.call(ctx, Important, http.MethodGet, "/objects/"+url.PathEscape(string(k)), nil, &l)
	return l, err
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var l VMList
	err := c.call(ctx, Routine, http.MethodGet, "/vms", nil, &l)
	return l.VMs, err
}

// Put writes an object whose version is expect; 0 creates it. A write whose
// answer was lost is settled by reading the object back. It fails with
// VersionConflict where the object has changed, and with PlatformDown where
// the outcome stays unknown.
func (c *Client) Put(ctx context.Context, k Kind, n Name, expect Version, value any) (Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Object{}, fmt.Errorf("encode %s %s: %w", k, n, err)
	}
	if len(raw) > MaxValueSize {
		return Object{}, result.New(result.ObjectTooLarge, "%s %s has %d bytes", k, n, len(raw)).AsNotRun()
	}
	return c.write(ctx, k, n, Put{Expect: expect, WriteID: c.writer(), Value: raw})
}

// write does a conditional write.
func (c *Client) write(ctx context.Context, k Kind, n Name, p Put) (Object, error) {
	var o Object
	err := c.call(ctx, Urgent, http.MethodPut, objectPath(k, n), p, &o)
	if result.CodeOf(err) != result.PlatformDown {
		return o, err
	}
	return c.settle(ctx, k, n, p, err)
}

// settle finds out whether a write whose answer was lost took effect.
func (c *Client) settle(ctx context.Context, k Kind, n Name, p Put, lost error) (Object, error) {
	o, err := c.Get(ctx, k, n)
	switch {
	case err == nil && o.WriteID == p.WriteID:
		return o, nil
	case err == nil && o.Version > p.Expect:
		// Another write followed; ours came before it or never took effect.
		return Object{}, result.New(result.VersionConflict, "%s %s is at version %d", k, n, o.Version)
	}
	// An unchanged object proves nothing: the lost call may still arrive.
	return Object{}, lost
}

// Delete removes an object whose version is expect. It is a write like any
// other: what is left says at which version the object ended, so that no
// earlier version comes back.
func (c *Client) Delete(ctx context.Context, k Kind, n Name, expect Version) (Object, error) {
	p := Put{Expect: expect, WriteID: c.writer(), Delete: true}
	return c.write(ctx, k, n, p)
}

// priorityOf returns the priority of reading an object of a kind.
func priorityOf(k Kind) Priority {
	if k == "bookings" || k == "lease" {
		return Urgent
	}
	return Important
}

func objectPath(k Kind, n Name) string {
	return "/objects/" + url.PathEscape(string(k)) + "/" + url.PathEscape(string(n))
}

// call does one call with JSON bodies; in and out may be nil.
func (c *Client) call(ctx context.Context, p Priority, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	resp, err := c.do(ctx, p, method, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 64*MaxValueSize)).Decode(out); err != nil {
		return result.Wrap(result.PlatformDown, err, "decode %s", path)
	}
	return nil
}

func (c *Client) do(ctx context.Context, p Priority, method, path string, in any) (*http.Response, error) {
	if err := c.budget.Take(ctx, p); err != nil {
		return nil, err
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	ctx, span := c.tracer.Start(ctx, "platform "+method, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, result.Wrap(result.PlatformDown, err, "%s %s", method, path)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer resp.Body.Close()
		return nil, result.Read(resp, result.PlatformDown)
	}
	return resp, nil
}

// Watch calls f with each change of the given kinds after revision from, until
// ctx ends, f fails or the watch is lost. A silent watch counts as lost: the caller has to list
// again.
func (c *Client) Watch(ctx context.Context, from Revision, kinds []Kind, f func(Revision, Object) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	resp, err := c.do(ctx, Important, http.MethodGet, "/watch?"+watchQuery(from, kinds).Encode(), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := &watched{Reader: resp.Body, heard: func() { silence.Reset(watchSilence) }}
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: 2 * MaxValueSize}) {
		if err != nil {
			return result.Wrap(result.PlatformDown, err, "watch")
		}
		rev, err := strconv.ParseUint(ev.LastEventID, 10, 64)
		if err != nil {
			return result.Wrap(result.PlatformDown, err, "watch revision")
		}
		var o Object
		if err := json.Unmarshal([]byte(ev.Data), &o); err != nil {
			return result.Wrap(result.PlatformDown, err, "decode watch event")
		}
		if err := f(Revision(rev), o); err != nil {
			return err
		}
	}
	return result.New(result.PlatformDown, "watch ended")
}

func watchQuery(from Revision, kinds []Kind) url.Values {
	q := url.Values{"from": {strconv.FormatUint(uint64(from), 10)}}
	for _, k := range kinds {
		q.Add("kind", string(k))
	}
	return q
}

// watched tells of each read that brought something.
type watched struct {
	io.Reader
	heard func()
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	if n > 0 {
		w.heard()
	}
	return n, err
}
