package backend

import (
	"math"
	"sync"
	"time"

	"quetzalhold/routing"
)

// Limit is the number of retries that an entry VM may send for a service within a window.
type Limit struct {
	Service routing.ServiceName `json:"service"`
	Retries float64             `json:"repeats"`
}

// Allotments divides the retries that the entry VMs of a failure domain earn together among them.
// The limits that are in force never add up to more than what was earned, however late a report is
// and whichever get lost: a limit counts until a later report shows that it is replaced, or until
// the retries sent under it have left the window. The zero value is ready for use.
type Allotments struct {
	mu       sync.Mutex
	services map[routing.ServiceName]map[string]*account
}

// account is what is known of one entry VM.
type account struct {
	Usage
	limit      float64   // highest that may be in force
	reportedAt time.Time // time of the last grant
}

// Shares of what an entry VM has earned and not used that it keeps for itself, and the least numbers
// of retries that it keeps if it has them. The rest is left for entry VMs that are short of retries.
const (
	calmShare  = 0.8
	calmLeast  = 2
	shortShare = 0.4 // while others are short
	shortLeast = 1
)

// Grant records the report of an entry VM and returns its limits.
func (a *Allotments) Grant(now time.Time, window time.Duration, vm string, report []Usage) []Limit {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.services == nil {
		a.services = make(map[routing.ServiceName]map[string]*account)
	}
	limits := make([]Limit, 0, len(report))
	for _, u := range report {
		vms := a.services[u.Service]
		if vms == nil {
			vms = make(map[string]*account)
			a.services[u.Service] = vms
		}
		x := &account{Usage: u, limit: max(u.Limit, float64(u.Retries)), reportedAt: now}
		vms[vm] = x
		l := grant(now, window, vms, x)
		x.limit = max(x.limit, l)
		limits = append(limits, Limit{Service: u.Service, Retries: l})
	}
	return limits
}

// grant returns the limit of the entry VM with account x and forgets entry VMs whose limits no
// longer matter.
func grant(now time.Time, window time.Duration, vms map[string]*account, x *account) float64 {
	free, short, others := x.Earned-float64(x.Retries), 0, 0
	own := max(0, free)
	for id, o := range vms {
		age := now.Sub(o.reportedAt)
		switch {
		case age >= limitValidFor+window:
			delete(vms, id)
			continue
		case age >= reportValidFor:
			free -= max(0, o.limit-o.Earned)
			continue
		case o != x:
			free += o.Earned - o.limit
			others++
		}
		if o.Short {
			short++
		}
	}
	want := max(calmShare*own, min(own, calmLeast))
	switch {
	case others == 0:
		want = own
	case x.Short:
		want = max(own, free/float64(short))
	case short > 0:
		want = max(shortShare*own, min(own, shortLeast))
	}
	// A part of a retry is of use only together with others' parts.
	return max(0, math.Floor(float64(x.Retries)+min(free, want)))
}
