package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/engine"
	"quetzalhold/names"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=State -linecomment -output=state_string.go

// Address is the IP address and port of an entry VM.
type Address string

// State is the state of an entry VM as seen by another.
type State int

// The states.
const (
	Alive   State = iota // alive
	Suspect              // suspect
	Dead                 // dead
	Left                 // left
)

// Member is the state of an entry VM as gossip reports it. Of two updates about the
// same entry VM, the one with the higher incarnation counts, and if the incarnations
// are equal, the one with the worse state. Only the entry VM itself raises its
// incarnation.
type Member struct {
	Address     Address            `json:"address"`
	ID          engine.ServerID    `json:"id"`
	Domain      names.ID           `json:"domain"`
	Incarnation engine.Incarnation `json:"incarnation"`
	State       State              `json:"state"`
}

// supersedes reports whether the update m replaces old.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Parameters of a Membership.
const (
	// suspectTimeout is how long a suspect has to refute before it counts as dead.
	suspectTimeout = 4 * time.Second
	// deadRetention is how long an entry VM that is dead or has left stays known.
	deadRetention = 2 * time.Minute
	// maxUpdates bounds the updates that one message carries.
	maxUpdates = 6
	// transmitFactor times the logarithm of the number of members is how often an
	// update is passed on.
	transmitFactor = 3
)

// knownMember is a member with the local bookkeeping of this entry VM.
type knownMember struct {
	Member
	changedAt time.Time
	transmits int // remaining times that the update is passed on
}

// Membership tracks which entry VMs of the own failure domain are alive, from
// updates that travel in the heartbeats. It does no I/O and its methods may be
// called from any goroutine. Use [NewMembership].
type Membership struct {
	mu      sync.Mutex
	self    Member
	members map[Address]*knownMember
}

// NewMembership returns a membership that knows only self.
func NewMembership(self Member) *Membership {
	return &Membership{self: self, members: make(map[Address]*knownMember)}
}

// Self returns this entry VM as it reports itself.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Leave makes this entry VM report that it has left.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = Left
	m.self.Incarnation++
}

// Seed adds the members of this domain from the platform's list as alive. Members
// that are already known stay as they are.
func (m *Membership) Seed(now time.Time, list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range list {
		if s.Domain != m.self.Domain || s.Address == m.self.Address {
			continue
		}
		if m.members[s.Address] == nil {
			s.State = Alive
			m.members[s.Address] = &knownMember{Member: s, changedAt: now}
		}
	}
}

// Merge applies updates about members of this domain. If one says that this entry
// VM is not alive, it is refuted by a higher incarnation.
func (m *Membership) Merge(now time.Time, updates []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, u := range updates {
		switch {
		case u.Domain != m.self.Domain:
		case u.Address == m.self.Address:
			m.refute(u)
		default:
			m.apply(now, u)
		}
	}
}

// refute raises the own incarnation above that of an update which says that this
// entry VM is not alive, unless it has left.
func (m *Membership) refute(u Member) {
	if m.self.State != Left && u.State != Alive && u.Incarnation >= m.self.Incarnation {
		m.self.Incarnation = u.Incarnation + 1
	}
}

// apply records an update if it supersedes what is known. A member that is not known
// is not added if it is dead or has left.
func (m *Membership) apply(now time.Time, u Member) {
	old := m.members[u.Address]
	if old != nil && !u.supersedes(old.Member) {
		return
	}
	if old == nil && (u.State == Dead || u.State == Left) {
		return
	}
	m.members[u.Address] = &knownMember{Member: u, changedAt: now, transmits: m.transmitLimit()}
}

// transmitLimit returns how often a new update is passed on.
func (m *Membership) transmitLimit() int {
	n := 1
	for size := len(m.members) + 1; size > 1; size /= 2 {
		n++
	}
	return transmitFactor * n
}

// MarkSuspect marks a living member as suspect because it did not answer a heartbeat.
func (m *Membership) MarkSuspect(now time.Time, a Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.members[a]
	if k == nil || k.State != Alive {
		return
	}
	k.State = Suspect
	k.changedAt = now
	k.transmits = m.transmitLimit()
}

// Advance marks suspects as dead after suspectTimeout and removes members that have
// been dead or have left for deadRetention.
func (m *Membership) Advance(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, k := range m.members {
		age := now.Sub(k.changedAt)
		switch {
		case k.State == Suspect && age >= suspectTimeout:
			k.State = Dead
			k.changedAt = now
			k.transmits = m.transmitLimit()
		case k.State >= Dead && age >= deadRetention:
			delete(m.members, a)
		}
	}
}

// Updates returns the updates to pass on with the next message, first those with the
// most transmissions remaining.
func (m *Membership) Updates() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pending []*knownMember
	for _, k := range m.members {
		if k.transmits > 0 {
			pending = append(pending, k)
		}
	}
	slices.SortFunc(pending, func(a, b *knownMember) int {
		return cmp.Or(cmp.Compare(b.transmits, a.transmits), cmp.Compare(a.Address, b.Address))
	})
	var updates []Member
	for _, k := range pending[:min(len(pending), maxUpdates)] {
		k.transmits--
		updates = append(updates, k.Member)
	}
	return updates
}

// FailureUpdate returns the update about a member if it is not believed to be alive.
func (m *Membership) FailureUpdate(a Address) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.members[a]
	if k == nil || k.State == Alive {
		return nil
	}
	return []Member{k.Member}
}

// Alive returns the living members, this entry VM included, ordered by
// address. A suspect counts as alive until it is marked as dead.
func (m *Membership) Alive() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []Member{m.self}
	for _, k := range m.members {
		if k.State <= Suspect {
			all = append(all, k.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return all
}

// Members returns every known member with its state, ordered by address.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []Member{m.self}
	for _, k := range m.members {
		all = append(all, k.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return all
}

// Pick returns up to n random living members other than this entry VM.
func (m *Membership) Pick(n int) []Address {
	var others []Address
	self := m.Self().Address
	for _, x := range m.Alive() {
		if x.Address != self {
			others = append(others, x.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

// Duty is a task that a few members of each failure domain perform. Rendezvous
// hashing of its name selects them.
type Duty string

// The duties. Watchers watch the platform's configuration; delegates exchange
// heartbeats with other failure domains.
const (
	Watcher  Duty = "watcher"
	Delegate Duty = "delegate"
	// quotaAllocator is the duty to split organisations' fleet-wide limits.
	quotaAllocator Duty = "quota"
)

// dutyHolders is the number of members that hold a duty at the same time.
const dutyHolders = 2

// Has reports whether this entry VM holds a duty. Members that know the same living
// members agree on the holders by rendezvous hashing, without messages. While their
// views differ, a duty may have one holder too many or too few, which does no harm.
func (m *Membership) Has(d Duty) bool {
	self := m.Self()
	if self.State == Left {
		return false
	}
	better := 0
	mine := weight(d, self.Address)
	for _, x := range m.Alive() {
		if weight(d, x.Address) > mine {
			better++
		}
	}
	return better < dutyHolders
}

// Holder returns the member that holds part i of a duty which is divided evenly
// among all living members.
func (m *Membership) Holder(d Duty, i int) Address {
	var all []Address
	for _, x := range m.Alive() {
		all = append(all, x.Address)
	}
	rank(d, all)
	return all[i%len(all)]
}

// rank sorts addresses by their rendezvous weight for a duty, highest first.
func rank(d Duty, all []Address) {
	slices.SortFunc(all, func(a, b Address) int { return cmp.Compare(weight(d, b), weight(d, a)) })
}

// weight returns the rendezvous weight of an address for a duty.
func weight(d Duty, a Address) uint64 { return xxhash.Sum64String(string(d) + "/" + string(a)) }
