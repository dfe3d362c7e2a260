package feed

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/backend"
	"quetzalhold/names"
)

// MemberID names an entry VM.
type MemberID string

// Member is an entry VM that can be asked.
type Member struct {
	ID      MemberID `json:"id"`
	Address string   `json:"address"` // IP number and port for entry VMs
	Domain  names.ID `json:"domain"`
	// LinkMbps is the bandwidth of its link, in 10^6 bits a second. A feeder sends
	// every word to all others of its failure domain.
	LinkMbps int `json:"linkMbps,omitempty"`
}

// Members is the entry VMs that one of them knows. Set Self before use; the
// methods may be called from any goroutine.
type Members struct {
	Self Member

	mu     sync.Mutex
	known  map[MemberID]*member
	digest uint64 // of the list; 0 if it is to be made anew
}

// member is an entry VM with what its answers showed.
type member struct {
	Member
	seenAt   time.Time
	failedAt time.Time
	strikes  int
	usage    []backend.Usage // of a member of the own failure domain that asks
	usageAt  time.Time
}

// usageFor is how long the usage of a member counts that has not told it again.
const usageFor = 3 * time.Second

// SetUsage takes over what a member uses of the retry budgets.
func (m *Members) SetUsage(now time.Time, id MemberID, u []backend.Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[id]; k != nil {
		k.usage, k.usageAt = u, now
	}
}

// Usage returns what the members that told it use together with own, which is the
// usage of Self, and how many they are.
func (m *Members) Usage(now time.Time, own []backend.Usage) (sum []backend.Usage, tellers int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum = slices.Clone(own)
	for _, k := range m.known {
		if k.Domain != m.Self.Domain || now.Sub(k.usageAt) >= usageFor {
			continue
		}
		tellers++
		for _, u := range k.usage {
			i := slices.IndexFunc(sum, func(s backend.Usage) bool { return s.Service == u.Service })
			if i < 0 {
				sum = append(sum, u)
				continue
			}
			sum[i].Requests += u.Requests
			sum[i].Retries += u.Retries
		}
	}
	return sum, tellers + 1
}

// The times of members.
const (
	// forgetAfter is when a member that was not heard of is forgotten.
	forgetAfter = time.Minute
	// askAgain is when a member that failed is asked again; it doubles with each
	// failure in a row, up to maxStrikes times.
	askAgain   = time.Second
	maxStrikes = 4
	// askedSoon is how many members without fresh news are asked again without
	// doubling.
	askedSoon = 2
)

// Add takes over that members exist. It returns those that are new.
func (m *Members) Add(now time.Time, list ...Member) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known == nil {
		m.known = make(map[MemberID]*member)
	}
	var fresh []Member
	for _, x := range list {
		if x.ID == "" || x.ID == m.Self.ID {
			continue
		}
		k := m.known[x.ID]
		if k == nil {
			k = &member{}
			m.known[x.ID] = k
			fresh = append(fresh, x)
		}
		if k.Member != x {
			k.Member, m.digest = x, 0
		}
		if k.seenAt.IsZero() {
			k.seenAt = now
		}
	}
	return fresh
}

// MarkFresh notes that a member answered with fresh news, or that it has just begun.
func (m *Members) MarkFresh(now time.Time, x Member) {
	m.MarkSeen(now, x)
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[x.ID]; k != nil {
		k.failedAt, k.strikes = time.Time{}, 0
	}
}

// MarkSeen notes that a member asked, which says nothing of its news.
func (m *Members) MarkSeen(now time.Time, x Member) {
	m.Add(now, x)
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[x.ID]; k != nil {
		k.seenAt = now
	}
}

// MarkFailed notes that a member did not answer, or that it has no fresh news.
func (m *Members) MarkFailed(now time.Time, id MemberID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.known[id]; k != nil {
		k.failedAt = now
		k.strikes = min(k.strikes+1, maxStrikes)
	}
}

// MarkStale notes that a member answered that it has no fresh news. The best-ranked ones,
// which are the first to have some again, are asked again soon.
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
		if o.Domain == k.Domain && before(o.Member, k.Member) {
			better++
		}
	}
	if better < askedSoon {
		k.strikes = 1
	}
}

// Expire forgets members that were not heard of for long.
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

func (k *member) asked(now time.Time) bool {
	return k.failedAt.IsZero() || now.Sub(k.failedAt) >= askAgain<<(k.strikes-1)
}

// before reports whether member a watches the store rather than b: the one with
// the faster link does, and of equal ones the one with the lower hash.
func before(a, b Member) bool {
	if a.LinkMbps != b.LinkMbps {
		return a.LinkMbps > b.LinkMbps
	}
	return hash(a) < hash(b)
}

func hash(x Member) uint64 { return xxhash.Sum64String(string(x.Domain) + "/" + string(x.ID)) }

// Upstream returns the member to ask: the best-ranked one of the own failure domain
// that is not failing. It reports false if there is none better than Self.
func (m *Members) Upstream(now time.Time) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *member
	for _, k := range m.known {
		if k.Domain != m.Self.Domain || !k.asked(now) || !before(k.Member, m.Self) {
			continue
		}
		if best == nil || before(k.Member, best.Member) {
			best = k
		}
	}
	if best == nil {
		return Member{}, false
	}
	return best.Member, true
}

// RanksFirst reports whether Self is the best-ranked member of its failure domain,
// whether the others answer or not.
func (m *Members) RanksFirst() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.known {
		if k.Domain == m.Self.Domain && before(k.Member, m.Self) {
			return false
		}
	}
	return true
}

// Random returns a random member that is not failing, of any failure domain:
// whom to ask where the store cannot be reached.
func (m *Members) Random(now time.Time) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Member
	for _, k := range m.known {
		if k.asked(now) {
			all = append(all, k.Member)
		}
	}
	if len(all) == 0 {
		return Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

// List returns the members that are known, in the order of their ids.
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

// Digest names the list of the members that are known: another one has another digest.
func (m *Members) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.digest == 0 {
		h := xxhash.New()
		for _, k := range m.list() {
			// A hash takes whatever is written.
			_, _ = fmt.Fprintf(h, "%s %s %s %d;", k.ID, k.Address, k.Domain, k.LinkMbps)
		}
		m.digest = max(1, h.Sum64())
	}
	return m.digest
}

// InDomain returns the members of the own failure domain.
func (m *Members) InDomain() []Member {
	return slices.DeleteFunc(m.List(), func(x Member) bool { return x.Domain != m.Self.Domain })
}

// Count returns the number of entry VMs, Self included.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) + 1
}
