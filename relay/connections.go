package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/serverconn"
	"quetzalhold/telemetry"
)

// keptShare is the part of the permitted descriptors that kept connections take up: one in so many.
const keptShare = 8

// KeepConnections lets connections to servers be kept, as many idle ones as a process with a limit on descriptors
// can spare; 0 if the limit is unknown. It is called before the first request.
func (r *Relay) KeepConnections(maxFDs int) {
	limit := 0
	if maxFDs > 0 {
		limit = max(1, maxFDs/keptShare)
	}
	r.kept = &serverconn.Pool{Dial: limitDial(r.dial), Limit: limit}
}

// dropKept closes the kept connections to an address.
func (r *Relay) dropKept(address string) {
	if r.kept != nil {
		r.kept.Drop(address)
	}
}

type purposeKey struct{}

// withPurpose returns a context in which a request is sent for a purpose.
func withPurpose(ctx context.Context, p serverconn.Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// purposeOf returns the purpose for which a caller's request is sent.
func purposeOf(ctx context.Context) serverconn.Purpose {
	if p, ok := ctx.Value(purposeKey{}).(serverconn.Purpose); ok {
		return p
	}
	return serverconn.Stream
}

func (r *Relay) countConnection(p serverconn.Purpose, reused bool) {
	if r.Connection != nil {
		r.Connection(p, reused)
	}
}

// via is how a control call reaches its server.
type via struct {
	send    func(*http.Request) (*http.Response, error)
	purpose serverconn.Purpose
}

// onNew returns a way to a server by a new connection.
func (r *Relay) onNew() via { return via{send: r.transport.RoundTrip, purpose: serverconn.Control} }

// onKept returns a way to a server by a kept connection, if one is idle. Only calls that may be repeated and have
// no body go there: a call that fails on a kept connection is sent again on a new one.
func (r *Relay) onKept(at *backend.Choice, p serverconn.Purpose, o serverconn.Options) via {
	if r.kept == nil {
		return via{send: r.controlTransport.RoundTrip, purpose: p}
	}
	o.Server, o.Class = serverconn.Server{Address: at.Address, Start: at.Start}, serverconn.Reports
	return via{purpose: p, send: func(req *http.Request) (*http.Response, error) {
		resp, err := r.kept.Do(req, o)
		if o.KeptOnly || !failedOnKept(err) {
			return resp, err
		}
		again := o
		again.Fresh = true
		return r.kept.Do(req.Clone(req.Context()), again)
	}}
}

// failedOnKept reports whether a request failed on a kept connection before the first byte of an answer. Only whether the
// server is still there tells whether it has crashed, or has closed the connection before.
func failedOnKept(err error) bool {
	var kept *serverconn.KeptError
	return errors.As(err, &kept)
}

// freshKey marks the context of a call whose connection may be kept. Its value is whether the connection must be a
// new one.
type freshKey struct{}

// mayKeep returns the context for sending a call. Its connection may be kept if the call may be repeated. Only its
// first send uses one that was kept, and only if another attempt is left: a call whose server has closed the
// connection has used an attempt and a retry, as the server may have run it.
func (p *plainRequest) mayKeep(ctx context.Context, to *backend.Choice) context.Context {
	r := p.relay
	if r.kept == nil || !p.retrier.Repeatable || to.Peer {
		return ctx
	}
	reuse := p.sends == 1 && p.retrier.Left() > 0 && len(p.trials) == 0 && r.Budget(p.service).Available(time.Now())
	return context.WithValue(ctx, freshKey{}, !reuse)
}

// leaveServer lets a call go elsewhere whose kept connection to a server has failed, as the server may have ended. If
// there is no other server, it goes there again.
func (p *plainRequest) leaveServer(id engine.ServerID) {
	if _, ok := p.relay.choose(p.job, time.Now(), p.tried); !ok {
		p.tried = slices.DeleteFunc(p.tried, func(x engine.ServerID) bool { return x == id })
	}
}

// sendRequest sends a caller's request on a new connection, or on a kept one if its context permits that.
func (r *Relay) sendRequest(ctx context.Context, m *message, to backend.Choice, send *platform.ServerRequest) (*http.Response, error) {
	fresh, ok := ctx.Value(freshKey{}).(bool)
	if !ok {
		return r.transport.RoundTrip(m.outgoing(ctx, to, send))
	}
	o := serverconn.Options{Server: serverconn.Server{Address: to.Address, Start: to.Start}, Class: serverconn.Calls, Fresh: fresh, Recent: true}
	resp, err := r.kept.Do(m.outgoing(ctx, to, send), o)
	var kept *serverconn.KeptError
	if errors.As(err, &kept) && !kept.Sent {
		o.Fresh = true // nothing was sent, so that this is the first time
		return r.kept.Do(m.outgoing(ctx, to, send), o)
	}
	return resp, err
}

type keptProbeKey struct{}

// withKeptProbe returns a context in which a probe may use a kept connection.
func withKeptProbe(ctx context.Context) context.Context {
	return context.WithValue(ctx, keptProbeKey{}, true)
}

// probeKept requests a load report on the kept connection to a server, until the deadline. It reports whether the
// server has answered. The report itself is not used: those by which streams are moved are requested as often as
// without kept connections.
func (r *Relay) probeKept(ctx context.Context, to backend.Choice, deadline time.Time) bool {
	if ctx.Value(keptProbeKey{}) == nil {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := telemetry.Guard(r.Log, "probe", func() error {
		_, _, err := r.control(ctx, r.onKept(&to, serverconn.Probe, serverconn.Options{KeptOnly: true}), to, http.MethodGet, platform.ReportPath, nil)
		return err
	})
	var status statusError
	return err == nil || errors.As(err, &status)
}
