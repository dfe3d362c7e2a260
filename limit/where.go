package limit

import "time"

// Preview is what a gate would do with a request that comes now.
type Preview struct {
	Admitted bool          // at once
	Position int           // requests of its organisation that wait before it
	Wait     time.Duration // expected; 0 if it is unknown
}

// Preview returns what the gate would do with a request that comes now, by the shares in force. It fails as Enter does
// if the request would be refused at once, and changes nothing.
func (g *Gate) Preview(r Request) (Preview, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := account{share: Share{Tokens: -1, Answers: -1}}
	if known := g.orgs[r.Organisation]; known != nil {
		a = *known
	}
	a.maxAnswers = r.MaxAnswers
	wait := g.predictWaitLocked(&a)
	if err := g.refusal(now, &a, &r, wait); err != nil {
		return Preview{}, err
	}
	return Preview{Admitted: len(a.queue) == 0 && g.canAdmit(now, &a), Position: len(a.queue), Wait: wait}, nil
}

// refusal returns the error with which a request is refused that is expected to wait for so long; nil if it is not.
func (g *Gate) refusal(now time.Time, a *account, r *Request, wait time.Duration) error {
	switch {
	case g.policy.MaxAnswers <= 0:
		return overloaded(now, time.Second, "no new answers are taken")
	case g.waiting >= g.policy.MaxQueue && !g.canAdmit(now, a):
		return overloaded(now, wait, "%d requests wait", g.waiting)
	case !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline):
		return overloaded(now, wait, "the queue takes %s, longer than the deadline", wait.Round(time.Millisecond))
	case wait > g.policy.MaxWait:
		return overloaded(now, wait, "the queue takes %s", wait.Round(time.Millisecond))
	}
	return nil
}
