package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"quetzalhold/booking"
	"quetzalhold/peer"
)

// owners picks the entry VM through which changes of a bucket go, so that they
// share writes. Any choice is safe; entry VMs that differ in their choice only
// write more. The zero value owns everything itself.
type owners struct {
	self peer.Address

	mu     sync.Mutex
	hash   *rendezvous.Rendezvous
	listed []string
	failed map[peer.Address]time.Time
}

// ownerPause is how long an owner that did not answer is passed over.
const ownerPause = 10 * time.Second

// setEntries takes over the addresses of the other entry VMs.
func (o *owners) setEntries(list []peer.Member) {
	all := []string{string(o.self)}
	for _, m := range list {
		all = append(all, string(m.Address))
	}
	slices.Sort(all)
	all = slices.Compact(all)
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Equal(all, o.listed) || len(list) == 0 {
		return
	}
	o.listed = all
	o.hash = rendezvous.New(all, xxhash.Sum64String)
}

// owner returns the address of the bucket's owner; empty for this entry VM.
func (o *owners) owner(b booking.BucketID, now time.Time) peer.Address {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.hash == nil {
		return ""
	}
	address := peer.Address(o.hash.Lookup(string(b.Name())))
	if address == o.self || now.Before(o.failed[address].Add(ownerPause)) {
		return ""
	}
	return address
}

// fail notes that an owner did not answer.
func (o *owners) fail(address peer.Address, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed == nil {
		o.failed = make(map[peer.Address]time.Time)
	}
	o.failed[address] = now
}

// ownerLimit bounds the call to a bucket's owner.
const ownerLimit = 700 * time.Millisecond

// changeBooking makes a change of a booking's record through the bucket's
// owner, and by itself where the owner does not answer: making a change twice
// does no harm.
func (d *Daemon) changeBooking(ctx context.Context, op booking.Op) (booking.Reply, error) {
	now := time.Now()
	address := d.owners.owner(op.ID.Bucket(), now)
	if address == "" {
		return d.ledger.Apply(ctx, op)
	}
	limited, cancel := context.WithTimeout(ctx, ownerLimit)
	reply, err := d.peers.ApplyBooking(limited, address, op)
	cancel()
	if err == nil {
		return reply, nil
	}
	d.owners.fail(address, now)
	return d.ledger.Apply(ctx, op)
}
