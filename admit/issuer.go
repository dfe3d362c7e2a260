package admit

import (
	"slices"
	"sync"
	"time"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/routing"
)

// Issuer divides the windows of services among the entry VMs of its failure domain that report to it. The
// zero value with Domain and Members set is ready for use. Its methods are safe for concurrent use.
type Issuer struct {
	// Domain is the failure domain.
	Domain names.ID
	// Members returns the number of known entry VMs by failure domain, this one included.
	Members func() map[names.ID]int

	mu       sync.Mutex
	services map[routing.ServiceName]*ledger
}

// ledger is what is known of the demand for a service.
type ledger struct {
	begunAt time.Time // of the reports
	vms     map[string]*account
	domains map[names.ID]domainSum
}

// account is what is known of an entry VM of the failure domain.
type account struct {
	Demand
	granted float64 // that may be in force
	silent  bool    // it reports no demand, as it is of an earlier version
	at      time.Time
}

type domainSum struct {
	Sum
	at time.Time
}

// reportValidFor is how long a report, or the sum of a failure domain, counts without a newer one.
const reportValidFor = 2 * time.Second

// Report records the report of an entry VM of the failure domain and returns its shares. The demands are
// valid.
func (i *Issuer) Report(now time.Time, vm string, list []Demand) []Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, l := range i.services {
		if !slices.ContainsFunc(list, func(d Demand) bool { return d.Service == n }) {
			l.vms[vm] = &account{silent: true, at: now}
		}
	}
	var grants []Grant
	members := i.Members()
	for _, d := range list {
		l := i.ledger(now, d.Service)
		a := &account{Demand: d, granted: float64(d.Share), at: now}
		if l.expire(now); len(l.vms) == 0 {
			l.begunAt = now
		}
		l.vms[vm] = a
		g := l.grant(now, i.Domain, members, a)
		a.granted = float64(g.total())
		grants = append(grants, g)
	}
	return grants
}

// Learn records the sums of another failure domain, which are valid.
func (i *Issuer) Learn(now time.Time, domain names.ID, list []Sum) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if domain == i.Domain {
		return
	}
	for _, s := range list {
		i.ledger(now, s.Service).domains[domain] = domainSum{s, now}
	}
}

// Sums returns the sums of the failure domain; none if no entry VM reports here.
func (i *Issuer) Sums(now time.Time) []Sum {
	i.mu.Lock()
	defer i.mu.Unlock()
	var list []Sum
	members := i.Members()
	for n, l := range i.services {
		l.expire(now)
		if s := l.sum(now, members[i.Domain]); len(l.vms) > 0 {
			s.Service = n
			list = append(list, s)
		}
	}
	return list
}

// pressedShare is the part of a failure domain's part of the window from which on it counts as pressed. Without
// pressure all streams start at once, whatever the sums of other domains are.
const pressedShare = 0.5

// Pressed reports whether this failure domain, or one that has sent its sums, needs so much of the window of a
// service that the sums must be up to date.
func (i *Issuer) Pressed(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	members := i.Members()
	total := 0
	for _, n := range members {
		total += n
	}
	pressed := func(s Sum, domain names.ID) bool {
		var n needs
		n.add(s.Ranks)
		part := float64(s.Window) * float64(members[domain]) / float64(max(1, total))
		return s.Window > 0 && n.total() > pressedShare*part
	}
	for _, l := range i.services {
		l.expire(now)
		if pressed(l.sum(now, members[i.Domain]), i.Domain) {
			return true
		}
		for d, s := range l.domains {
			if pressed(s.Sum, d) {
				return true
			}
		}
	}
	return false
}

// maxServices bounds the services of which demands are kept: messages may name any.
const maxServices = 256

func (i *Issuer) ledger(now time.Time, n routing.ServiceName) *ledger {
	l := i.services[n]
	if l == nil {
		l = &ledger{begunAt: now, vms: make(map[string]*account), domains: make(map[names.ID]domainSum)}
		if i.services == nil {
			i.services = make(map[routing.ServiceName]*ledger)
		}
		if len(i.services) < maxServices {
			i.services[n] = l
		}
	}
	return l
}

// expire forgets entry VMs that have not reported lately: their shares have ended.
func (l *ledger) expire(now time.Time) {
	for id, a := range l.vms {
		if now.Sub(a.at) >= reportValidFor {
			delete(l.vms, id)
		}
	}
	for d, s := range l.domains {
		if now.Sub(s.at) >= reportValidFor {
			delete(l.domains, d)
		}
	}
}

// sum returns the demand of the failure domain, which has so many entry VMs. Those of an earlier version are
// silent, and so is, while the ledger is new, each one that has not reported yet.
func (l *ledger) sum(now time.Time, members int) Sum {
	var n needs
	var s Sum
	var windows []engine.Tokens
	granted := 0.0
	for _, a := range l.vms {
		n.add(a.Ranks)
		granted += a.granted
		s.FirstEvents.add(a.FirstEvents)
		if a.silent {
			s.Silent++
		}
		if a.Window > 0 {
			windows = append(windows, a.Window)
		}
	}
	if now.Sub(l.begunAt) < reportValidFor {
		s.Silent += max(0, members-len(l.vms))
	}
	s.Ranks, s.Window, s.Share = n.list(), median(windows), min(engine.Tokens(granted), MaxTokens)
	return s
}

func (n *needs) list() []RankDemand {
	var list []RankDemand
	for r := range Rank(Ranks) {
		if n.all(r)+n.ended[r] > 0 {
			list = append(list, RankDemand{
				Rank: r, Pending: bounded(n.pending[r]), Waiting: bounded(n.waiting[r]), Late: bounded(n.late[r]),
				Ended: n.ended[r], InTime: n.inTime[r],
			})
		}
	}
	return list
}

func bounded(x float64) engine.Tokens { return engine.Tokens(min(x, float64(MaxTokens))) }

func median(list []engine.Tokens) engine.Tokens {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// grant returns the share of the entry VM with account a.
func (l *ledger) grant(now time.Time, domain names.ID, members map[names.ID]int, a *account) Grant {
	own := l.sum(now, members[domain])
	windows := []engine.Tokens{}
	if own.Window > 0 {
		windows = append(windows, own.Window)
	}
	var all, here, vm needs
	here.add(own.Ranks)
	all.add(own.Ranks)
	vm.add(a.Ranks)
	unheard, total, first := own.Silent, members[domain], own.FirstEvents
	for d, n := range members {
		if d == domain {
			continue
		}
		total += n
		s, ok := l.domains[d]
		if !ok {
			unheard += n
			continue
		}
		unheard += min(s.Silent, n)
		all.add(s.Ranks)
		first.add(s.FirstEvents)
		if s.Window > 0 {
			windows = append(windows, s.Window)
		}
	}
	g := Grant{Service: a.Service, Window: median(windows), FirstEvents: first}
	// Those that are not heard use equal parts.
	window := float64(g.Window) * (1 - float64(min(unheard, total))/float64(max(1, total)))
	g.Pressure = g.Window > 0 && all.total() > window
	p := divide(window, &all)
	g.Shares = shares(p, &all, &vm)
	if !g.Pressure {
		return g
	}
	for r, held := range all.held() {
		if held {
			g.Held = append(g.Held, Rank(r))
		}
	}
	others := 0.0
	for _, o := range l.vms {
		if o != a {
			others += o.granted
		}
	}
	scale(&g, max(vm.pending.sum(), amount(p, &all, &here)-others))
	return g
}

// scale lowers the shares to a total. Until the others' shares are lowered, too little may be left.
func scale(g *Grant, most float64) {
	total := float64(g.total())
	if total <= most {
		return
	}
	for i := range g.Shares {
		s := &g.Shares[i]
		s.Tokens, s.Least = engine.Tokens(float64(s.Tokens)*most/total), engine.Tokens(float64(s.Least)*most/total)
	}
}

// part returns the part of a rank that those with the demand of some get of what all get.
func (p *parts) part(r Rank, all, some *needs) float64 {
	x := 0.0
	if n := all.prompt(r); n > 0 {
		x += p.prompt[r] * min(1, some.prompt(r)/n)
	}
	if n := all.late[r]; n > 0 {
		x += p.late[r] * min(1, some.late[r]/n)
	}
	return x
}

func amount(p parts, all, some *needs) float64 {
	x := 0.0
	for r := range Rank(Ranks) {
		x += p.part(r, all, some)
	}
	return x
}

// shares returns the shares of those with the demand of some.
func shares(p parts, all, some *needs) []Share {
	var list []Share
	for r := range Rank(Ranks) {
		if x := p.part(r, all, some); x > 0 {
			list = append(list, Share{Rank: r, Tokens: bounded(x), Least: bounded(p.least[r] * min(1, some.all(r)/all.all(r)))})
		}
	}
	return list
}
