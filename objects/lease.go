package objects

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"quetzalhold/result"
)

// KindLease is the kind of the objects that store leases.
const KindLease Kind = "lease"

// Fence is a lease's fencing number: the version of its object, which rises
// with every change of holder and every renewal.
type Fence Version

// leaseValue is the value of a lease's object.
type leaseValue struct {
	Holder string    `json:"holder"`
	Until  time.Time `json:"until"`
}

// Check returns an error if a decoded lease is invalid.
func (v *leaseValue) Check() error {
	if v.Holder == "" {
		return result.New(result.MissingField, "no holder").WithField("holder")
	}
	return nil
}

// UnmarshalJSON decodes and checks the lease.
func (v *leaseValue) UnmarshalJSON(b []byte) error {
	type plain leaseValue
	if err := json.Unmarshal(b, (*plain)(v)); err != nil {
		return err
	}
	return v.Check()
}

// Lease is a lock that expires, stored in the platform and held by at most one
// entry VM at a time. The holder stops using it well before it expires, and
// another VM waits until some time after it has expired, so that clocks may
// differ and the old holder's last orders arrive before the new holder's
// first. A receiver of orders that checks fencing numbers is safe even if that
// fails. All exported fields must be set; the unexported fields are ready to
// use at their zero values, which mean that the lease is not held.
type Lease struct {
	Name   Name
	Holder string
	TTL    time.Duration
	// Get and Put read and write objects of the platform; usually
	// [Client.Get] and [Client.Put].
	Get func(context.Context, Kind, Name) (Object, error)
	Put func(context.Context, Kind, Name, Version, any) (Object, error)

	mu    sync.Mutex
	until time.Time // when the lease expires; zero if it is not held
	fence Fence
}

// The safety margins around the expiry of a lease.
const (
	// maxClockSkew is how far the clocks of two entry VMs may differ.
	maxClockSkew = 2 * time.Second
	// maxOrderDelay is how long an order may be in transit.
	maxOrderDelay = 5 * time.Second
)

// Acquire acquires the lease, or renews it if it is held. It fails with
// VersionConflict if another VM holds the lease or acquires it first; the
// lease is then not held. It fails with PlatformDown if the outcome is
// unknown: a lease that was held then still ends when it would have without
// this call, and one that was not held stays so, until a later Acquire
// succeeds.
func (l *Lease) Acquire(ctx context.Context) error {
	// The lease runs from a time before the write, because the response may
	// be late.
	now := time.Now()
	o, err := l.Get(ctx, KindLease, l.Name)
	if err != nil && result.CodeOf(err) != result.ObjectMissing {
		return err
	}
	if err == nil && !o.Deleted {
		var v leaseValue
		if err := json.Unmarshal(o.Value, &v); err != nil {
			return result.Wrap(result.WrongType, err, "lease %s", l.Name)
		}
		if v.Holder != l.Holder && now.Before(v.Until.Add(maxClockSkew+maxOrderDelay)) {
			l.markLost()
			return result.New(result.VersionConflict, "%s holds %s", v.Holder, l.Name)
		}
	}
	until := now.Add(l.TTL)
	o, err = l.Put(ctx, KindLease, l.Name, o.Version, leaseValue{Holder: l.Holder, Until: until})
	if err != nil {
		if result.CodeOf(err) == result.VersionConflict {
			l.markLost()
		}
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = until
	l.fence = Fence(o.Version)
	return nil
}

// markLost records that the lease is not held.
func (l *Lease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Time{}
}

// Held returns the fencing number of the lease, and whether the lease is held
// at now and lasts long enough for an order to arrive. Call it again before
// each order.
func (l *Lease) Held(now time.Time) (Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, now.Add(maxClockSkew + maxOrderDelay).Before(l.until)
}
