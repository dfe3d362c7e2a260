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
	"quetzalhold/http1"
	"quetzalhold/result"
)

// Client calls the platform's object API. Use [NewClient].
type Client struct {
	address    string
	http       *http.Client
	newWriteID func() string
	tracer     trace.Tracer
	budget     *Budget
}

// Option configures a Client.
type Option func(*Client)

// WithDial sets the function that opens connections.
func WithDial(d engine.Dialer) Option {
	return func(c *Client) { c.http.Transport = newTransport(d) }
}

// WithTracer sets the tracer that makes a span for each call.
func WithTracer(t trace.Tracer) Option { return func(c *Client) { c.tracer = t } }

// WithBudget sets the budget that limits the rate of calls.
func WithBudget(b *Budget) Option { return func(c *Client) { c.budget = b } }

// callTimeout limits the time of each call except a watch.
const callTimeout = 2 * time.Second

// watchIdleTimeout is how long a watch may receive nothing before it is ended
// as lost. The platform sends a comment more often than that.
const watchIdleTimeout = 15 * time.Second

// newTransport returns the transport of a client that dials with d.
func newTransport(d engine.Dialer) *http1.Transport {
	return http1.New(&http.Transport{DialContext: engine.TimeoutDialer(d), MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: engine.MaxHeaderBytes})
}

// NewClient returns a client of the platform at address, which is an IP
// address with a port.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{
		address:    address,
		http:       &http.Client{Transport: newTransport(nil)},
		newWriteID: uuid.NewString,
		tracer:     noop.Tracer{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Get returns one object. It fails with ObjectMissing if there is none.
func (c *Client) Get(ctx context.Context, k Kind, n Name) (Object, error) {
	var o Object
	err := c.call(ctx, readPriority(k), http.MethodGet, objectPath(k, n), nil, &o)
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

// Put writes an object if its current version is expect; 0 creates it. If the
// response to the write is lost, Put reads the object to find out whether the
// write took effect. It fails with VersionConflict if the object has changed,
// and with PlatformDown if the outcome remains unknown.
func (c *Client) Put(ctx context.Context, k Kind, n Name, expect Version, value any) (Object, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Object{}, fmt.Errorf("encode %s %s: %w", k, n, err)
	}
	if len(raw) > MaxValueSize {
		return Object{}, result.New(result.ObjectTooLarge, "%s %s has %d bytes", k, n, len(raw)).AsNotRun()
	}
	return c.write(ctx, k, n, Put{Expect: expect, WriteID: c.newWriteID(), Value: raw})
}

// write does a conditional write, and confirms it by reading if the response
// is lost.
func (c *Client) write(ctx context.Context, k Kind, n Name, p Put) (Object, error) {
	var o Object
	err := c.call(ctx, Urgent, http.MethodPut, objectPath(k, n), p, &o)
	if result.CodeOf(err) != result.PlatformDown {
		return o, err
	}
	return c.confirmWrite(ctx, k, n, p, err)
}

// confirmWrite reads an object to find out whether a write whose response was
// lost took effect. It returns writeErr, the error of the write, if that
// remains unknown.
func (c *Client) confirmWrite(ctx context.Context, k Kind, n Name, p Put, writeErr error) (Object, error) {
	o, err := c.Get(ctx, k, n)
	switch {
	case err == nil && o.WriteID == p.WriteID:
		return o, nil
	case err == nil && o.Version > p.Expect:
		// Another writer has changed the object: our write came before
		// that change or will be rejected.
		return Object{}, result.New(result.VersionConflict, "%s %s is at version %d", k, n, o.Version)
	}
	// An unchanged object proves nothing: the write may still arrive.
	return Object{}, writeErr
}

// Delete removes an object if its current version is expect. It is a
// conditional write like Put. The platform keeps a tombstone with the version
// of the deletion, so that no earlier version comes back.
func (c *Client) Delete(ctx context.Context, k Kind, n Name, expect Version) (Object, error) {
	p := Put{Expect: expect, WriteID: c.newWriteID(), Delete: true}
	return c.write(ctx, k, n, p)
}

// readPriority returns the priority of reading one object of kind k.
func readPriority(k Kind) Priority {
	if k == "bookings" || k == "lease" {
		return Urgent
	}
	return Important
}

func objectPath(k Kind, n Name) string {
	return "/objects/" + url.PathEscape(string(k)) + "/" + url.PathEscape(string(n))
}

// call does one call: it sends in and decodes the response into out, both as
// JSON. Either may be nil.
func (c *Client) call(ctx context.Context, p Priority, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, p, method, path, in)
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

// send sends one request within the budget. It returns the response if the
// status is below 300, and an error otherwise.
func (c *Client) send(ctx context.Context, p Priority, method, path string, in any) (*http.Response, error) {
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

// Watch calls f for each change of an object of the given kinds after revision
// from. It returns when ctx ends, f fails, or the watch is lost or receives
// nothing for watchIdleTimeout. After a lost watch the caller has to list the
// objects again.
func (c *Client) Watch(ctx context.Context, from Revision, kinds []Kind, f func(Revision, Object) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(watchIdleTimeout, cancel)
	defer idle.Stop()
	resp, err := c.send(ctx, Important, http.MethodGet, "/watch?"+watchQuery(from, kinds).Encode(), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := &engine.ActivityReader{Reader: resp.Body, OnRead: func() { idle.Reset(watchIdleTimeout) }}
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
