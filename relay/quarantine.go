package relay

import (
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/quarantine"
	"quetzalhold/result"
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

// observeCrash records that a server was lost while it began to answer, which the request or one of
// the parts may have caused.
func (j *job) observeCrash(to backend.Choice, parts []quarantine.Suspect) {
	if j.sound || j.msg.Context().Err() != nil {
		return
	}
	c, ok := j.relay.Quarantine.Observe(time.Now(), quarantine.Crash{
		Service: j.service, Request: j.msg.params.ID, Server: to.ID, Start: to.Start,
		Suspects: append([]quarantine.Suspect{j.fingerprint.Suspect()}, parts...),
	})
	if !ok {
		return
	}
	j.logEvent("server lost at the beginning of an answer", to.ID, zap.Any("suspects", c.Suspects))
	if j.relay.QuarantineChanged != nil {
		j.relay.QuarantineChanged()
	}
}

// blocked reports whether the request must not be sent to a server now, unless one is past the
// beginning of its answer.
func (j *job) blocked() (quarantine.Block, bool) {
	if j.sound {
		return quarantine.Block{}, false
	}
	return j.relay.Quarantine.Blocked(time.Now(), j.service, j.suspects())
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

// observeCrash records that a run's engine was lost while it began to answer. Before its head, it
// may not have read the prompt.
func (s *streamRun) observeCrash(r *run) {
	switch {
	case r.events >= beginEvents:
	case r.answered:
		s.job.observeCrash(r.to, s.parts)
	default:
		s.job.observeCrash(r.to, nil)
	}
}

// rejectBlocked ends a blocked request. It reports whether it did.
func (s *streamRun) rejectBlocked() bool {
	b, ok := s.blocked()
	if !ok {
		return false
	}
	err := blockError(b, s.mayHaveRun())
	if s.headSent {
		s.abort(err)
	}
	s.clearHead()
	s.relay.refuse(s.w, s.job, err)
	return true
}
