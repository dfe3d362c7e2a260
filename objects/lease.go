package objects

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"quetzalhold/result"
)

// KindLease is the kind of the objects that hold leases.
const KindLease Kind = "lease"

// Fence is a lease's fencing number: the version of its object, which rises
// with every change of holder and every renewal.
type Fence Version

// leaseValue is what a lease's object holds. Version is the object's version
// when the holder took it, which stays over its renewals.
type leaseValue struct {
	Holder string    `json:"holder"`
	Until  time.Time `json:"until"`
}

// Check returns the first fault of a decoded lease.
func (v *leaseValue) Check() error {
	if v.Holder == "" {
		return result.New(result.MissingField, "no holder").On("holder")
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

// Lease is a right that one entry VM has at a time, kept in the platform. Its
// holder stops well before it ends, and a successor waits past its end, so that
// clocks may differ and the holder's last orders arrive before the successor's
// first. Where whatever it protects checks fencing numbers, these decide. All
// exported fields must be set; the zero value of the others is a lease not held.
type Lease struct {
	Name   Name
	Holder string
	TTL   time.Duration
	// Get and Put reach the platform; usually [Client.Get] and [Client.Put].
	Get func(context.Context, Kind, Name) (Object, error)
	Put func(context.Context, Kind, Name, Version, any) (Object, error)

	mu    sync.Mutex
	until time.Time // of our lease; zero if it is not ours
	fence Fence
}

// The margins of a lease.
const (
	// leaseSkew is how far apart the clocks of two entry VMs may be.
	leaseSkew = 2 * time.Second
	// longestOrder is how long an order that was sent may be on its way.
	longestOrder = 5 * time.Second
)

// Acquire acquires or renews the lease. It fails with VersionConflict where another
// one holds it, or was faster, and with PlatformDown where the outcome is
// unknown; the lease then counts as not held until a later Acquire succeeds, but
// not longer than before.
func (l *Lease) Acquire(ctx context.Context) error {
	// The term counts from before the write: the answer may come late.
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
		if v.Holder != l.Holder && now.Before(v.Until.Add(leaseSkew+longestOrder)) {
			l.lose()
			return result.New(result.VersionConflict, "%s holds %s", v.Holder, l.Name)
		}
	}
	until := now.Add(l.TTL)
	o, err = l.Put(ctx, KindLease, l.Name, o.Version, leaseValue{Holder: l.Holder, Until: until})
	if err != nil {
		if result.CodeOf(err) == result.VersionConflict {
			l.lose()
		}
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = until
	l.fence = Fence(o.Version)
	return nil
}

func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Time{}
}

// Held returns the fencing number of the lease if it is held at now with time
// left for an order: each order needs a new call.
func (l *Lease) Held(now time.Time) (Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, now.Add(leaseSkew + longestOrder).Before(l.until)
}
