// Package limit bounds what organisations use. [Gate] admits answers at one
// entry VM: a fair queue among organisations, each within its share of its
// fleet-wide limits. [Allocator] splits those limits into shares by demand. Both
// decide from what they are told and do no I/O.
package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/names"
)

// Rate is tokens a second.
type Rate float64

// Key stands for an organisation in messages. Two organisations that happen to
// have the same key are limited together, each to its own limit.
type Key uint32

// NewKey returns an organisation's key.
func NewKey(id names.ID) Key { return Key(xxhash.Sum64String(string(id))) }

// Demand is what an organisation uses at one entry VM or in one failure domain,
// and would use if it were not limited.
type Demand struct {
	Key     Key
	Tokens  Rate
	Answers int // at once
}

// Share is the part of an organisation's limits that one entry VM may use.
// Negative values stand for no limit.
type Share struct {
	Key     Key
	Tokens  Rate
	Answers int
}

// Limits is an organisation's fleet-wide limits; 0 stands for none.
type Limits struct {
	Tokens  Rate
	Answers int
}

// PerDomain returns the part of the limits that each of n failure domains may use
// without asking the others.
func (l Limits) PerDomain(n int) Share {
	s := Share{Tokens: -1, Answers: -1}
	if l.Tokens > 0 {
		s.Tokens = l.Tokens / Rate(max(n, 1))
	}
	if l.Answers > 0 {
		s.Answers = max(1, l.Answers/max(n, 1))
	}
	return s
}

// minDemand is the share of the limit that each holder is taken to want at
// least, so that one that has been idle can begin.
const minDemand = 0.02

// splitRate splits a limit in proportion to demands, in their order.
func splitRate(limit Rate, demands []Rate) []Rate {
	if limit <= 0 {
		return make([]Rate, len(demands))
	}
	floor := limit * minDemand
	var sum Rate
	for _, d := range demands {
		sum += max(d, floor)
	}
	shares := make([]Rate, len(demands))
	for i, d := range demands {
		shares[i] = limit * max(d, floor) / sum
	}
	return shares
}

// splitCount splits a limit into whole parts whose sum is the limit, in
// proportion to demands: the largest remainders get what rounding leaves, equal
// ones in order.
func splitCount(limit int, demands []float64) []int {
	if limit <= 0 {
		return make([]int, len(demands))
	}
	floor := float64(limit) * minDemand
	sum := 0.0
	for _, d := range demands {
		sum += max(d, floor)
	}
	parts := make([]int, len(demands))
	rest := make([]float64, len(demands))
	left := limit
	for i, d := range demands {
		exact := float64(limit) * max(d, floor) / sum
		parts[i] = int(exact)
		rest[i] = exact - float64(parts[i])
		left -= parts[i]
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rest[b], rest[a]) })
	for _, i := range order[:min(left, len(order))] {
		parts[i]++
	}
	return parts
}

// Holder is an entry VM, or a failure domain, that holds a share.
type Holder string

// told is a demand as last told.
type told struct {
	Demand
	at time.Time
}

// Allocator splits the limits of some organisations among the entry VMs of its
// failure domain. As long as a domain uses less than its equal part of a limit,
// nobody is asked and each of its entry VMs may use all of that part. Beyond, the
// domains split the limit by demand, and the entry VMs their domain's share. What
// is no longer told stays as it was for a while: a domain that is cut off goes
// on with its last share, and nobody else may use it. The zero value knows
// nobody.
type Allocator struct {
	entries map[Key]map[Holder]told
	domains map[Key]map[Holder]told
}

// The times after which demands that are no longer told are dropped, and the
// part of a share from which on it is split.
const (
	// forgetEntry is for an entry VM, whose VM was replaced.
	forgetEntry = 30 * time.Second
	// forgetDomain is for a domain, which may be cut off for minutes.
	forgetDomain = 15 * time.Minute
	// contendedAt is the use of a share from which on it is split.
	contendedAt = 0.8
)

func tell(all map[Key]map[Holder]told, now time.Time, h Holder, demands []Demand) {
	for _, d := range demands {
		if all[d.Key] == nil {
			all[d.Key] = make(map[Holder]told)
		}
		all[d.Key][h] = told{d, now}
	}
}

func expire(all map[Key]map[Holder]told, before time.Time) {
	for key, holders := range all {
		for h, t := range holders {
			if t.at.Before(before) {
				delete(holders, h)
			}
		}
		if len(holders) == 0 {
			delete(all, key)
		}
	}
}

// RecordEntry takes over the demands at an entry VM of this domain.
func (k *Allocator) RecordEntry(now time.Time, h Holder, demands []Demand) {
	if k.entries == nil {
		k.entries = make(map[Key]map[Holder]told)
	}
	tell(k.entries, now, h, demands)
}

// RecordDomain takes over demands in another domain.
func (k *Allocator) RecordDomain(now time.Time, h Holder, demands []Demand) {
	if k.domains == nil {
		k.domains = make(map[Key]map[Holder]told)
	}
	tell(k.domains, now, h, demands)
}

// Expire drops demands that were not told for too long.
func (k *Allocator) Expire(now time.Time) {
	expire(k.entries, now.Add(-forgetEntry))
	expire(k.domains, now.Add(-forgetDomain))
}

// DomainDemand returns an organisation's demand in this domain.
func (k *Allocator) DomainDemand(key Key) Demand {
	sum := Demand{Key: key}
	for _, t := range k.entries[key] {
		sum.Tokens += t.Tokens
		sum.Answers += t.Answers
	}
	return sum
}

// DomainDemands returns the demands in this domain of the given organisations.
func (k *Allocator) DomainDemands(keys []Key) []Demand {
	all := make([]Demand, len(keys))
	for i, key := range keys {
		all[i] = k.DomainDemand(key)
	}
	return all
}

// Contended returns the demands in this domain of the organisations that use
// up their equal part of a limit among n domains: about them the other domains
// are to be asked.
func (k *Allocator) Contended(n int, limits func(Key) Limits) []Demand {
	var all []Demand
	for key := range k.entries {
		if sum := k.DomainDemand(key); exceeds(sum, limits(key).PerDomain(n)) {
			all = append(all, sum)
		}
	}
	slices.SortFunc(all, func(a, b Demand) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// exceeds reports whether a demand uses up a share.
func exceeds(d Demand, s Share) bool {
	return s.Tokens >= 0 && d.Tokens > contendedAt*s.Tokens ||
		s.Answers >= 0 && float64(d.Answers) > contendedAt*float64(s.Answers)
}

// Shares returns the shares of an entry VM for those of the organisations that
// have to be split among entry VMs or domains; for the others its domain's part
// counts. self is this domain, one of n.
func (k *Allocator) Shares(self, h Holder, n int, demands []Demand, limits func(Key) Limits) []Share {
	var shares []Share
	for _, d := range demands {
		domain := k.ofDomain(self, n, d.Key, limits(d.Key))
		if exceeds(k.DomainDemand(d.Key), domain) {
			shares = append(shares, split(domain, k.entries[d.Key], h))
		} else if len(k.domains[d.Key]) > 0 {
			shares = append(shares, domain)
		}
	}
	return shares
}

// ofDomain returns this domain's share of an organisation's limits.
func (k *Allocator) ofDomain(self Holder, n int, key Key, l Limits) Share {
	part := l.PerDomain(n)
	part.Key = key
	if len(k.domains[key]) == 0 {
		return part
	}
	all := map[Holder]told{self: {Demand: k.DomainDemand(key)}}
	for h, t := range k.domains[key] {
		all[h] = t
	}
	whole := Share{Key: key, Tokens: -1, Answers: -1}
	if l.Tokens > 0 {
		whole.Tokens = l.Tokens
	}
	if l.Answers > 0 {
		whole.Answers = l.Answers
	}
	return split(whole, all, self)
}

// split returns a holder's part of a share, in proportion to demands.
func split(s Share, all map[Holder]told, h Holder) Share {
	holders := slices.Sorted(maps.Keys(all))
	tokens := make([]Rate, len(holders))
	answers := make([]float64, len(holders))
	for i, x := range holders {
		tokens[i] = all[x].Tokens
		answers[i] = float64(all[x].Answers)
	}
	i := slices.Index(holders, h)
	part := s
	if s.Tokens >= 0 {
		part.Tokens = splitRate(s.Tokens, tokens)[i]
	}
	if s.Answers >= 0 {
		part.Answers = splitCount(s.Answers, answers)[i]
	}
	return part
}
