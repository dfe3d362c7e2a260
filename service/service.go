// Package service speaks to plain services: calls that need no model. An
// idempotent call is repeated on another server when one fails; any other call
// is sent at most once, unless it is proved that it did not run.
package service

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/operator"
	"quetzalhold/result"
)

// HeaderRequestID is the header by which a server's answer is known to belong
// to a call: a server returns it as it came.
const HeaderRequestID = "Request-Id"

// maxReply bounds the body of a service's answer, in bytes.
const maxReply = 8 << 20

// Server is one server of a plain service.
type Server struct {
	ID      engine.ServerID
	Service names.ID
	Address string
	Domain  names.ID
	Leaving bool
}

// Call is one call on its way to a service.
type Call struct {
	Request  engine.RequestID
	Method   string
	Path     string // with its query
	Header   http.Header
	Body     []byte
	Deadline time.Time // zero for none
}

// Reply is a service's whole answer.
type Reply struct {
	Server engine.ServerID
	Status int
	Header http.Header
	Body   []byte
}

// Client calls the servers of plain services. Its zero value knows no server;
// see [Client.SetServers].
type Client struct {
	// Domain is the failure domain of this entry VM, whose servers are
	// preferred.
	Domain names.ID
	// RegionOf returns the region of a failure domain; nil puts each in one
	// of its own.
	RegionOf func(names.ID) names.ID
	// Dial opens connections; nil dials as package net does.
	Dial engine.Dialer
	// Tracer makes a span for each attempt; nil for none.
	Tracer trace.Tracer
	// OnStep is told of each step; nil for none.
	OnStep func(engine.Step)
	// TryLimit bounds one attempt of an idempotent call; 0 for the default.
	TryLimit time.Duration

	mu      sync.Mutex
	servers map[names.ID][]Server
	once    sync.Once
	http    *http.Client
}

// The limits of calls.
const (
	defaultTryLimit = 2 * time.Second
	maxTries        = 4
	// callLimit bounds a call that states no deadline.
	callLimit = 30 * time.Second
)

// SetServers takes over the list of servers of all services.
func (c *Client) SetServers(all []Server) {
	byService := make(map[names.ID][]Server)
	for _, s := range all {
		if !s.Leaving {
			byService[s.Service] = append(byService[s.Service], s)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = byService
}

// order returns the servers of a service, the nearest first and shuffled among
// equals.
func (c *Client) order(id names.ID) []Server {
	c.mu.Lock()
	all := append([]Server(nil), c.servers[id]...)
	c.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var near, region, far []Server
	for _, s := range all {
		switch {
		case s.Domain == c.Domain:
			near = append(near, s)
		case c.regionOf(s.Domain) == c.regionOf(c.Domain):
			region = append(region, s)
		default:
			far = append(far, s)
		}
	}
	return append(append(near, region...), far...)
}

func (c *Client) regionOf(d names.ID) names.ID {
	if c.RegionOf == nil {
		return d
	}
	return c.RegionOf(d)
}

// Do does a call. An idempotent one goes to further servers until one answers;
// it fails with ServiceFailed once none did. Any other call fails with
// ServiceNotReached or ServiceRefused where it is proved not to have run, and
// with OutcomeUnknown otherwise.
func (c *Client) Do(ctx context.Context, s *operator.Service, kind operator.Call, call Call) (Reply, error) {
	if call.Deadline.IsZero() {
		call.Deadline = time.Now().Add(callLimit)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	servers := c.order(s.Names.Code)
	if len(servers) == 0 {
		e := result.New(result.ServiceNotReached, "no server of %s is listed", s.Names.Code)
		return Reply{}, e.AsNotRun().At(time.Now().Add(time.Second))
	}
	if kind.Idempotent {
		return c.repeat(ctx, servers, call)
	}
	return c.atMostOnce(ctx, servers, call)
}

// repeat tries servers in turn, and starts over while time and tries are left.
func (c *Client) repeat(ctx context.Context, servers []Server, call Call) (Reply, error) {
	limit := cmp.Or(c.TryLimit, defaultTryLimit)
	var errs []error
	for i := 0; i < maxTries && ctx.Err() == nil; i++ {
		reply, err := c.try(ctx, servers[i%len(servers)], call, limit)
		if err == nil {
			return reply, nil
		}
		errs = append(errs, err)
	}
	e := result.Wrap(result.ServiceFailed, errors.Join(errs...), "%d tries", len(errs))
	return Reply{}, e.At(time.Now().Add(time.Second))
}

// atMostOnce sends a call to the first server that takes it. It goes to another one
// only after proof that the call did not run.
func (c *Client) atMostOnce(ctx context.Context, servers []Server, call Call) (Reply, error) {
	var last *result.Error
	for _, s := range servers {
		reply, err := c.try(ctx, s, call, 0)
		if err == nil {
			return reply, nil
		}
		last = result.Of(err)
		if !last.NotRun {
			return Reply{}, result.Wrap(result.OutcomeUnknown, err, "server %s", s.ID)
		}
	}
	if last.Code != result.ServiceRefused {
		last = result.Wrap(result.ServiceNotReached, last, "no server was reached").AsNotRun()
	}
	return Reply{}, last.At(time.Now().Add(time.Second))
}

// try does one attempt, of at most limit unless that is 0.
func (c *Client) try(ctx context.Context, s Server, call Call, limit time.Duration) (Reply, error) {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	ctx, span := c.tracer().Start(ctx, "service call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(s.ID))))
	defer span.End()
	c.note(call, "call", call.Method+" "+call.Path, s)
	reply, err := c.send(ctx, s, call)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		c.note(call, "call failed", err.Error(), s)
	}
	return reply, err
}

func (c *Client) send(ctx context.Context, s Server, call Call) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+s.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, result.Wrap(result.BadRequest, err, "build call").AsNotRun()
	}
	// A body that cannot be read again cannot be sent again.
	req.GetBody = nil
	copyHeader(req.Header, call.Header)
	req.Header.Set(HeaderRequestID, string(call.Request))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.client().Do(req)
	if err != nil {
		return Reply{}, lost(err)
	}
	defer resp.Body.Close()
	return read(resp, s, call)
}

func lost(err error) error {
	e := result.Wrap(result.ServiceFailed, err, "connection failed")
	e.NotRun = engine.IsConnRefused(err)
	return e
}

// read takes a server's answer, if it is this call's and whole.
func read(resp *http.Response, s Server, call Call) (Reply, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	switch {
	case err != nil:
		return Reply{}, result.Wrap(result.ServiceFailed, err, "answer broke off")
	case len(body) > maxReply:
		return Reply{}, result.New(result.ServiceFailed, "answer over %d bytes", maxReply)
	case resp.Header.Get(HeaderRequestID) != string(call.Request):
		return Reply{}, result.New(result.CrossedAnswer, "answer to %q", resp.Header.Get(HeaderRequestID))
	case resp.StatusCode >= http.StatusInternalServerError:
		resp.Body = io.NopCloser(bytes.NewReader(body))
		e := result.Read(resp, result.ServiceFailed)
		// Only the service itself can say that the call did not run.
		e.NotRun = e.NotRun && e.Code == result.ServiceRefused
		return Reply{}, e
	}
	return Reply{Server: s.ID, Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// hopHeaders concern one connection only and are not passed on; neither are
// the caller's credentials.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

// copyHeader copies what concerns both ends.
func copyHeader(to, from http.Header) {
	drop := append([]string(nil), hopHeaders...)
	for _, v := range from.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			drop = append(drop, strings.TrimSpace(name))
		}
	}
	for k, v := range from {
		to[k] = v
	}
	for _, k := range drop {
		to.Del(k)
	}
}

// client returns the HTTP client, whose every call has its own connection: a
// pooled one may have gone silent, and [http.Transport] repeats calls on its
// own account on reused connections.
func (c *Client) client() *http.Client {
	c.once.Do(func() {
		t := &http.Transport{DialContext: engine.TimeoutDialer(c.Dial), DisableKeepAlives: true, DisableCompression: true}
		c.http = &http.Client{
			Transport:     t,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return c.http
}

func (c *Client) tracer() trace.Tracer {
	if c.Tracer == nil {
		return noop.Tracer{}
	}
	return c.Tracer
}

func (c *Client) note(call Call, what, why string, s Server) {
	if c.OnStep == nil {
		return
	}
	c.OnStep(engine.Step{At: time.Now(), Request: call.Request, Event: what, Reason: why, Server: s.ID})
}
