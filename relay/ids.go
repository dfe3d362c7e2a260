package relay

import (
	"sync"

	"quetzalhold/engine"
	"quetzalhold/routing"
)

// eventIDs decides whether the events of a stream follow each other. Ids rise, mostly by the same step,
// which the first two show. Then an event is missing where they rise by several steps at once, unless
// another engine has no event in between either: ids may count what the events hold. The zero value has
// no events.
type eventIDs struct {
	step   int64
	uneven bool // no step shows whether an event is missing
	gap    idGap
}

// idGap is a rise by several steps that an engine has shown.
type idGap struct {
	from, to int64
	by       engine.ServerID
}

// isNext reports whether the event with an id follows the last one; ids are 0 if there are none. It also reports
// whether two engines have shown that ids rise by uneven steps.
func (e *eventIDs) isNext(last, id int64, by engine.ServerID) (next, confirmed bool) {
	if id == 0 || last == 0 || e.uneven {
		return true, false
	}
	rise := id - last
	if e.step == 0 {
		e.step = rise
	}
	g := idGap{from: last, to: id, by: by}
	switch {
	case rise == e.step:
		return true, false
	case rise%e.step != 0:
		e.uneven = true
		return true, false
	case e.gap.from == last && e.gap.to == id && e.gap.by != by:
		e.uneven = true
		return true, true
	}
	e.gap = g
	return false, false
}

// unevenRoutes are the routes on which ids of events are known to rise by uneven steps. The zero value
// has none.
type unevenRoutes struct {
	mu  sync.Mutex
	all map[routing.RouteName]bool
}

func (u *unevenRoutes) add(r routing.RouteName) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.all == nil {
		u.all = make(map[routing.RouteName]bool)
	}
	u.all[r] = true
}

func (u *unevenRoutes) has(r routing.RouteName) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.all[r]
}
