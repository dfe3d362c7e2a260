// Package service calls plain services, which are those that need no model. An
// idempotent call is retried on another server if one fails. Any other call is
// sent to another server only if it is proved that it did not run.
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
	"quetzalhold/http1"
	"quetzalhold/names"
	"quetzalhold/operator"
	"quetzalhold/result"
)

// HeaderRequestID is the header that matches a server's response to its call:
// a server returns the value that it received.
const HeaderRequestID = "Request-Id"

// maxReplyBody is the limit on the body of a service's response, in bytes.
const maxReplyBody = 8 << 20

// Server is one server of a plain service.
type Server struct {
	ID      engine.ServerID
	Service names.ID
	Address string
	Domain  names.ID
	// Incarnation is the start of the server.
	Incarnation engine.Incarnation
	Leaving     bool
}

// Call is a call to a service.
type Call struct {
	Request  engine.RequestID
	Method   string
	Path     string // with its query
	Header   http.Header
	Body     []byte
	Deadline time.Time // zero for none
	// Guard keeps the call from servers if it crashes them.
	Guard engine.Guard
}

// Reply is a service's complete response.
type Reply struct {
	Server engine.ServerID
	Status int
	Header http.Header
	Body   []byte
}

// Client calls the servers of plain services. Its zero value has no servers;
// [Client.SetServers] sets them.
type Client struct {
	// Domain is the failure domain of this entry VM. Servers in it are
	// preferred.
	Domain names.ID
	// RegionOf returns the region of a failure domain. If it is nil, each
	// failure domain counts as a region of its own.
	RegionOf func(names.ID) names.ID
	// Dial opens connections; nil dials as package net does.
	Dial engine.Dialer
	// Tracer makes a span for each attempt; nil makes none.
	Tracer trace.Tracer
	// OnStep, if not nil, is called for each step of a call, for the request's
	// history.
	OnStep func(engine.Step)
	// AttemptTimeout is the timeout of one attempt of an idempotent call; 0
	// means the default.
	AttemptTimeout time.Duration

	mu      sync.Mutex
	servers map[names.ID][]Server
	once    sync.Once
	http    *http.Client
}

// The limits of calls.
const (
	defaultAttemptTimeout = 2 * time.Second
	maxAttempts           = 4
	// defaultCallTimeout is the timeout of a call without a deadline.
	defaultCallTimeout = 30 * time.Second
)

// SetServers replaces the servers of all services. Those that are leaving get
// no new calls.
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

// serversByDistance returns the servers of a service in order of preference:
// those of this entry VM's failure domain, those of its region, then all
// others, each group in random order.
func (c *Client) serversByDistance(id names.ID) []Server {
	c.mu.Lock()
	all := append([]Server(nil), c.servers[id]...)
	c.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var sameDomain, sameRegion, others []Server
	for _, s := range all {
		switch {
		case s.Domain == c.Domain:
			sameDomain = append(sameDomain, s)
		case c.regionOf(s.Domain) == c.regionOf(c.Domain):
			sameRegion = append(sameRegion, s)
		default:
			others = append(others, s)
		}
	}
	return append(append(sameDomain, sameRegion...), others...)
}

func (c *Client) regionOf(d names.ID) names.ID {
	if c.RegionOf == nil {
		return d
	}
	return c.RegionOf(d)
}

// Do sends a call to a service. An idempotent call is retried on further
// servers until one succeeds; it fails with ServiceFailed if no attempt did.
// Any other call fails with ServiceNotReached or ServiceRefused if it is proved
// not to have run, and with OutcomeUnknown otherwise. A call that its Guard blocks
// fails with the Guard's error if it is proved not to have run.
func (c *Client) Do(ctx context.Context, s *operator.Service, kind operator.Call, call Call) (Reply, error) {
	if call.Deadline.IsZero() {
		call.Deadline = time.Now().Add(defaultCallTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	servers := c.serversByDistance(s.Names.Code)
	if len(servers) == 0 {
		e := result.New(result.ServiceNotReached, "no server of %s is listed", s.Names.Code)
		return Reply{}, e.AsNotRun().WithRetryAt(time.Now().Add(time.Second))
	}
	if kind.Idempotent {
		return c.retry(ctx, servers, call)
	}
	return c.atMostOnce(ctx, servers, call)
}

// retry sends a call to one server after the other, starting over after the
// last, until one succeeds, ctx ends, maxAttempts are made or the call is blocked.
func (c *Client) retry(ctx context.Context, servers []Server, call Call) (Reply, error) {
	timeout := cmp.Or(c.AttemptTimeout, defaultAttemptTimeout)
	var errs []error
	notRun, retryAt := true, time.Now().Add(time.Second)
	for i := 0; i < maxAttempts && ctx.Err() == nil; i++ {
		if e := call.Guard.Blocked(); e != nil {
			if notRun {
				return Reply{}, e.AsNotRun()
			}
			errs = append(errs, e)
			retryAt = e.RetryAt
			break
		}
		reply, err := c.attempt(ctx, servers[i%len(servers)], call, timeout)
		if err == nil {
			return reply, nil
		}
		errs = append(errs, err)
		notRun = notRun && result.FromError(err).NotRun
	}
	e := result.Wrap(result.ServiceFailed, errors.Join(errs...), "%d tries", len(errs))
	return Reply{}, e.WithRetryAt(retryAt)
}

// atMostOnce sends a call to servers in order. It goes on to the next one only
// if it is proved that the call did not run.
func (c *Client) atMostOnce(ctx context.Context, servers []Server, call Call) (Reply, error) {
	var last *result.Error
	for _, s := range servers {
		if e := call.Guard.Blocked(); e != nil {
			return Reply{}, e.AsNotRun()
		}
		reply, err := c.attempt(ctx, s, call, 0)
		if err == nil {
			return reply, nil
		}
		last = result.FromError(err)
		if !last.NotRun {
			return Reply{}, result.Wrap(result.OutcomeUnknown, err, "server %s", s.ID)
		}
	}
	if last.Code != result.ServiceRefused {
		last = result.Wrap(result.ServiceNotReached, last, "no server was reached").AsNotRun()
	}
	return Reply{}, last.WithRetryAt(time.Now().Add(time.Second))
}

// attempt sends a call to one server. Unless timeout is 0, it limits the time
// of the attempt.
func (c *Client) attempt(ctx context.Context, s Server, call Call, timeout time.Duration) (Reply, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	ctx, span := c.tracer().Start(ctx, "service call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(s.ID))))
	defer span.End()
	c.recordStep(call, "call", call.Method+" "+call.Path, s)
	reply, err := c.send(ctx, s, call)
	switch {
	case err == nil:
		call.Guard.RecordSound()
	case isLost(err) && ctx.Err() == nil:
		call.Guard.RecordCrash(s.ID, s.Incarnation)
	}
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		c.recordStep(call, "call failed", err.Error(), s)
	}
	return reply, err
}

// send does the HTTP request of an attempt.
func (c *Client) send(ctx context.Context, s Server, call Call) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+s.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, result.Wrap(result.BadRequest, err, "build call").AsNotRun()
	}
	// Without GetBody, the transport cannot send the body a second time.
	req.GetBody = nil
	copyHeader(req.Header, call.Header)
	req.Header.Set(HeaderRequestID, string(call.Request))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return Reply{}, connectionError(err)
	}
	defer resp.Body.Close()
	return readReply(resp, s, call)
}

// connectionError wraps an error of the HTTP client. NotRun is set if the
// server refused the connection.
func connectionError(err error) error {
	e := result.Wrap(result.ServiceFailed, err, "connection failed")
	e.NotRun = engine.IsConnRefused(err)
	return e
}

// isLost reports whether the server was lost before it had answered.
func isLost(err error) bool {
	var e *result.Error
	return errors.As(err, &e) && e.Code == result.ServiceFailed && engine.IsBroken(e.Cause)
}

// readReply reads a server's response. It returns an error if the response is
// incomplete or too long, belongs to another call, or has a 5xx status.
func readReply(resp *http.Response, s Server, call Call) (Reply, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBody+1))
	switch {
	case err != nil:
		return Reply{}, result.Wrap(result.ServiceFailed, err, "answer broke off")
	case len(body) > maxReplyBody:
		return Reply{}, result.New(result.ServiceFailed, "answer over %d bytes", maxReplyBody)
	case resp.Header.Get(HeaderRequestID) != string(call.Request):
		return Reply{}, result.New(result.CrossedAnswer, "answer to %q", resp.Header.Get(HeaderRequestID))
	case resp.StatusCode >= http.StatusInternalServerError:
		resp.Body = io.NopCloser(bytes.NewReader(body))
		e := result.Read(resp, result.ServiceFailed)
		// Only ServiceRefused, by which the service itself says that the
		// call did not run, counts as proof.
		e.NotRun = e.NotRun && e.Code == result.ServiceRefused
		return Reply{}, e
	}
	return Reply{Server: s.ID, Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// droppedHeaders are not forwarded to the service: hop-by-hop headers,
// Content-Length, which the HTTP client sets, and the caller's credentials.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

// copyHeader copies the headers that are forwarded: all except droppedHeaders
// and those named by the Connection header.
func copyHeader(to, from http.Header) {
	drop := append([]string(nil), droppedHeaders...)
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

// httpClient returns the HTTP client. It opens a new connection for each call,
// because a pooled connection may have failed silently, and because
// [http.Transport] retries requests by itself on reused connections.
func (c *Client) httpClient() *http.Client {
	c.once.Do(func() {
		t := &http.Transport{DialContext: engine.TimeoutDialer(c.Dial), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: engine.MaxHeaderBytes}
		c.http = &http.Client{
			Transport:     http1.New(t),
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

// recordStep passes a step of a call to c.OnStep.
func (c *Client) recordStep(call Call, what, why string, s Server) {
	if c.OnStep == nil {
		return
	}
	c.OnStep(engine.Step{At: time.Now(), Request: call.Request, Event: what, Reason: why, Server: s.ID})
}
