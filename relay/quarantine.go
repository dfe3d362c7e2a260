package relay

import (
	"time"

	"go.uber.org/zap"

	"quetzalhold/quarantine"
	"quetzalhold/result"
)

// beginEvents is the number of events after which an engine is past the beginning of an answer: a
// part of the prompt that crashes engines does so before.
const beginEvents = 3

func partIDs(ids []string) []quarantine.PartID {
	parts := make([]quarantine.PartID, len(ids))
	for i, id := range ids {
		parts[i] = quarantine.PartID(id)
	}
	return parts
}

// observeSound records that no part of the prompt crashes engines.
func (s *streamRun) observeSound() {
	s.sound = true
	if s.relay.Quarantine.MarkSound(time.Now(), s.service, s.parts) && s.relay.QuarantineChanged != nil {
		s.relay.QuarantineChanged()
	}
}

// observeCrash records that a run's engine was lost while it began to answer, which a part of the
// prompt may have caused.
func (s *streamRun) observeCrash(r *run) {
	if s.sound || !r.answered || r.events >= beginEvents {
		return
	}
	c, ok := s.relay.Quarantine.Observe(time.Now(), quarantine.Crash{
		Service: s.service, Request: s.msg.params.ID, Server: r.to.ID, Start: r.to.Start, Parts: s.parts,
	})
	if !ok {
		return
	}
	s.logEvent("engine lost at the beginning of an answer", r.to.ID, zap.Any("parts", c.Parts), zap.Int("events", r.events))
	if s.relay.QuarantineChanged != nil {
		s.relay.QuarantineChanged()
	}
}

// rejectBlocked ends a request with a part that crashes engines, unless an engine is past the
// beginning of its answer. It reports whether it did.
func (s *streamRun) rejectBlocked() bool {
	if s.sound {
		return false
	}
	b, ok := s.relay.Quarantine.Blocked(time.Now(), s.service, s.parts)
	if !ok {
		return false
	}
	code := result.PromptBlocked
	if s.mayHaveRun() {
		code = result.EngineLost // the status of PromptBlocked promises that the request has not run
	}
	err := result.New(code, "part %s crashed %d engines", b.Part, b.Crashes).WithRetryAt(b.Until)
	switch {
	case s.headSent:
		s.abort(err)
	case !s.mayHaveRun():
		err = err.AsNotRun()
	}
	s.clearHead()
	s.relay.refuse(s.w, s.job, err)
	return true
}
