package feed

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/names"
)

// MemberID identifies an entry VM.
type MemberID string

// Member is an entry VM from which changes can be requested.
type Member struct {
	ID      MemberID `json:"id"`
	Address string   `json:"address"` // IP address and port for entry VMs
	Domain  names.ID `json:"domain"`
	// LinkMbps is the bandwidth of its link, in 10^6 bits per second. An upstream sends every
	// update to all other entry VMs of its failure domain.
	LinkMbps int `json:"linkMbps,omitempty"`
}

// Members holds the entry VMs that one entry VM knows. Self must be set before use. The
// methods are safe for concurrent use.
type Members struct {
	Self Member

	mu     sync.Mutex
	known  map[MemberID]*member
	digest uint64 // digest of the list of members; 0 if it must be recomputed
}

// member is an entry VM with what is known of its state.
type member struct {
	Member
	seenAt   time.Time
	failedAt time.Time
	failures int
	// unhelpfulUntil is until when it is not asked to serve requests for this entry VM.
	unhelpfulUntil time.Time
}

// Times and limits of members.
const (
	// forgetAfter is the time after which a member that is not heard from is forgotten.
	forgetAfter = time.Minute
	// retryAfter is the time after which a failed member is polled again. It doubles with each
	// consecutive failure up to maxFailures.
	retryAfter  = time.Second
	maxFailures = 4
	// quickRetryRanks is how many of the best-ranked members are polled again without doubling
	// the time while their state is out of date.
	quickRetryRanks = 2
)

// Add adds members and returns those that were not known before.
func (m *Members) Add(now time.Time, list ...Member) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known == nil {
		m.known = make(map[MemberID]*member)
	}
	var added []Member
	for _, x := range list {
		if x.ID == "" || x.ID == m.Self.ID {
			continue
		}
		k := m.known[x.ID]
		if k == nil {
			k = &member{}
			m.known[x.ID] = k
			added = append(added, x)
		}
		if k.Member != x {
			k.Member, m.digest = x, 0
		}
		if k.seenAt.IsZero() {
			k.seenAt = now
		}
	}
	return added
}

// MarkFresh records that a member sent up-to-date state, or that it has just started.
func (m *Members) MarkFresh(now time.Time, x Member) {
	m.MarkSeen(now, x)
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[x.ID]; k != nil {
		k.failedAt, k.failures = time.Time{}, 0
	}
}

// MarkSeen records that a member sent a request, which says nothing about whether its state is up
// to date.
func (m *Members) MarkSeen(now time.Time, x Member) {
	m.Add(now, x)
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[x.ID]; k != nil {
		k.seenAt = now
	}
}

// MarkFailed records that a member did not respond, or that its state is out of date.
func (m *Members) MarkFailed(now time.Time, id MemberID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[id]; k != nil {
		k.failedAt = now
		k.failures = min(k.failures+1, maxFailures)
	}
}

// MarkStale records that a member responded with out-of-date state. The best-ranked members are
// polled again soon, because they are the first to become up to date again.
func (m *Members) MarkStale(now time.Time, id MemberID) {
	m.MarkFailed(now, id)
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.known[id]
	if k == nil {
		return
	}
	better := 0
	for _, o := range m.known {
		if o.Domain == k.Domain && ranksBefore(o.Member, k.Member) {
			better++
		}
	}
	if better < quickRetryRanks {
		k.failures = 1
	}
}

// Expire forgets failed members that were not heard from for a long time.
func (m *Members) Expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, k := range m.known {
		if now.Sub(k.seenAt) > forgetAfter && !k.failedAt.IsZero() {
			delete(m.known, id)
			m.digest = 0
		}
	}
}

func (k *member) available(now time.Time) bool {
	return k.failedAt.IsZero() || now.Sub(k.failedAt) >= retryAfter<<(k.failures-1)
}

// ranksBefore reports whether a ranks above b as the watcher of the store: the one with the
// faster link does, and of two with equal links the one with the lower hash.
func ranksBefore(a, b Member) bool {
	if a.LinkMbps != b.LinkMbps {
		return a.LinkMbps > b.LinkMbps
	}
	return rankHash(a) < rankHash(b)
}

func rankHash(x Member) uint64 { return xxhash.Sum64String(string(x.Domain) + "/" + string(x.ID)) }

// Upstream returns the member to poll: the best-ranked available member of the same failure
// domain. It returns false if none ranks above Self.
func (m *Members) Upstream(now time.Time) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *member
	for _, k := range m.known {
		if k.Domain != m.Self.Domain || !k.available(now) || !ranksBefore(k.Member, m.Self) {
			continue
		}
		if best == nil || ranksBefore(k.Member, best.Member) {
			best = k
		}
	}
	if best == nil {
		return Member{}, false
	}
	return best.Member, true
}

// Issuer returns the entry VM to report the use of the retry budgets to: the best-ranked member of
// the same failure domain but for those that failed to answer. It returns false if none ranks above
// Self.
func (m *Members) Issuer(failed map[MemberID]time.Time) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := m.Self
	for _, k := range m.known {
		if _, skip := failed[k.ID]; !skip && k.Domain == m.Self.Domain && ranksBefore(k.Member, best) {
			best = k.Member
		}
	}
	return best, best != m.Self
}

// Issuers returns the best-ranked member of each other failure domain but for those that failed to answer.
func (m *Members) Issuers(failed map[MemberID]time.Time) []Member {
	return m.best(func(k *member) bool {
		_, skip := failed[k.ID]
		return !skip
	})
}

// BestNear returns the best-ranked available member of each other failure domain in the region of Self. region returns
// the region of a failure domain.
func (m *Members) BestNear(now time.Time, region func(names.ID) names.ID) []Member {
	return m.best(func(k *member) bool { return region(k.Domain) == region(m.Self.Domain) && k.available(now) })
}

// best returns the best-ranked member of each other failure domain among those that fit.
func (m *Members) best(fits func(*member) bool) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := make(map[names.ID]Member)
	for _, k := range m.known {
		if k.Domain == m.Self.Domain || !fits(k) {
			continue
		}
		if b, ok := best[k.Domain]; !ok || ranksBefore(k.Member, b) {
			best[k.Domain] = k.Member
		}
	}
	return slices.SortedFunc(maps.Values(best), func(a, b Member) int { return cmp.Compare(a.Domain, b.Domain) })
}

// Domains returns the number of known entry VMs, including Self, by failure domain.
func (m *Members) Domains() map[names.ID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := map[names.ID]int{m.Self.Domain: 1}
	for _, k := range m.known {
		n[k.Domain]++
	}
	return n
}

// RanksFirst reports whether Self is the best-ranked member of its failure domain, regardless of
// whether the others respond.
func (m *Members) RanksFirst() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.known {
		if k.Domain == m.Self.Domain && ranksBefore(k.Member, m.Self) {
			return false
		}
	}
	return true
}

// Random returns a random available member of any failure domain, to poll while the store
// cannot be reached.
func (m *Members) Random(now time.Time) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Member
	for _, k := range m.known {
		if k.available(now) {
			all = append(all, k.Member)
		}
	}
	if len(all) == 0 {
		return Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

// unhelpfulFor is how long a member that could not serve a request for this entry VM is not asked
// again.
const unhelpfulFor = 2 * time.Second

// MarkUnhelpful records that a member could not serve a request for this entry VM.
func (m *Members) MarkUnhelpful(now time.Time, id MemberID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[id]; k != nil {
		k.unhelpfulUntil = now.Add(unhelpfulFor)
	}
}

// nearTries is how many members of the own failure domain may be of no help before others are tried: all
// of a failure domain may have the same trouble.
const nearTries = 2

// Helper returns a random member that may serve a request for this entry VM and was not tried for it:
// first of the failure domain, unless some there were of no help, then of the region, then of others.
// region returns the region of a failure domain.
func (m *Members) Helper(now time.Time, tried []MemberID, region func(names.ID) names.ID) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	unhelpful := 0 // of the failure domain
	for _, k := range m.known {
		if k.Domain == m.Self.Domain && now.Before(k.unhelpfulUntil) {
			unhelpful++
		}
	}
	distance := func(k *member) int {
		switch {
		case k.Domain == m.Self.Domain && max(len(tried), unhelpful) < nearTries:
			return 0
		case k.Domain != m.Self.Domain && region(k.Domain) == region(m.Self.Domain):
			return 1
		case k.Domain != m.Self.Domain:
			return 2
		}
		return 3
	}
	var nearest []Member
	best := 0
	for _, k := range m.known {
		if now.Before(k.unhelpfulUntil) || slices.Contains(tried, k.ID) {
			continue
		}
		d := distance(k)
		if len(nearest) == 0 || d < best {
			nearest, best = nearest[:0], d
		}
		if d == best {
			nearest = append(nearest, k.Member)
		}
	}
	if len(nearest) == 0 {
		return Member{}, false
	}
	return nearest[rand.IntN(len(nearest))], true
}

// List returns the known members in the order of their ids.
func (m *Members) List() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list()
}

func (m *Members) list() []Member {
	all := make([]Member, 0, len(m.known))
	for _, k := range m.known {
		all = append(all, k.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Digest returns a hash of the list of known members, which changes with the list.
func (m *Members) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.digest == 0 {
		h := xxhash.New()
		for _, k := range m.list() {
			// Writing to a hash cannot fail.
			_, _ = fmt.Fprintf(h, "%s %s %s %d;", k.ID, k.Address, k.Domain, k.LinkMbps)
		}
		m.digest = max(1, h.Sum64())
	}
	return m.digest
}

// InDomain returns the known members of the same failure domain.
func (m *Members) InDomain() []Member {
	return slices.DeleteFunc(m.List(), func(x Member) bool { return x.Domain != m.Self.Domain })
}

// Count returns the number of known entry VMs, including Self.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) + 1
}

// Rank returns the position of Self among the known entry VMs in the order of their ids, from 0.
func (m *Members) Rank() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for id := range m.known {
		if id < m.Self.ID {
			n++
		}
	}
	return n
}
