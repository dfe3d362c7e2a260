package relay

import (
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/platform"
)

const (
	// gapsPerSample is the number of gaps between events that make a sample; 12 take 0.4 s at usual speed. Their median
	// counts, which pauses of the entry VM and the network do not move.
	gapsPerSample = 12
	// evenGaps is the ratio of the quartiles of gaps up to which they count as equal. Jitter of 15 ms makes them differ
	// by half; a prompt that the engine prefills stretches gaps about five times.
	evenGaps = 2
	// minGap is the shortest gap that counts. Events that were read later than they came are closer together.
	minGap = time.Millisecond
)

// meter measures the speed of the engine of one run. Its method is called by the reader of the run alone.
type meter struct {
	costs  *cost.Book
	sample cost.Sample
	sentAt time.Time
	travel time.Duration // time to open the connection and to reach the engine
	// prompt is the number of tokens that the engine prefills before the first event, and certain that of those which
	// cannot have been cached; 0 if the time to the first event says nothing.
	prompt, certain engine.Tokens
	after           eventID // events up to this id are repeated ones; none if there are none
	lastAt          time.Time
	gaps            []time.Duration
}

// newMeter returns the meter of a run; nil for one that is sent to another entry VM. The time to its first event
// counts only if nothing was known to be before it at the engine.
func (s *streamRun) newMeter(now time.Time, at *backend.Engine, fromCopy bool) *meter {
	if at.Peer {
		return nil
	}
	params := &s.msg.params
	s.relay.Costs.ObservePrompt(s.service, params.PromptTokens)
	m := &meter{
		costs: s.relay.Costs, sentAt: now, after: s.position.last, travel: 2 * at.DialTime,
		sample: cost.Sample{Service: s.service, Server: at.ID, Start: at.Start, Count: 1},
	}
	if !fromCopy && !s.resumes() && at.Report != nil && at.Load.Pending+at.Report.Waiting+at.Report.Prefilling == 0 {
		m.prompt, m.certain = params.PromptTokens, params.PromptTokens
		// The parts before the last one may be cached, as other requests have them too.
		if n := len(params.Prompt); n > 0 {
			m.certain = min(m.prompt, params.Prompt[n-1].Tokens)
		}
	}
	return m
}

// maxBehind is how many parts of a run may wait for its caller while gaps count. More show that the reader waits for the
// caller and not for the engine.
const maxBehind = 2

// event records that an event was read while so many parts wait for the caller. A nil meter measures nothing.
func (m *meter) event(now time.Time, e *event, behind int) {
	if m == nil || !e.dispatches() {
		return
	}
	if order, ok := e.id.compare(m.after); ok && order <= 0 {
		return
	}
	if behind > maxBehind && !m.lastAt.IsZero() {
		m.lastAt, m.gaps = now, m.gaps[:0]
		return
	}
	if m.lastAt.IsZero() {
		m.lastAt = now
		if took := now.Sub(m.sentAt); m.certain > 0 {
			took = max(took-m.travel, took/2)
			m.observe(now, cost.FirstEvent, float64(m.prompt)/took.Seconds(), float64(m.certain)/took.Seconds())
		}
		return
	}
	m.gaps = append(m.gaps, now.Sub(m.lastAt))
	m.lastAt = now
	if len(m.gaps) < gapsPerSample {
		return
	}
	slices.Sort(m.gaps)
	short, median, long := m.gaps[gapsPerSample/4].Seconds(), m.gaps[gapsPerSample/2].Seconds(), m.gaps[gapsPerSample*3/4].Seconds()
	switch {
	case short < minGap.Seconds():
	case long <= evenGaps*short:
		m.observe(now, cost.Gap, 1/median, 1/median)
	default:
		m.observe(now, cost.Gap, 1/short, 1/long)
	}
	m.gaps = m.gaps[:0]
}

func (m *meter) observe(now time.Time, k cost.Kind, rate, least float64) {
	s := m.sample
	s.Kind, s.Rate, s.Least = k, cost.Rate(rate), cost.Rate(least)
	m.costs.Observe(now, s)
}

// minWorkShare is the least part of the time of a call that counts as the server's work: one in so many.
const minWorkShare = 4

// observeCall records how long a server took for a call, unless it had to wait for others of this entry VM there.
func (p *plainRequest) observeCall(rep *reply) {
	waited := rep.server.Load.Requests >= max(1, rep.server.Slots)
	if rep.server.Peer || waited || rep.status >= http.StatusInternalServerError || rep.took <= 0 {
		return
	}
	// Opening the connection and the call itself take a round trip each. A server in another region is not slow for that.
	took := max(rep.took-2*p.relay.dialTime(&rep.server), rep.took/minWorkShare)
	rate := cost.Rate(1 / took.Seconds())
	p.relay.Costs.Observe(time.Now(), cost.Sample{
		Service: p.service, Server: rep.server.ID, Start: rep.server.Start, Kind: cost.Call, Rate: rate, Least: rate, Count: 1,
	})
}

// observeReport records what an engine's load report shows of its speed.
func (r *Relay) observeReport(now time.Time, of *backend.Choice, rep *backend.Report) {
	quiet := rep.Waiting+rep.Prefilling == 0
	r.Costs.ObserveReport(now, cost.Sample{Service: of.Service, Server: of.ID, Start: of.Start}, quiet, rep.Events)
}

// observeOutput records the length of a complete answer.
func (s *streamRun) observeOutput() {
	s.relay.Costs.ObserveOutput(s.route.Name, s.msg.params.AnswerTokens, engine.Tokens(s.delivered*cost.TokensPerEvent))
}

// basis returns what the choice of a server for the request is based on; nil while the servers of its service are not
// known to differ.
func (j *job) basis(now time.Time) *cost.Basis {
	x := j.relay.Costs.Basis(now, j.service)
	if x == nil {
		return nil
	}
	x.Work = cost.Work{Prefill: j.msg.params.PromptTokens, Output: j.relay.Costs.Output(j.route.Name, j.msg.params.AnswerTokens)}
	if j.model != nil && j.route.LatencyTarget > 0 {
		x.FirstBy = j.startedAt.Add(j.route.LatencyTarget)
	}
	return x
}

// prefillTokens returns the tokens that an engine has to prefill for a run.
func (s *streamRun) prefillTokens(from *platform.KVCopy) engine.Tokens {
	if from != nil {
		return 0
	}
	had := s.events()
	if had == allEvents {
		had = 0
	}
	return s.msg.params.PromptTokens + engine.Tokens(had*cost.TokensPerEvent)
}

// speedFields returns the inputs of a placement that are known only while the engines differ in speed.
func speedFields(at *backend.Engine) zap.Field {
	if at.Expected == 0 {
		return zap.Skip()
	}
	return zap.Dict("bySpeed", zap.Duration("expected", at.Expected), zap.Float64("speed", at.Speed.Factor()), zap.Int64("ownTokens", int64(at.Load.Prefill)))
}
