package relay

import (
	"bytes"
	"cmp"
	"errors"
	"math/big"
	"strconv"
	"sync"

	"golang.org/x/net/http/httpguts"

	"quetzalhold/engine"
	"quetzalhold/routing"
)

// eventID is the id of an event. The zero value is none, which differs from every id: a stream may begin
// with 0. Ids that are numbers rise; those that are not have no order.
type eventID struct {
	text   string // as it was received
	number int64
	large  *big.Int // the number, if an int64 can't hold it
	ranked bool     // it is a number
}

// maxIDLength bounds the ids that are used to resume a stream, in bytes.
const maxIDLength = 256

// parseEventID reads an id; that of an empty text is none.
func parseEventID(text string) eventID {
	id := eventID{text: text}
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case err == nil:
		id.number, id.ranked = n, true
	case errors.Is(err, strconv.ErrRange) && len(text) <= maxIDLength:
		id.large, id.ranked = new(big.Int).SetString(text, 10)
	}
	return id
}

// isNone reports whether there is no id.
func (a eventID) isNone() bool { return a.text == "" }

// resumable reports whether a request can name the id as the one to resume after.
func (a eventID) resumable() bool {
	return !a.isNone() && len(a.text) <= maxIDLength && httpguts.ValidHeaderFieldValue(a.text)
}

func (a eventID) big() *big.Int {
	if a.large != nil {
		return a.large
	}
	return big.NewInt(a.number)
}

// compare returns the order of two ids as cmp.Compare does. It reports false if they have none.
func (a eventID) compare(b eventID) (int, bool) {
	switch {
	case !a.ranked || !b.ranked:
		return 0, false
	case a.large == nil && b.large == nil:
		return cmp.Compare(a.number, b.number), true
	}
	return a.big().Cmp(b.big()), true
}

// same reports whether two ids are the same, which may be written in several ways.
func (a eventID) same(b eventID) bool {
	if order, ok := a.compare(b); ok {
		return order == 0
	}
	return a.text == b.text
}

// rise returns by how much b exceeds a. It reports false if they have no order or the rise exceeds an int64.
func (a eventID) rise(b eventID) (int64, bool) {
	if !a.ranked || !b.ranked {
		return 0, false
	}
	if a.large == nil && b.large == nil {
		d := b.number - a.number
		return d, d >= 0 == (b.number >= a.number)
	}
	d := new(big.Int).Sub(b.big(), a.big())
	return d.Int64(), d.IsInt64()
}

// position is how far the caller has got in an answer. The zero value is its beginning.
type position struct {
	last eventID
	// raw is the event with the last id, and trail the events without an id since; nil if the caller had
	// received the last id before.
	raw       []byte
	trail     [][]byte
	trailSize int
	// passed are the ids before, of those that have no order; circular is set once one of them has come again.
	passed   map[string]struct{}
	circular bool
	// unknown is set if there is no id after which another run could go on.
	unknown bool
}

// maxTrail bounds the events without an id of which the bytes are kept, in bytes.
const maxTrail = 64 << 10

// add records that an event was delivered.
func (p *position) add(e *event) {
	switch {
	case !e.dispatches():
	case e.id.isNone():
		p.trailSize += len(e.raw)
		if p.trail = append(p.trail, e.raw); p.last.isNone() || p.trailSize > maxTrail {
			p.unknown, p.trail = true, nil
		}
	case e.id.same(p.last):
		p.unknown = true // a further event with the same id
	default:
		if !e.id.ranked {
			p.pass(e.id.text)
		}
		*p = position{last: e.id, raw: e.raw, passed: p.passed, circular: p.circular, unknown: p.circular || !e.id.resumable()}
	}
}

// pass records an id that has no order.
func (p *position) pass(id string) {
	if p.passed == nil {
		p.passed = make(map[string]struct{})
	}
	if _, ok := p.passed[id]; ok {
		p.circular = true
	}
	p.passed[id] = struct{}{}
}

// absorb reports whether an event is the next of those that were delivered without an id: another engine may give it one.
func (p *position) absorb(e *event) bool {
	if len(p.trail) == 0 || !bytes.Equal(withoutID(e.raw), p.trail[0]) {
		return false
	}
	p.last, p.raw, p.trail = e.id, e.raw, p.trail[1:]
	return true
}

// has reports whether the caller has an event with an id.
func (p *position) has(id eventID) bool {
	if id.isNone() || p.last.isNone() {
		return false
	}
	if order, ok := id.compare(p.last); ok {
		return order <= 0
	}
	_, ok := p.passed[id.text]
	return ok || id.same(p.last)
}

// isOther reports whether an id is of another kind than the last one, so that it can't go on after it.
func (p *position) isOther(id eventID) bool { return !p.last.isNone() && p.last.ranked != id.ranked }

// beyond returns what the caller does not have of the events without an id with which a run begins that goes on after the last
// id. It reports false if they differ from those that the caller has. The event with the last id may come again without one.
func (p *position) beyond(list []event) ([]event, bool) {
	if len(list) > 0 && bytes.Equal(list[0].raw, withoutID(p.raw)) {
		list = list[1:]
	}
	n := min(len(list), len(p.trail))
	for i := range n {
		if !bytes.Equal(list[i].raw, p.trail[i]) {
			return nil, false
		}
	}
	return list[n:], true
}

// eventIDs judges whether the events of a stream follow each other. Ids rise, mostly by the same step, which a run shows
// by its first two events. Where they rise otherwise, an event may be missing, or ids count what the events hold. The zero value
// has no events.
type eventIDs struct {
	step   int64
	steady int  // rises by that step
	uneven bool // no step shows whether an event is missing
}

// minSteady is the number of rises by the same step after which a resumed run has to go on with that step.
const minSteady = 3

// idVerdict is what the ids of two events in a row tell.
type idVerdict int

// The verdicts.
const (
	idNext    idVerdict = iota // no event is missing between them, as far as ids tell
	idDoubt                    // one may be
	idMissing                  // one is, unless another engine has none there either
)

// judge returns what the id of an event tells that comes after the last one. Both are of the same run, or the second is the
// first one of a run that resumes.
func (e *eventIDs) judge(last, id eventID, sameRun bool) idVerdict {
	if id.isNone() || last.isNone() || e.uneven {
		return idNext
	}
	rise, ok := last.rise(id)
	switch {
	case !ok:
		e.uneven = true
	case e.step == 0:
		if sameRun {
			e.step, e.steady = rise, 1
		}
	case rise == e.step:
		e.steady++
	case sameRun && rise%e.step != 0:
		e.uneven = true
	case !sameRun && e.steady >= minSteady:
		return idMissing
	default:
		return idDoubt
	}
	return idNext
}

// isSteady reports whether all ids rose by the same step.
func (e *eventIDs) isSteady() bool { return e.step != 0 && !e.uneven }

// isStep reports whether an id is by the usual step higher than the last one.
func (e *eventIDs) isStep(last, id eventID) bool {
	rise, ok := last.rise(id)
	return ok && rise == e.step
}

// routeIDs is what is known of the ids on each route, from all streams of this entry VM. The zero value knows nothing.
type routeIDs struct {
	mu  sync.Mutex
	all map[routing.RouteName]*idHistory
}

// idHistory is what is known of the ids on a route.
type idHistory struct {
	uneven bool // two engines have shown the same rise by several steps
	// steady is how many events engines have sent in whole answers whose ids rose by equal steps, and odd the engines that have
	// sent others.
	steady map[engine.ServerID]int64
	odd    map[engine.ServerID]struct{}
}

const (
	// minSteadyEvents is how many events other engines have to have sent without a rise by several steps for one to be an
	// exception. Where ids count tokens, few events may hold more of them than others.
	minSteadyEvents = 1000
	// minSteadyEngines is how many other engines have to have sent them.
	minSteadyEngines = 2
	// maxHistory bounds the engines that are known of a route.
	maxHistory = 256
)

func (r *routeIDs) update(n routing.RouteName, f func(*idHistory)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.all[n]
	if h == nil {
		h = &idHistory{steady: make(map[engine.ServerID]int64), odd: make(map[engine.ServerID]struct{})}
		if r.all == nil {
			r.all = make(map[routing.RouteName]*idHistory)
		}
		r.all[n] = h
	}
	f(h)
}

// setUneven records that ids on a route rise by uneven steps.
func (r *routeIDs) setUneven(n routing.RouteName) {
	r.update(n, func(h *idHistory) { h.uneven = true })
}

// areUneven reports whether ids on a route are known to rise by uneven steps.
func (r *routeIDs) areUneven(n routing.RouteName) (uneven bool) {
	r.update(n, func(h *idHistory) { uneven = h.uneven })
	return uneven
}

// addOdd records that an engine has sent ids that rose by several steps at once.
func (r *routeIDs) addOdd(n routing.RouteName, by engine.ServerID) {
	r.update(n, func(h *idHistory) {
		if len(h.odd) < maxHistory {
			h.odd[by] = struct{}{}
		}
	})
}

// hasOdd reports whether an engine has sent ids on a route that rose by several steps at once.
func (r *routeIDs) hasOdd(n routing.RouteName) (odd bool) {
	r.update(n, func(h *idHistory) { odd = len(h.odd) > 0 })
	return odd
}

// addSteady records that an engine has sent a whole answer whose ids rose by equal steps.
func (r *routeIDs) addSteady(n routing.RouteName, by engine.ServerID, events int64) {
	r.update(n, func(h *idHistory) {
		if _, ok := h.steady[by]; ok || len(h.steady) < maxHistory {
			h.steady[by] += events
		}
	})
}

// isException reports whether an engine alone has sent ids that rose by several steps, while enough others have not.
func (r *routeIDs) isException(n routing.RouteName, by engine.ServerID) (exception bool) {
	r.update(n, func(h *idHistory) {
		engines, events := 0, int64(0)
		for id, count := range h.steady {
			if id != by {
				engines, events = engines+1, events+count
			}
		}
		_, odd := h.odd[by]
		exception = odd && len(h.odd) == 1 && engines >= minSteadyEngines && events >= minSteadyEvents
	})
	return exception
}
