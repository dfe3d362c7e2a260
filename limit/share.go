// Package limit bounds what organisations use. [Gate] admits answers at one
// entry VM: a fair queue among organisations, each within its share of its
// fleet-wide limits. [Allocator] splits those limits into shares by demand. Both
// decide from the data that they are given and do no I/O.
package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/names"
)

// Rate is a number of tokens per second.
type Rate float64

// Key identifies an organisation in messages. Two organisations that happen to
// have the same key are limited together, each to its own limit.
type Key uint32

// NewKey returns an organisation's key.
func NewKey(id names.ID) Key { return Key(xxhash.Sum64String(string(id))) }

// Demand is what an organisation uses, or would use if it were not limited, at one
// entry VM or in one failure domain.
type Demand struct {
	Key     Key
	Tokens  Rate
	Answers int // at once
}

// Share is the part of an organisation's limits that one entry VM or failure domain
// may use. Negative values mean no limit.
type Share struct {
	Key     Key
	Tokens  Rate
	Answers int
}

// Limits is an organisation's fleet-wide limits; 0 means no limit.
type Limits struct {
	Tokens  Rate
	Answers int
}

// PerDomain returns the equal share of the limits that each of n failure domains may
// use without consulting the others.
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

// minDemandFraction is the fraction of the limit that each holder is assumed to
// demand at least, so that an idle one can begin.
const minDemandFraction = 0.02

// splitRate splits a limit in proportion to demands and returns the shares in the
// order of demands.
func splitRate(limit Rate, demands []Rate) []Rate {
	if limit <= 0 {
		return make([]Rate, len(demands))
	}
	floor := limit * minDemandFraction
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

// splitCount splits a limit into integers that sum to the limit, in proportion to
// demands. The units lost to rounding go to the largest remainders, and among equal
// ones to the first in order.
func splitCount(limit int, demands []float64) []int {
	if limit <= 0 {
		return make([]int, len(demands))
	}
	floor := float64(limit) * minDemandFraction
	sum := 0.0
	for _, d := range demands {
		sum += max(d, floor)
	}
	parts := make([]int, len(demands))
	remainders := make([]float64, len(demands))
	left := limit
	for i, d := range demands {
		exact := float64(limit) * max(d, floor) / sum
		parts[i] = int(exact)
		remainders[i] = exact - float64(parts[i])
		left -= parts[i]
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for _, i := range order[:min(left, len(order))] {
		parts[i]++
	}
	return parts
}

// Holder is an entry VM, or a failure domain, that holds a share.
type Holder string

// report is the last demand received from a holder.
type report struct {
	Demand
	at time.Time
}

// Allocator splits the limits of some organisations among the entry VMs of its
// failure domain. While the domain uses less than its equal share of a limit, no
// other domain is consulted, and each of its entry VMs may use all of that share.
// Above that, the domains split the limit by demand, and the entry VMs split their
// domain's share. Demands that are no longer reported are kept for a while: a domain
// that is cut off continues with its last share, and no other domain may use it. The
// zero value has no demands.
type Allocator struct {
	entries map[Key]map[Holder]report
	domains map[Key]map[Holder]report
}

// Times after which demands that are no longer reported are dropped, and the
// threshold from which a share is split.
const (
	// entryTTL is for an entry VM, which may have been replaced.
	entryTTL = 30 * time.Second
	// domainTTL is for a failure domain, which may be cut off for minutes.
	domainTTL = 15 * time.Minute
	// contentionThreshold is the fraction of a share above which it is split.
	contentionThreshold = 0.8
)

func record(all map[Key]map[Holder]report, now time.Time, h Holder, demands []Demand) {
	for _, d := range demands {
		if all[d.Key] == nil {
			all[d.Key] = make(map[Holder]report)
		}
		all[d.Key][h] = report{d, now}
	}
}

func expire(all map[Key]map[Holder]report, before time.Time) {
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

// RecordEntry records the demands of an entry VM of this domain.
func (a *Allocator) RecordEntry(now time.Time, h Holder, demands []Demand) {
	if a.entries == nil {
		a.entries = make(map[Key]map[Holder]report)
	}
	record(a.entries, now, h, demands)
}

// RecordDomain records demands of another domain.
func (a *Allocator) RecordDomain(now time.Time, h Holder, demands []Demand) {
	if a.domains == nil {
		a.domains = make(map[Key]map[Holder]report)
	}
	record(a.domains, now, h, demands)
}

// Expire drops demands that have not been reported for too long.
func (a *Allocator) Expire(now time.Time) {
	expire(a.entries, now.Add(-entryTTL))
	expire(a.domains, now.Add(-domainTTL))
}

// DomainDemand returns an organisation's demand in this domain.
func (a *Allocator) DomainDemand(key Key) Demand {
	sum := Demand{Key: key}
	for _, t := range a.entries[key] {
		sum.Tokens += t.Tokens
		sum.Answers += t.Answers
	}
	return sum
}

// DomainDemands returns the demands in this domain of the given organisations.
func (a *Allocator) DomainDemands(keys []Key) []Demand {
	all := make([]Demand, len(keys))
	for i, key := range keys {
		all[i] = a.DomainDemand(key)
	}
	return all
}

// Contended returns the demands in this domain of the organisations that use most
// of their equal share of a limit among n domains. The other domains must be
// consulted about these.
func (a *Allocator) Contended(n int, limits func(Key) Limits) []Demand {
	var all []Demand
	for key := range a.entries {
		if sum := a.DomainDemand(key); nearLimit(sum, limits(key).PerDomain(n)) {
			all = append(all, sum)
		}
	}
	slices.SortFunc(all, func(x, y Demand) int { return cmp.Compare(x.Key, y.Key) })
	return all
}

// nearLimit reports whether a demand exceeds contentionThreshold of a share.
func nearLimit(d Demand, s Share) bool {
	return s.Tokens >= 0 && d.Tokens > contentionThreshold*s.Tokens ||
		s.Answers >= 0 && float64(d.Answers) > contentionThreshold*float64(s.Answers)
}

// Shares returns the shares of an entry VM for those organisations whose limits have
// to be split among entry VMs or domains. For the others the domain's equal share
// is in force. self is this domain, one of n.
func (a *Allocator) Shares(self, h Holder, n int, demands []Demand, limits func(Key) Limits) []Share {
	var shares []Share
	for _, d := range demands {
		domain := a.domainShare(self, n, d.Key, limits(d.Key))
		if nearLimit(a.DomainDemand(d.Key), domain) {
			shares = append(shares, splitShare(domain, a.entries[d.Key], h))
		} else if len(a.domains[d.Key]) > 0 {
			shares = append(shares, domain)
		}
	}
	return shares
}

// domainShare returns this domain's share of an organisation's limits.
func (a *Allocator) domainShare(self Holder, n int, key Key, l Limits) Share {
	part := l.PerDomain(n)
	part.Key = key
	if len(a.domains[key]) == 0 {
		return part
	}
	all := map[Holder]report{self: {Demand: a.DomainDemand(key)}}
	for h, t := range a.domains[key] {
		all[h] = t
	}
	total := Share{Key: key, Tokens: -1, Answers: -1}
	if l.Tokens > 0 {
		total.Tokens = l.Tokens
	}
	if l.Answers > 0 {
		total.Answers = l.Answers
	}
	return splitShare(total, all, self)
}

// splitShare returns a holder's part of a share, in proportion to demands.
func splitShare(s Share, all map[Holder]report, h Holder) Share {
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
