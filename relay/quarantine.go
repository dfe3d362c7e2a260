package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/telemetry"
)

// beginEvents is the number of events after which an engine is past the beginning of an answer: what
// crashes engines does so before.
const beginEvents = 3

// suspects returns what may crash servers that run the request.
func (j *job) suspects() []quarantine.Suspect {
	return append([]quarantine.Suspect{j.fingerprint.Suspect()}, j.parts...)
}

// observeSound records that the request, and the parts of its prompt, crash no servers.
func (j *job) observeSound() {
	j.sound = true
	j.markSound(j.suspects())
}

func (j *job) markSound(suspects []quarantine.Suspect) {
	if j.relay.Quarantine.MarkSound(time.Now(), j.service, suspects) && j.relay.QuarantineChanged != nil {
		j.relay.QuarantineChanged()
	}
}

// observeCrash records that a server was lost before it was past the beginning of its answer, which the
// request or a part of its prompt may have caused; begun is whether something of the answer has come,
// and err how it ended. A server that has answered something else, or not in time, is not lost.
func (j *job) observeCrash(to backend.Choice, begun bool, err error) {
	if j.sound || to.Peer || errors.Is(err, errForeign) || j.isOver() {
		return
	}
	c := quarantine.Crash{Service: j.service, Request: j.msg.params.ID, Server: to.ID, Start: to.Start}
	var crashes []quarantine.Crash
	if begun {
		c.Suspects = j.suspects()
		crashes = append(crashes, c)
	} else {
		c.Suspects = []quarantine.Suspect{j.fingerprint.Suspect()}
		crashes = append(crashes, c)
		if len(j.parts) > 0 {
			crashes = append(crashes, c.OfWaiting(j.parts))
		}
	}
	var names []quarantine.Name
	for _, c := range crashes {
		if c, ok := j.relay.Quarantine.ObserveUnconfirmed(time.Now(), c); ok {
			names = append(names, c.Name())
			j.logEvent("server lost at the beginning of an answer", to.ID, zap.Any("suspects", c.Suspects), zap.Any("waiting", c.Waiting))
		}
	}
	if len(names) == 0 {
		return
	}
	telemetry.Go(j.relay.Log, "confirmation of a crash", func() { j.relay.confirmCrash(to, names, j.model != nil) })
}

// confirmCrash confirms crashes of a server, or clears them if it is alive: then it has only broken off an
// answer. An engine shows it by a load report. They are also cleared if this entry VM reaches no server at all.
func (r *Relay) confirmCrash(to backend.Choice, names []quarantine.Name, isEngine bool) {
	check := r.checkLoss(to, isEngine)
	<-check.done
	lost := check.err != nil && !r.cutOffSince(check.begun)
	cleared := false
	for _, n := range names {
		if lost {
			r.Quarantine.Confirm(n)
		} else {
			cleared = r.Quarantine.Clear(time.Now(), n) || cleared
		}
	}
	if cleared {
		r.Log.Info("server is not lost", zap.String("server", string(to.ID)), zap.Any("crashes", names))
	}
	if r.QuarantineChanged != nil {
		r.QuarantineChanged()
	}
}

// blocked reports whether the request is blocked. It is not if a server is past the beginning of
// its answer, and as far as its last send is a trial.
func (j *job) blocked() (quarantine.Block, bool) {
	if j.sound {
		return quarantine.Block{}, false
	}
	suspects := slices.DeleteFunc(j.suspects(), func(s quarantine.Suspect) bool { return slices.Contains(j.trials, s) })
	return j.relay.Quarantine.Blocked(time.Now(), j.service, suspects)
}

// beginTrials makes the next send a trial of what was claimed for it, if anything.
func (j *job) beginTrials() { j.trials, j.claimed = j.claimed, nil }

// keepTrials keeps the trials of a send for the next one, where another entry VM has not sent the request.
func (j *job) keepTrials(to backend.Choice) {
	if to.Peer {
		j.claimed = j.trials
	}
}

// finishTrial goes on with a run that is a trial after its request has ended, until the outcome is known: the
// next trial may be due much later.
func (s *streamRun) finishTrial(r *run) {
	defer s.close(r)
	for {
		select {
		case p := <-r.parts:
			switch {
			case p.ended && (p.err != nil || r.events == 0):
				s.logEvent("trial failed after its request", r.to.ID, zap.Stringer("outcome", p.outcome), zap.Error(p.err))
				return
			case p.connected || p.head != nil || !p.ended && !p.event.dispatches():
				continue
			}
			if r.events++; p.ended || r.events >= beginEvents {
				s.logEvent("trial passed after its request", r.to.ID)
				s.observeSound()
				return
			}
		case <-r.ctx.Done():
			return
		}
	}
}

// rejected reports whether the request is blocked, as far as is known, and no trial is due.
func (j *job) rejected() (quarantine.Block, bool) {
	b, ok := j.blocked()
	return b, ok && !b.Unconfirmed && time.Now().Before(b.Until)
}

// confirmInterval is how often a request looks whether what blocks it is confirmed.
const confirmInterval = 30 * time.Millisecond

// isUnconfirmed reports whether the request is blocked by crashes of which it is not known yet whether servers were lost. It must
// not be sent meanwhile.
func (j *job) isUnconfirmed() bool {
	b, ok := j.blocked()
	return ok && b.Unconfirmed
}

// claimRetryDelay is when a request may be sent again that could not claim a trial which was due.
const claimRetryDelay = time.Second

// claimTrials makes the next send a trial for what blocks the request, if anything. It reports false
// with the block that remains if the request must not be sent.
func (j *job) claimTrials(ctx context.Context) (quarantine.Block, bool) {
	for {
		b, blocked := j.blocked()
		now := time.Now()
		switch {
		case !blocked:
			return b, true
		case now.Before(b.Until):
			return b, false
		case j.relay.ClaimTrial == nil || !j.relay.ClaimTrial(ctx, b.Trial):
			b.Until = now.Add(claimRetryDelay)
			return b, false
		}
		j.logEvent("trial of a blocked request", "", zap.String("suspect", string(b.Suspect)), zap.Int("crashes", b.Crashes))
		j.trials = append(j.trials, b.Suspect)
	}
}

// blockError returns the error that ends a blocked request; ran is whether some server may have
// run it.
func blockError(b quarantine.Block, ran bool) *result.Error {
	code := result.PromptBlocked
	switch {
	case ran:
		code = result.EngineLost // the status of the others promises that the request has not run
	case b.Suspect.IsRequest():
		code = result.RequestBlocked
	}
	err := result.New(code, "%s crashed %d servers", b.Suspect, b.Crashes).WithRetryAt(b.Until)
	if !ran {
		err = err.AsNotRun()
	}
	return err
}

// observeCrash records that a run's engine was lost, unless it was past the beginning of its answer.
func (s *streamRun) observeCrash(r *run, err error) {
	if r.events < beginEvents {
		s.job.observeCrash(r.to, r.events > 0 || r.partial || s.readPrompt(r), err)
	}
}

// readPrompt reports whether the head of a run's answer shows that its engine had read the prompt: some
// engines send it at once.
func (s *streamRun) readPrompt(r *run) bool {
	usual, ok := s.relay.stats.FirstEventTime(s.route.Name, s.msg.params.PromptTokens)
	return ok && r.answered && r.headAt.Sub(r.sentAt) >= usual/2
}

// rejectBlocked ends a blocked request. It reports whether it did.
func (s *streamRun) rejectBlocked() bool {
	b, ok := s.rejected()
	if ok {
		s.reject(b)
	}
	return ok
}

// reject ends a blocked request.
func (s *streamRun) reject(b quarantine.Block) {
	err := blockError(b, s.mayHaveRun())
	if s.headSent {
		s.abort(err)
	}
	s.clearHead()
	s.relay.refuse(s.w, s.job, err)
}
