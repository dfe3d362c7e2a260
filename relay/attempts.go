package relay

import (
	"slices"
	"time"

	"quetzalhold/backend"
	"quetzalhold/engine"
)

// attempts are the runs of a stream whose servers may have run it, in the order in which they were
// sent. The zero value is none.
type attempts []*run

// addAttempt records that a run was sent. At the limit of the stream's route, servers that were left
// out because they were silent may be tried again.
func (s *streamRun) addAttempt(r *run) {
	for _, x := range s.ran {
		if x.to.ID == r.to.ID {
			x.ending.reused.Store(true)
		}
	}
	before := s.atLimit(0)
	s.ran = append(s.ran, r)
	if !before && s.atLimit(0) {
		s.tried = nil
	}
}

// remove removes a run that was refused.
func (a *attempts) remove(r *run) {
	*a = slices.DeleteFunc(*a, func(x *run) bool { return x == r })
}

// servers returns the starts of servers that may have run the stream, each once.
func (a attempts) servers() []backend.Choice {
	var list []backend.Choice
	for _, r := range a {
		if !slices.ContainsFunc(list, func(c backend.Choice) bool { return sameStart(&c, &r.to) }) {
			list = append(list, r.to)
		}
	}
	return list
}

func sameStart(a, b *backend.Choice) bool { return a.ID == b.ID && a.Start == b.Start }

// over reports whether all runs at a start of a server were stopped.
func (a attempts) over(c *backend.Choice) bool {
	for _, r := range a {
		if sameStart(&r.to, c) && !r.ending.over() {
			return false
		}
	}
	return true
}

// failed reports whether a run at a start of a server ended by itself before its end.
func (a attempts) failed(c *backend.Choice) bool {
	return slices.ContainsFunc(a, func(r *run) bool { return r.ending.failed && sameStart(&r.to, c) })
}

// spent returns how many of the attempts that a route permits were used: one for each server, and
// one for each run that failed, also where several failed at a server. Other entry VMs count with all
// attempts lent to them, unless they have stated how many they have used.
func (a attempts) spent() int {
	n := 0
	for _, r := range a {
		switch {
		case r.to.Peer:
			n += r.lent
		case r.ending.failed:
			n++
		}
	}
	for _, c := range a.servers() {
		if !c.Peer && !a.failed(&c) {
			n++
		}
	}
	return n
}

// ids returns the IDs of the servers that may have run the stream.
func (a attempts) ids() []engine.ServerID {
	var list []engine.ServerID
	for _, c := range a.servers() {
		if !c.Peer {
			list = append(list, c.ID)
		}
	}
	return list
}

// attemptsLeft returns how many more attempts the stream's route permits.
func (s *streamRun) attemptsLeft() int { return s.route.MaxAttempts - s.ran.spent() }

// atLimit reports whether the stream has used the attempts that its route permits, so that it can
// go on only at servers that ran it before; next is the number of further attempts to allow for.
func (s *streamRun) atLimit(next int) bool { return s.attemptsLeft() <= next }

// mayReplace reports whether another server may take the stream over from the current run.
func (s *streamRun) mayReplace() bool {
	return s.mayGoOn() && (!s.atLimit(0) || len(s.ran.servers()) > 1)
}

// permitted returns the servers to which the stream may be sent; nil permits all. At the limit of
// its route these are the ones that it may return to.
func (s *streamRun) permitted(now time.Time) []engine.ServerID {
	if len(s.ran) == 0 || !s.atLimit(0) {
		return nil
	}
	return s.stopped(now)
}

// permits reports whether the stream may be sent to a server.
func (s *streamRun) permits(id engine.ServerID, now time.Time) bool {
	list := s.permitted(now)
	return list == nil || slices.Contains(list, id)
}

// stopped returns the servers to which the stream may return: they ran it and were stopped, and
// have not restarted. It never returns nil.
func (s *streamRun) stopped(now time.Time) []engine.ServerID {
	list := []engine.ServerID{}
	for _, c := range s.ran.servers() {
		v, ok := s.relay.Pool.View(c.ID, now)
		if ok && !v.Removed && !v.Draining && v.Start == c.Start && s.ran.over(&c) {
			list = append(list, c.ID)
		}
	}
	return list
}

// preferredForCopy returns the servers preferred for a copy of the next run's KV cache; nil
// prefers none. After the last attempt that the route permits, only servers to which the stream
// may return can use it.
func (s *streamRun) preferredForCopy(now time.Time) []engine.ServerID {
	if !s.atLimit(1) {
		return nil
	}
	if list := s.stopped(now); len(list) > 0 {
		return list
	}
	return nil
}
