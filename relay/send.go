package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/routing"
	"quetzalhold/serverconn"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Outcome,Action -linecomment -output=relay_string.go

// Outcome is the result of an attempt at one backend server.
type Outcome int

// The outcomes. After Lost the server may have run the request.
const (
	Lost     Outcome = iota // lost
	NotRun                  // not run
	Answered                // answered
)

// dialError is a failure to open a connection: nothing was sent.
type dialError struct{ cause error }

func (u dialError) Error() string { return "connect: " + u.cause.Error() }

func (u dialError) Unwrap() error { return u.cause }

// errNoRoom is the failure to send to a server that refuses requests for now, or whose limit, or that of its version, leaves
// no room: nothing was sent.
var errNoRoom = errors.New("the server refuses requests for now, or its limit or that of its version leaves no room")

// notSent reports whether an attempt failed before anything was sent to the server.
func notSent(err error) bool {
	var u dialError
	return errors.As(err, &u) || errors.Is(err, errNoRoom)
}

// The bounds on opening a connection to a server: a multiple of the usual time plus a margin,
// or a fixed default if the usual time is unknown.
const (
	dialTimeoutFactor  = 3
	dialTimeoutMargin  = 60 * time.Millisecond
	defaultDialTimeout = 250 * time.Millisecond
)

// dialTimeout returns how long opening a connection may take.
func dialTimeout(usual time.Duration) time.Duration {
	if usual == 0 {
		return defaultDialTimeout
	}
	return dialTimeoutFactor*usual + dialTimeoutMargin
}

type dialTimeoutKey struct{}

// limitDial returns a dialer that gives up after the time that the request's context states for opening a connection.
func limitDial(dial engine.Dialer) engine.Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		limit, ok := ctx.Value(dialTimeoutKey{}).(time.Duration)
		if !ok {
			limit = defaultDialTimeout
		}
		// The transport continues to dial after the request has ended.
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, dialError{err}
		}
		return c, nil
	}
}

// newTransport returns a transport that opens a connection for every request. A kept one may
// have gone silent or may carry the late answer to another request, and http.Transport retries
// requests by itself only on kept ones.
func newTransport(dial engine.Dialer) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: engine.MaxHeaderBytes,
		DialContext:            limitDial(dial),
	}
}

// message is a caller's request with its whole body.
type message struct {
	*http.Request
	params platform.Request
	route  routing.RouteName
	body   []byte
}

// target returns the path and the query of the request by which it is compared with others.
func (m *message) target() string {
	t := routing.CanonicalPath(routing.PathOf(m.Request))
	if m.URL.ForceQuery || m.URL.RawQuery != "" {
		t += "?" + m.URL.RawQuery
	}
	return t
}

// outgoing returns the request as it is sent to a backend server.
func (m *message) outgoing(ctx context.Context, to backend.Choice, send *platform.ServerRequest) *http.Request {
	u := *m.URL
	u.Scheme, u.Host, u.User = "http", to.Address, nil
	if p := routing.PathOf(m.Request); p != u.EscapedPath() && !strings.HasPrefix(p, "//") {
		u.Opaque = p // package url would encode what the caller has not
	}
	h := send.Headers(m.Header)
	if a, ok := ctx.Value(admissionKey{}).(string); ok && to.Peer {
		h.Set(AdmissionHeader, a)
	}
	if h.Get("User-Agent") == "" {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	h.Del("Content-Length")
	req := &http.Request{
		Method: m.Method, URL: &u, Host: m.Host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(m.body)),
	}
	if len(m.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(m.body))
	}
	return req.WithContext(context.WithValue(ctx, dialTimeoutKey{}, dialTimeout(to.DialTime)))
}

// roundTrip sends the request and returns the response, whose body is not read yet. Its error
// tells whether the server may have received the request. All callers' requests pass here, so that
// each counts against the server's limit.
func (r *Relay) roundTrip(ctx context.Context, m *message, to backend.Choice, send *platform.ServerRequest) (*http.Response, error) {
	begun := time.Now()
	if !to.Peer {
		if r.Sending != nil && !r.Sending(to, m.route) {
			return nil, errNoRoom
		}
		if !r.Pool.Take(to.ID, begun) {
			r.sent(to, m.route, begun, errNoRoom)
			return nil, errNoRoom
		}
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(c httptrace.GotConnInfo) {
				r.countConnection(purposeOf(ctx), c.Reused)
				if !c.Reused {
					r.Pool.RecordDial(to.ID, time.Since(begun))
					r.connected(to.Service)
				}
			},
		})
	}
	resp, err := r.sendRequest(ctx, m, to, send)
	r.sent(to, m.route, begun, err)
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", to.ID, err)
	}
	return resp, nil
}

// sent calls Sent with the error of a request to a server that began at an instant.
func (r *Relay) sent(to backend.Choice, route routing.RouteName, at time.Time, err error) {
	if r.Sent != nil && !to.Peer {
		r.Sent(to, route, at, err == nil, notSent(err))
	}
}

// errForeign reports that a response does not answer the request that was sent.
var errForeign = errors.New("no answer to this request")

// classify returns the outcome of an attempt that began at sentAt from its error or its response
// head, and updates the pool with what this shows about the server.
func (r *Relay) classify(m *message, to backend.Choice, sentAt time.Time, resp *http.Response, err error) (Outcome, error) {
	if to.Peer {
		return r.classifyPeer(m, to, sentAt, resp, err)
	}
	now := time.Now()
	var u dialError
	switch {
	case errors.Is(err, errNoRoom):
		return NotRun, err
	case errors.As(err, &u):
		if m.Context().Err() == nil {
			r.Pool.MarkFailed(to.ID, now)
			r.connectionFailed(&to)
		}
		return NotRun, err
	case err != nil:
		return Lost, err
	}
	r.Pool.MarkResponsive(to.ID, now)
	foreign := platform.NamesOther(resp.Header, m.params.ID)
	if by := platform.AnsweredBy(resp.Header); resp.StatusCode == http.StatusMisdirectedRequest && by != to.ID && !foreign {
		r.Pool.MarkMisdirected(to.ID, now)
		r.reportRestart(to)
		return NotRun, fmt.Errorf("refused with status %d", resp.StatusCode)
	}
	r.recordNotices(to, resp, now)
	refused := platform.NotRun(resp.StatusCode, resp.Header)
	// A refusal that names another request says nothing about this one, which may have run.
	if foreign || !refused && !platform.Genuine(resp.Header, m.params.ID) {
		return Lost, fmt.Errorf("status %d: %w", resp.StatusCode, errForeign)
	}
	r.recordNoLimit(to, resp, sentAt)
	if refused {
		r.recent.forget(to.ID)
		r.recordRefusal(to, resp, now, sentAt)
		return NotRun, fmt.Errorf("refused with status %d", resp.StatusCode)
	}
	return Answered, nil
}

// recordNotices records what a response says about its server besides the answer: that it is
// leaving, or until when it refuses requests.
func (r *Relay) recordNotices(to backend.Choice, resp *http.Response, now time.Time) {
	if platform.Leaving(resp.Header) && r.Pool.MarkLeaving(to.ID, to.Start) {
		r.Log.Info("server is leaving", zap.String("server", string(to.ID)), zap.Uint64("start", uint64(to.Start)))
		if r.Leaving != nil {
			r.Leaving(to)
		}
	}
	r.recordLimit(to, resp, now)
	if platform.Brittle(resp.Header) {
		r.Pool.RecordBrittle(to.ID, now)
	}
	until, err := platform.RefusedUntil(resp.StatusCode, resp.Header, now)
	if err != nil {
		r.logMalformed.Do(func() {
			r.Log.Warn("malformed time in a server's refusal ignored; others are not logged", zap.String("server", string(to.ID)), zap.Error(err))
		})
	}
	if !until.IsZero() {
		r.Pool.Postpone(to.ID, to.Start, until)
		r.Log.Info("server refuses requests", zap.String("server", string(to.ID)), zap.Time("until", until))
	}
}

// recordLimit records the limit that a response names, if any.
func (r *Relay) recordLimit(to backend.Choice, resp *http.Response, now time.Time) {
	rate, err := platform.RateLimit(resp.Header)
	if err != nil {
		r.logMalformed.Do(func() {
			r.Log.Warn("malformed limit in a server's answer ignored; others are not logged", zap.String("server", string(to.ID)), zap.Error(err))
		})
	}
	if rate != backend.Unlimited {
		r.setLimit(backend.RateLimit{Server: to.ID, Start: to.Start, Rate: rate, At: now})
	}
}

// recordNoLimit records that a server names no limit in its answer to a request that was sent at an
// instant: a limit that it named before has ended.
func (r *Relay) recordNoLimit(to backend.Choice, resp *http.Response, sentAt time.Time) {
	if rate, err := platform.RateLimit(resp.Header); err == nil && rate == backend.Unlimited {
		r.setLimit(backend.RateLimit{Server: to.ID, Start: to.Start, Rate: rate, At: sentAt})
	}
}

// brittleRetryAfter is how long an engine that is brittle gets no requests after a refusal.
const brittleRetryAfter = time.Second

// recordRefusal records that a server has refused a request for want of room, if it is brittle.
func (r *Relay) recordRefusal(to backend.Choice, resp *http.Response, now, sentAt time.Time) {
	if resp.StatusCode != http.StatusServiceUnavailable || !platform.Brittle(resp.Header) {
		return
	}
	r.Pool.Postpone(to.ID, to.Start, now.Add(brittleRetryAfter))
	if r.Pool.RecordRefusal(to.ID, now, sentAt) {
		r.Log.Info("brittle server refuses requests", zap.String("server", string(to.ID)), zap.String("service", string(to.Service)))
	}
}

func (r *Relay) setLimit(l backend.RateLimit) {
	if !r.Pool.SetLimit(l) {
		return
	}
	r.Log.Info("server limit", zap.String("server", string(l.Server)), zap.Uint64("start", uint64(l.Start)), zap.Float64("perSecond", float64(l.Rate)))
	if r.LimitChanged != nil {
		r.LimitChanged(l)
	}
}

// markReplaced removes a server's start from the pool after a later one answered at its address.
func (r *Relay) markReplaced(to backend.Choice) {
	r.Pool.MarkReplaced(to.ID)
	r.reportRestart(to)
}

// reportRestart reports to Restarted that another start, or another server, answers at a server's address.
func (r *Relay) reportRestart(to backend.Choice) {
	r.dropKept(to.Address)
	if r.Restarted != nil {
		r.Restarted(to)
	}
}

// Bounds on how much of an answer is buffered before it is sent to the caller, in bytes.
const (
	maxBuffered = 256 << 10
	// smallAnswer is the size up to which answers are not counted.
	smallAnswer = 16 << 10
)

// reply is the result of a plain request at one server.
type reply struct {
	server   backend.Choice
	observed *observation
	took     time.Duration
	outcome  Outcome
	err      error
	status   int
	header   http.Header
	body     []byte
	rest     io.Reader // the part of the body that is not buffered; nil if it is complete
	spent    string    // what another entry VM states of the attempts lent to it
}

// exchange sends a plain request and reads the answer: a truncated one must not reach the
// caller as if it were complete. The rest of a long answer is left to be read until ctx ends.
func (r *Relay) exchange(ctx context.Context, m *message, to backend.Choice, send *platform.ServerRequest) (rep reply) {
	work := backend.Load{Requests: 1}
	r.Pool.Begin(to.ID, work)
	defer r.Pool.End(to.ID, work)
	rep.server = to
	begun := time.Now()
	resp, err := r.roundTrip(withPurpose(ctx, serverconn.Call), m, to, send)
	defer func() {
		if resp != nil && rep.rest == nil {
			_ = resp.Body.Close() // its end was read, or it is not needed
		}
	}()
	rep.spent = takeSpent(to, resp)
	if rep.outcome, rep.err = r.classify(m, to, begun, resp, err); rep.outcome != Answered {
		return rep
	}
	rep.status, rep.header = resp.StatusCode, resp.Header
	var complete bool
	rep.body, complete, err = r.readAnswer(ctx, resp.Body)
	switch {
	case err != nil:
		rep.outcome, rep.err = Lost, fmt.Errorf("read answer of %s: %w", to.ID, err)
	case !complete:
		rep.rest = resp.Body
	}
	rep.took = time.Since(begun)
	if rep.outcome == Answered && !to.Peer {
		r.Pool.RecordAnswer(to.Service, rep.took)
	}
	return rep
}

// readAnswer reads the beginning of an answer, and reports whether that is all: no more than maxBuffered bytes, and of
// a long one only while there is room. Its memory is given back when ctx ends.
func (r *Relay) readAnswer(ctx context.Context, body io.Reader) (b []byte, complete bool, err error) {
	var buf bytes.Buffer
	held := int64(0)
	defer func() {
		if held > 0 {
			context.AfterFunc(ctx, func() { r.answers.give(held) })
		}
	}()
	for size := int64(smallAnswer); ; size *= 2 {
		if _, err := buf.ReadFrom(io.LimitReader(body, size-int64(buf.Len()))); err != nil {
			return nil, false, err
		}
		if int64(buf.Len()) < size {
			return buf.Bytes(), true, nil
		}
		if size >= maxBuffered || !r.answers.take(held, 2*size, r.AnswerMemory) {
			return buf.Bytes(), false, nil
		}
		held = 2 * size
	}
}
