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

// bucketOwners chooses for each bucket of booking records an owner: the entry
// VM that writes all changes of the bucket, so that it can batch them. Any
// choice is safe; entry VMs that choose different owners only cause more
// writes. In the zero value, this entry VM owns all buckets.
type bucketOwners struct {
	self peer.Address

	mu        sync.Mutex
	hash      *rendezvous.Rendezvous
	addresses []string
	failed    map[peer.Address]time.Time
}

// ownerRetryDelay is how long an owner that did not answer is not called again.
const ownerRetryDelay = 10 * time.Second

// setMembers sets the entry VMs among which owners are chosen. An empty list
// is ignored.
func (o *bucketOwners) setMembers(list []peer.Member) {
	all := []string{string(o.self)}
	for _, m := range list {
		all = append(all, string(m.Address))
	}
	slices.Sort(all)
	all = slices.Compact(all)
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Equal(all, o.addresses) || len(list) == 0 {
		return
	}
	o.addresses = all
	o.hash = rendezvous.New(all, xxhash.Sum64String)
}

// owner returns the address of the bucket's owner. It is empty if this entry VM
// is to write the change itself.
func (o *bucketOwners) owner(b booking.BucketID, now time.Time) peer.Address {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.hash == nil {
		return ""
	}
	address := peer.Address(o.hash.Lookup(string(b.Name())))
	if address == o.self || now.Before(o.failed[address].Add(ownerRetryDelay)) {
		return ""
	}
	return address
}

// markFailed records that an owner did not answer.
func (o *bucketOwners) markFailed(address peer.Address, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed == nil {
		o.failed = make(map[peer.Address]time.Time)
	}
	o.failed[address] = now
}

// ownerTimeout bounds the call to a bucket's owner.
const ownerTimeout = 700 * time.Millisecond

// applyBooking changes a booking's record through the bucket's owner. If the
// owner does not answer, this entry VM makes the change itself: applying the
// same change twice does no harm.
func (d *Daemon) applyBooking(ctx context.Context, op booking.Op) (booking.Reply, error) {
	now := time.Now()
	address := d.owners.owner(op.ID.Bucket(), now)
	if address == "" {
		return d.bookingWriter.Apply(ctx, op)
	}
	limited, cancel := context.WithTimeout(ctx, ownerTimeout)
	reply, err := d.peers.ApplyBooking(limited, address, op)
	cancel()
	if err == nil {
		return reply, nil
	}
	d.owners.markFailed(address, now)
	return d.bookingWriter.Apply(ctx, op)
}
