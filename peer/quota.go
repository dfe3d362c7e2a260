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

// quotaShards is the number of parts that organisations are spread over; each
// part has a keeper in every failure domain.
const quotaShards = 14

// demandPeriod is how often demands are told.
const demandPeriod = 10 * time.Second

// Demands is an entry VM's word to a keeper, or a keeper's to one of another
// domain, in columns: at the target there are some hundreds in each message.
type Demands struct {
	Holder  limit.Holder `json:"holder"`
	Shard   int          `json:"shard"`
	Keys    []limit.Key  `json:"keys"`
	Tokens  []int        `json:"tokens"` // a second
	Answers []int        `json:"answers"`
}

// Check returns the first fault of a decoded Demands.
func (d *Demands) Check() error {
	if d.Shard < 0 || d.Shard >= quotaShards {
		return result.New(result.OutOfRange, "shard %d", d.Shard).On("shard")
	}
	if len(d.Tokens) != len(d.Keys) || len(d.Answers) != len(d.Keys) {
		return result.New(result.BadRequest, "columns of different lengths").On("keys")
	}
	return nil
}

func newDemands(h limit.Holder, shard int, all []limit.Demand) Demands {
	d := Demands{Holder: h, Shard: shard}
	for _, x := range all {
		d.Keys = append(d.Keys, x.Key)
		d.Tokens = append(d.Tokens, int(math.Ceil(float64(x.Tokens))))
		d.Answers = append(d.Answers, x.Answers)
	}
	return d
}

// rows returns the demands one by one.
func (d *Demands) rows() []limit.Demand {
	all := make([]limit.Demand, len(d.Keys))
	for i, key := range d.Keys {
		all[i] = limit.Demand{Key: key, Tokens: limit.Rate(d.Tokens[i]), Answers: d.Answers[i]}
	}
	return all
}

// Shares is a keeper's answer: the shares of the organisations whose limits
// are split.
type Shares struct {
	Shares []limit.Share `json:"shares,omitempty"`
}

// Quota keeps this entry VM's shares of the organisations' fleet-wide limits.
// It tells its demands to the keepers of its failure domain and is one itself
// where rendezvous hashing says so. All fields must be set before Run.
type Quota struct {
	Gossip *Gossip
	Gate   *limit.Gate
	// Limits returns an organisation's fleet-wide limits in force.
	Limits func(limit.Key) limit.Limits

	mu      sync.Mutex
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

// reportDemands tells each shard's keeper what is wanted here and takes over the
// shares that it answers with. Without an answer the last shares stay.
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

func (q *Quota) reportShard(ctx context.Context, shard int, demands []limit.Demand) {
	self := q.Gossip.Members.Self().Address
	d := newDemands(limit.Holder(self), shard, demands)
	allocator := q.Gossip.Members.Holder(quotaAllocator, shard)
	if allocator == self {
		q.Gate.SetShares(demands, q.Answer(d).Shares)
		return
	}
	limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if reply, err := q.Gossip.Client.Demands(limited, allocator, d); err == nil {
		q.Gate.SetShares(demands, reply.Shares)
	}
}

// domain returns this domain as the holder of shares.
func (q *Quota) domain() limit.Holder { return limit.Holder(q.Gossip.Members.Self().Domain) }

// Answer takes over an entry VM's demands and returns its shares.
func (q *Quota) Answer(d Demands) Shares {
	now := time.Now()
	demands := d.rows()
	q.mu.Lock()
	defer q.mu.Unlock()
	a := &q.allocators[d.Shard]
	a.Expire(now)
	a.RecordEntry(now, d.Holder, demands)
	return Shares{Shares: a.Shares(q.domain(), d.Holder, q.Gossip.Domains(), demands, q.Limits)}
}

// consultDomains tells the keepers of the other domains which organisations use up
// this domain's part of their limits, and takes over their demands for those.
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

// consultDomain asks the first entry VM of another domain that answers.
func (q *Quota) consultDomain(ctx context.Context, candidates []Address, d Demands) {
	for _, a := range candidates {
		limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		reply, err := q.Gossip.Client.Compare(limited, a, d)
		cancel()
		if err == nil {
			q.mu.Lock()
			q.allocators[d.Shard].RecordDomain(time.Now(), reply.Holder, reply.rows())
			q.mu.Unlock()
			return
		}
	}
}

// Compare takes over another domain's demands and returns those of this domain
// for the same organisations.
func (q *Quota) Compare(d Demands) Demands {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	a := &q.allocators[d.Shard]
	a.RecordDomain(now, d.Holder, d.rows())
	return newDemands(q.domain(), d.Shard, a.DomainDemands(d.Keys))
}
