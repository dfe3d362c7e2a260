package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/result"
)

// hedgeShare is the part of the objective after which an idempotent request that
// is not answered goes to a second server as well. The other part suffices for
// the second one.
const hedgeShare = 0.5

// plainRun is one plain request under way.
type plainRun struct {
	*job
	call    Retrier
	replies chan reply
	asked   []engine.ServerID
	best    *reply // a server's failure, to deliver if nothing better comes
}

// servePlain answers a request of a plain service.
func (r *Relay) servePlain(w http.ResponseWriter, j *job) {
	ctx, cancel := context.WithDeadline(j.msg.Context(), j.deadline)
	defer cancel() // also ends sends that nobody waits for any more
	p := &plainRun{job: j, replies: make(chan reply, 2*maxRounds+j.route.MaxAttempts+maxSends)}
	p.call = Retrier{Repeatable: j.route.Repeatable(), MaxRuns: j.route.MaxAttempts, GiveUpAt: j.begun.Add(j.route.LatencyTarget)}
	hedge := time.NewTimer(max(time.Millisecond, time.Duration(hedgeShare*float64(j.route.LatencyTarget))))
	defer hedge.Stop()
	act := r.sendPlain(ctx, p)
	for {
		switch act {
		case TryNext:
			act = r.sendPlain(ctx, p)
			continue
		case Pause:
			p.asked = nil
			pause := time.NewTimer(refusalPause)
			select {
			case <-pause.C:
			case <-ctx.Done():
			}
			pause.Stop()
			act = r.sendPlain(ctx, p)
			continue
		case Deliver:
			r.deliver(w, j, p.best)
			return
		case Refuse:
			r.refuse(w, j, result.New(result.NoServer, "no server of %s took the call", j.service).AsNotRun())
			return
		case Fail:
			r.refuse(w, j, result.New(result.OutcomeUnknown, "the server or its answer was lost"))
			return
		}
		select {
		case rep := <-p.replies:
			act = p.replied(rep)
		case <-hedge.C:
			act = p.call.Hedge()
		case <-ctx.Done():
			r.timeOut(w, j, p.call.runs > 0)
			return
		}
	}
}

// maxSends bounds the servers that one request is sent to, refusals included.
const maxSends = 12

// sendPlain sends the request to the next server.
func (r *Relay) sendPlain(ctx context.Context, p *plainRun) Action {
	now := time.Now()
	to, ok := r.choose(p.job, now, p.asked)
	if !ok || p.sends >= maxSends {
		return p.call.NoServer(now)
	}
	if p.sends > 0 && !r.Budget(p.service).Allow(now) {
		p.note("retry budget spent", to.ID)
		return p.call.Rest()
	}
	p.sends++
	p.asked = append(p.asked, to.ID)
	p.call.Sent()
	send := &platform.ServerRequest{Server: to.ID, Organisation: p.organisation, TimeLeft: time.Until(p.deadline), Urgency: -1}
	go func() { p.replies <- r.exchange(ctx, p.msg, to, send) }()
	return Await
}

// replied takes over one server's outcome.
func (p *plainRun) replied(rep reply) Action {
	if rep.outcome == Answered {
		if rep.status >= http.StatusInternalServerError {
			p.ran(rep.by, true, 0, 0)
		} else {
			p.ran(rep.by, false, rep.took, 0)
		}
		if p.best == nil || rep.status < p.best.status {
			p.best = &rep
		}
	} else {
		p.refund(rep.why)
		p.note("attempt "+rep.outcome.String(), rep.by.ID, zap.Error(rep.why))
	}
	return p.call.Replied(rep.outcome, rep.status)
}

// refund takes a send back from the retry budget if it reached no server.
func (j *job) refund(err error) {
	var u unreached
	if j.sends > 1 && errors.As(err, &u) {
		j.relay.Budget(j.service).Refund(time.Now())
	}
}

// deliver passes a server's whole answer on.
func (r *Relay) deliver(w http.ResponseWriter, j *job, rep *reply) {
	h := w.Header()
	for name, values := range platform.EndToEnd(rep.header) {
		h[name] = slices.Clone(values)
	}
	if j.msg.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(rep.body)))
	}
	w.WriteHeader(rep.status)
	// The caller may be gone; there is nobody left to tell.
	_, _ = w.Write(rep.body)
	j.end(result.OK, rep.by.ID, zap.Int("status", rep.status))
}

// choose picks a server for the request.
func (r *Relay) choose(j *job, now time.Time, exclude []engine.ServerID) (backend.Choice, bool) {
	return r.Pool.Choose(r.need(j, now, exclude, ""))
}

// need returns what the request asks of a server. The failure domain of server
// avoid counts only where there is no other.
func (r *Relay) need(j *job, now time.Time, exclude []engine.ServerID, avoid engine.ServerID) backend.Criteria {
	n := backend.Criteria{
		Now: now, Service: j.service, Domain: r.Domain, Region: r.Region, Exclude: exclude,
		AffinityKey: j.msg.ask.AffinityKey(), Tokens: j.tokens, Model: j.model,
	}
	if r.Allowed != nil {
		n.Allowed = r.Allowed(j.service, j.msg.ask.ID)
	}
	if avoid != "" {
		if v, ok := r.Pool.View(avoid, now); ok {
			n.Avoid = v.Domain
		}
	}
	return n
}
