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
	"time"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Outcome,Action -linecomment -output=relay_string.go

// Outcome is what became of a request sent to one backend server.
type Outcome int

// The outcomes.
const (
	Lost     Outcome = iota // lost
	NotRun                  // not run
	Answered                // answered
)

// unreached is the failure to open a connection: nothing was sent.
type unreached struct{ cause error }

func (u unreached) Error() string { return "connect: " + u.cause.Error() }

func (u unreached) Unwrap() error { return u.cause }

// The bounds on opening a connection to a server: a multiple of the usual time
// with a margin, or the fixed one where no usual time is known.
const (
	dialFactor  = 3
	dialMargin  = 60 * time.Millisecond
	dialUnknown = 250 * time.Millisecond
)

// dialLimit returns how long opening a connection may take.
func dialLimit(usual time.Duration) time.Duration {
	if usual == 0 {
		return dialUnknown
	}
	return dialFactor*usual + dialMargin
}

type dialLimitKey struct{}

// newTransport returns a transport that opens a connection for every request. A
// kept one may have gone silent or may bear the late answer to another request,
// and http.Transport repeats requests on its own account on kept ones only.
func newTransport(dial engine.Dialer) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			limit, ok := ctx.Value(dialLimitKey{}).(time.Duration)
			if !ok {
				limit = dialUnknown
			}
			// The transport goes on dialling after the request has ended.
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, unreached{err}
			}
			return c, nil
		},
	}
}

// message is a caller's request, read whole.
type message struct {
	*http.Request
	ask  platform.Request
	body []byte
}

// outgoing returns the caller's request as it goes to a backend server.
func (m *message) outgoing(ctx context.Context, to backend.Choice, send *platform.ServerRequest) *http.Request {
	u := *m.URL
	u.Scheme, u.Host, u.User = "http", to.Address, nil
	h := send.Headers(m.Header)
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
	return req.WithContext(context.WithValue(ctx, dialLimitKey{}, dialLimit(to.DialTime)))
}

// roundTrip sends the request and returns the head of the answer. Of an error it
// says whether the server may have got the request.
func (r *Relay) roundTrip(ctx context.Context, m *message, to backend.Choice, send *platform.ServerRequest) (*http.Response, error) {
	begun := time.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			r.Pool.RecordDial(to.ID, time.Since(begun))
		},
	})
	resp, err := r.transport.RoundTrip(m.outgoing(ctx, to, send))
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", to.ID, err)
	}
	return resp, nil
}

// classify says what a failed send or the head of an answer means, and notes
// what it tells about the server.
func (r *Relay) classify(m *message, to backend.Choice, resp *http.Response, err error) (Outcome, error) {
	now := time.Now()
	var u unreached
	switch {
	case errors.As(err, &u):
		if m.Context().Err() == nil {
			r.Pool.MarkFailed(to.ID, now)
		}
		return NotRun, err
	case err != nil:
		return Lost, err
	}
	r.Pool.MarkResponsive(to.ID)
	if platform.NotRun(resp.StatusCode, resp.Header) {
		if by := platform.AnsweredBy(resp.Header); resp.StatusCode == http.StatusMisdirectedRequest && by != to.ID {
			r.replaced(to)
		}
		return NotRun, fmt.Errorf("refused with status %d", resp.StatusCode)
	}
	if !platform.Genuine(resp.Header, m.ask.ID) {
		return Lost, fmt.Errorf("status %d is no answer to this request", resp.StatusCode)
	}
	return Answered, nil
}

// replaced notes that another start answers at a server's address.
func (r *Relay) replaced(to backend.Choice) {
	r.Pool.MarkReplaced(to.ID)
	if r.Restarted != nil {
		r.Restarted(to)
	}
}

// maxAnswer bounds an answer that is kept whole before it is passed on, in
// bytes.
const maxAnswer = 16 << 20

// reply is what a server made of a plain request.
type reply struct {
	by      backend.Choice // the server
	took    time.Duration
	outcome Outcome
	why     error
	status  int
	header  http.Header
	body    []byte
}

// exchange sends a plain request and reads the whole answer: a part of one must
// not reach the caller as if it were whole.
func (r *Relay) exchange(ctx context.Context, m *message, to backend.Choice, send *platform.ServerRequest) reply {
	work := backend.Load{Requests: 1}
	r.Pool.Begin(to.ID, work)
	defer r.Pool.End(to.ID, work)
	rep := reply{by: to}
	begun := time.Now()
	resp, err := r.roundTrip(ctx, m, to, send)
	if resp != nil {
		defer resp.Body.Close()
	}
	if rep.outcome, rep.why = r.classify(m, to, resp, err); rep.outcome != Answered {
		return rep
	}
	rep.status, rep.header = resp.StatusCode, resp.Header
	rep.body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		rep.outcome, rep.why = Lost, fmt.Errorf("read answer of %s: %w", to.ID, err)
	}
	rep.took = time.Since(begun)
	return rep
}
