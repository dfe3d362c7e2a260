package backend

import (
	"time"

	"quetzalhold/engine"
)

// Rate is a number of requests a second.
type Rate float64

const (
	// Unlimited is the rate of servers that have not named a limit.
	Unlimited Rate = 0
	// MinRate is the lowest limit: a server that names a lower one must be asked now and then,
	// because only its answers show that the limit has ended.
	MinRate Rate = 0.05
)

// rateLimit is the limit that a start of a server has named in its answers. The zero value is
// none.
type rateLimit struct {
	rate    Rate
	heardAt time.Time // when an answer showed it
}

// SetLimit records the limit that an answer of a server's start showed at an instant. An earlier
// answer than the last known one has no effect. SetLimit reports whether the limit has changed.
func (p *Pool) SetLimit(id engine.ServerID, start engine.Incarnation, rate Rate, at time.Time) bool {
	changed := false
	p.withState(id, func(st *state) {
		if st.Start != start || at.Before(st.limit.heardAt) {
			return
		}
		changed = st.limit.rate != rate
		st.limit.rate, st.limit.heardAt = rate, at
	})
	return changed
}
