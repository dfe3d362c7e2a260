package backend

import (
	"time"

	"quetzalhold/routing"
)

// Usable returns the number of servers of a service that requests are sent to at an instant. As in a choice,
// suspect servers count only if there are no others.
func (p *Pool) Usable(service routing.ServiceName, now time.Time) int {
	g := p.group(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	healthy, suspect := 0, 0
	for _, st := range g.servers {
		switch {
		case !st.active(now) || st.Draining || now.Before(st.retryAt):
		case st.suspect(now):
			suspect++
		default:
			healthy++
		}
	}
	if healthy == 0 {
		return suspect
	}
	return healthy
}
