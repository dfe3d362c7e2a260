package peer

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalhold/clock"
	"quetzalhold/limit"
	"quetzalhold/result"
)

// quotaShards is the number of shards that organisations are divided into. Each
// shard has an allocator in every failure domain.
const quotaShards = 14

// demandPeriod is the average interval between reports of demands.
const demandPeriod = 10 * time.Second

// Demands is the demands that an entry VM reports to an allocator, or those of a
// failure domain that its allocator reports to another domain's. They are stored in
// columns, since a message has some hundreds of them at the target load.
type Demands struct {
	Holder  limit.Holder `json:"holder"`
	Shard   int          `json:"shard"`
	Keys    []limit.Key  `json:"keys"`
	Tokens  []int        `json:"tokens"`  // per second
	Answers []int        `json:"answers"` // at once
}

// Check returns the first error found in a decoded Demands.
func (d *Demands) Check() error {
	if d.Shard < 0 || d.Shard >= quotaShards {
		return result.New(result.OutOfRange, "shard %d", d.Shard).WithField("shard")
	}
	if len(d.Tokens) != len(d.Keys) || len(d.Answers) != len(d.Keys) {
		return result.New(result.BadRequest, "columns of different lengths").WithField("keys")
	}
	return nil
}

// newDemands stores demands in columns; token rates are rounded up.
func newDemands(h limit.Holder, shard int, all []limit.Demand) Demands {
	d := Demands{Holder: h, Shard: shard}
	for _, x := range all {
		d.Keys = append(d.Keys, x.Key)
		d.Tokens = append(d.Tokens, int(math.Ceil(float64(x.Tokens))))
		d.Answers = append(d.Answers, x.Answers)
	}
	return d
}

// rows returns the demands as a slice, one element per organisation.
func (d *Demands) rows() []limit.Demand {
	all := make([]limit.Demand, len(d.Keys))
	for i, key := range d.Keys {
		all[i] = limit.Demand{Key: key, Tokens: limit.Rate(d.Tokens[i]), Answers: d.Answers[i]}
	}
	return all
}

// Shares is an allocator's response to Demands: the shares of those organisations
// whose limits are split.
type Shares struct {
	Shares []limit.Share `json:"shares,omitempty"`
}

// Quota keeps this entry VM's shares of the organisations' fleet-wide limits up to
// date. It reports the demands of this entry VM to the allocators of its failure
// domain, and is itself the allocator of the shards that rendezvous hashing assigns
// to it. All exported fields must be set before Run.
type Quota struct {
	Gossip *Gossip
	Gate   *limit.Gate
	// Limits returns an organisation's fleet-wide limits in force.
	Limits func(limit.Key) limit.Limits

	mu         sync.Mutex
	allocators [quotaShards]limit.Allocator
}

func shardOf(k limit.Key) int { return int(k % quotaShards) }

// Run exchanges demands and shares until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	for ctx.Err() == nil {
		q.reportDemands(ctx)
		q.consultDomains(ctx)
		// The loop sees the end of ctx.
		_ = clock.Sleep(ctx, demandPeriod*3/4+rand.N(demandPeriod/2))
	}
}

// reportDemands reports the demands of this entry VM to the allocator of each shard
// and applies the shares that it returns. If a call fails, the last shares stay in
// force.
func (q *Quota) reportDemands(ctx context.Context) {
	var parts [quotaShards][]limit.Demand
	for _, d := range q.Gate.Demands() {
		shard := shardOf(d.Key)
		parts[shard] = append(parts[shard], d)
	}
	var wg sync.WaitGroup
	for shard, demands := range parts {
		if len(demands) > 0 {
			wg.Go(func() { q.reportShard(ctx, shard, demands) })
		}
	}
	wg.Wait()
}

// reportShard reports the demands of one shard to its allocator, which may be this
// entry VM.
func (q *Quota) reportShard(ctx context.Context, shard int, demands []limit.Demand) {
	self := q.Gossip.Members.Self().Address
	d := newDemands(limit.Holder(self), shard, demands)
	allocator := q.Gossip.Members.Holder(quotaAllocator, shard)
	if allocator == self {
		q.Gate.SetShares(demands, q.Allocate(d).Shares)
		return
	}
	limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if reply, err := q.Gossip.Client.ReportDemands(limited, allocator, d); err == nil {
		q.Gate.SetShares(demands, reply.Shares)
	}
}

// domain returns this failure domain as a holder of shares.
func (q *Quota) domain() limit.Holder { return limit.Holder(q.Gossip.Members.Self().Domain) }

// Allocate records the demands of an entry VM of this domain and returns its shares.
func (q *Quota) Allocate(d Demands) Shares {
	now := time.Now()
	demands := d.rows()
	q.mu.Lock()
	defer q.mu.Unlock()
	a := &q.allocators[d.Shard]
	a.Expire(now)
	a.RecordEntry(now, d.Holder, demands)
	return Shares{Shares: a.Shares(q.domain(), d.Holder, q.Gossip.Domains(), demands, q.Limits)}
}

// consultDomains exchanges demands with the allocators of the other domains, for the
// organisations that use most of this domain's equal share of their limits.
func (q *Quota) consultDomains(ctx context.Context) {
	self := q.Gossip.Members.Self()
	for shard := range quotaShards {
		if q.Gossip.Members.Holder(quotaAllocator, shard) != self.Address {
			continue
		}
		q.mu.Lock()
		contended := q.allocators[shard].Contended(q.Gossip.Domains(), q.Limits)
		q.mu.Unlock()
		if len(contended) == 0 {
			continue
		}
		d := newDemands(q.domain(), shard, contended)
		for _, candidates := range q.Gossip.dutyCandidates(quotaAllocator, shard) {
			go q.consultDomain(ctx, candidates, d)
		}
	}
}

// consultDomain exchanges demands with the first candidate of another domain that
// responds.
func (q *Quota) consultDomain(ctx context.Context, candidates []Address, d Demands) {
	for _, a := range candidates {
		limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		reply, err := q.Gossip.Client.ExchangeDemands(limited, a, d)
		cancel()
		if err == nil {
			q.mu.Lock()
			q.allocators[d.Shard].RecordDomain(time.Now(), reply.Holder, reply.rows())
			q.mu.Unlock()
			return
		}
	}
}

// ExchangeDemands records another domain's demands and returns those of this domain for
// the same organisations.
func (q *Quota) ExchangeDemands(d Demands) Demands {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	a := &q.allocators[d.Shard]
	a.RecordDomain(now, d.Holder, d.rows())
	return newDemands(q.domain(), d.Shard, a.DomainDemands(d.Keys))
}
