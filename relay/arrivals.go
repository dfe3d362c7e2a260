package relay

import (
	"sync"
	"time"
)

// bodyLimits are the limits on the bodies of requests; 0 stands for none.
type bodyLimits struct {
	memory     int64 // of large bodies, in bytes
	small      int64 // of small bodies while they arrive, in bytes
	unfinished int   // bodies that arrive at once
}

const (
	// smallShare is the divisor of the memory for large bodies. At 88 MB of process memory, half of it holds 200 small
	// bodies that arrive at once, while one takes milliseconds.
	smallShare = 2
	// arrivalMemory is about what the connection of a body and the buffers for reading it take, in bytes: two stacks
	// of 8 KB at most and two buffers of 4 KB.
	arrivalMemory = 24 << 10
	// arrivalPeriod is the time over which the rate of a body is measured. A segment that is lost on the way takes
	// TCP 0.2 s or more.
	arrivalPeriod = 500 * time.Millisecond
	// slowBody is the rate below which a body may be rejected for others, in bytes per period. 16 KB a second is an
	// eighth of what each of ten bodies of 4 MB gets on a link of 10 Mbit/s. If faster ones were rejected as well, none
	// of many that arrive together would be completed.
	slowBody = 8 << 10
)

// arrival is the body of a request. The zero value holds nothing.
type arrival struct {
	// cut ends the reading of the body, without blocking.
	cut func()

	held      int64 // memory that is counted, in bytes
	small     bool
	arriving  bool
	rejected  bool
	since     time.Time
	period    time.Time // begin of the current period
	now, last int64     // bytes received in the current period and in the one before it
}

// add counts received bytes.
func (a *arrival) add(now time.Time, n int64) {
	a.advance(now)
	a.now += n
}

// advance begins a new period if the current one is over.
func (a *arrival) advance(now time.Time) {
	switch age := now.Sub(a.period); {
	case age < arrivalPeriod:
	case age < 2*arrivalPeriod:
		a.period, a.last, a.now = a.period.Add(arrivalPeriod), a.now, 0
	default:
		a.period, a.last, a.now = now, 0, 0
	}
}

// recent returns how many bytes were received in the current period and in the one before it.
func (a *arrival) recent(now time.Time) int64 {
	a.advance(now)
	return a.last + a.now
}

// slow reports whether a body may be rejected for others.
func (a *arrival) slow(now time.Time) bool {
	return now.Sub(a.since) >= arrivalPeriod && a.recent(now) < slowBody
}

// requestBodies decides which bodies of requests get room. The zero value holds none.
type requestBodies struct {
	mu       sync.Mutex
	large    int64 // memory of large bodies, in bytes
	small    int64 // memory of small ones that arrive, in bytes
	arriving map[*arrival]struct{}
}

// take takes the memory for a body of size bytes, in place of what a held before. If there is no room, it rejects the
// slowest of the bodies that arrive, as long as one is slow. It returns false if that does not help, or if a was
// rejected itself.
func (b *requestBodies) take(now time.Time, a *arrival, size int64, l bodyLimits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !a.rejected {
		helps := b.short(a, size, l)
		if helps == nil {
			b.hold(now, a, size)
			return true
		}
		v := b.slowest(now, a, helps)
		if v == nil {
			return false
		}
		b.drop(v)
		v.rejected = true
		v.cut()
	}
	return false
}

// short returns nil if there is room for a body, or else which bodies make room by their rejection.
func (b *requestBodies) short(a *arrival, size int64, l bodyLimits) (helps func(*arrival) bool) {
	small := size <= smallBody
	others, limit := b.large, l.memory
	if small {
		others, limit = b.small, l.small
	}
	if a.small == small {
		others -= a.held
	}
	switch {
	case limit > 0 && others > 0 && others+size+arrivalMemory > limit:
		return func(v *arrival) bool { return v.small == small }
	case !a.arriving && l.unfinished > 0 && len(b.arriving) >= l.unfinished:
		return func(*arrival) bool { return true }
	}
	return nil
}

// hold sets the memory of a body that arrives.
func (b *requestBodies) hold(now time.Time, a *arrival, size int64) {
	if !a.arriving {
		a.arriving, a.since, a.period = true, now, now
		if b.arriving == nil {
			b.arriving = make(map[*arrival]struct{})
		}
		b.arriving[a] = struct{}{}
	}
	b.count(a, -a.held)
	a.small, a.held = size <= smallBody, size+arrivalMemory
	b.count(a, a.held)
}

func (b *requestBodies) count(a *arrival, n int64) {
	if a.small {
		b.small += n
	} else {
		b.large += n
	}
}

// slowest returns the slowest of the bodies that arrive and help, other than one; nil if none is slow.
func (b *requestBodies) slowest(now time.Time, other *arrival, helps func(*arrival) bool) *arrival {
	var found *arrival
	for a := range b.arriving {
		if a == other || !helps(a) || !a.slow(now) {
			continue
		}
		if found == nil || a.recent(now) < found.recent(now) || a.recent(now) == found.recent(now) && a.since.Before(found.since) {
			found = a
		}
	}
	return found
}

// received counts bytes of a body.
func (b *requestBodies) received(now time.Time, a *arrival, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.add(now, n)
}

// finish records that a body is no longer read. It returns false if the body was rejected.
func (b *requestBodies) finish(a *arrival) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.arriving {
		return !a.rejected
	}
	delete(b.arriving, a)
	a.arriving = false
	freed := int64(arrivalMemory)
	if a.small {
		freed = a.held
	}
	b.count(a, -freed)
	a.held -= freed
	return true
}

// release gives back all memory of a body.
func (b *requestBodies) release(a *arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(a)
}

func (b *requestBodies) drop(a *arrival) {
	b.count(a, -a.held)
	a.held, a.arriving = 0, false
	delete(b.arriving, a)
}
