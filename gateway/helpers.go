package gateway

import (
	"net/http"
	"time"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/names"
	"quetzalhold/relay"
)

// helper picks an entry VM to hand requests to while this one reaches no servers.
func (d *Daemon) helper(tried []engine.ServerID) (backend.Choice, bool) {
	ids := make([]feed.MemberID, 0, len(tried))
	for _, id := range tried {
		ids = append(ids, feed.MemberID(id))
	}
	region := func(n names.ID) names.ID { return d.settings.Load().Region(n) }
	m, ok := d.members.Helper(time.Now(), ids, region)
	return backend.Choice{Server: backend.Server{ID: engine.ServerID(m.ID), Address: m.Address, Domain: m.Domain}}, ok
}

func (d *Daemon) helperFailed(id engine.ServerID) {
	d.members.MarkUnhelpful(time.Now(), feed.MemberID(id))
}

// takeRequests returns a handler that serves the requests which other entry VMs hand to this one, and
// leaves the others to next.
func (d *Daemon) takeRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A request keeps the path that its caller chose.
		switch {
		case r.Header.Get(relay.AdmissionHeader) != "":
			d.relay.ServeAdmitted(w, r)
			return
		case r.Header.Get(relay.RecallHeader) != "":
			d.relay.ServeRecall(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}
