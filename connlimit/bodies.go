package connlimit

import (
	"sync"
	"time"
)

// BodyLimits are the limits on the bodies of requests. A field that is 0 sets no limit.
type BodyLimits struct {
	// Memory bounds large bodies together. There is always room for one.
	Memory Bytes
	// Unfinished is the maximum number of bodies that arrive at once.
	Unfinished int
}

// SmallBody is the size up to which bodies are counted only while they arrive: there is always room for small requests.
const SmallBody Bytes = 64 << 10

const (
	// smallShare is the divisor of the memory for large bodies. At 88 MB of process memory, half of it holds 146
	// bodies of 64 KiB that arrive at once, while one takes milliseconds.
	smallShare Bytes = 2
	// bodyConnMemory is about what the connection of a body and the buffers for reading it take, in bytes: two stacks
	// of 8 KB at most and two buffers of 4 KB.
	bodyConnMemory Bytes = 24 << 10
	// bodyPeriod is the time over which the rate of a body is measured. A segment that is lost on the way takes
	// TCP 0.2 s or more.
	bodyPeriod = 500 * time.Millisecond
	// slowBody is the rate below which a body may be rejected for others, in bytes per period. 16 KB a second is an
	// eighth of what each of ten bodies of 4 MB gets on a link of 10 Mbit/s. If faster ones were rejected as well, none
	// of many that arrive together would be completed.
	slowBody Bytes = 8 << 10
)

// Body is the body of a request. It is set up with Cut, and used with one [Bodies].
type Body struct {
	// Cut ends the reading of the body, without blocking.
	Cut func()

	held      Bytes // memory that is counted, in bytes
	small     bool
	arriving  bool
	rejected  bool
	since     time.Time
	period    time.Time // begin of the current period
	now, last Bytes     // bytes received in the current period and in the one before it
}

// add counts received bytes.
func (a *Body) add(now time.Time, n Bytes) {
	a.advance(now)
	a.now += n
}

// advance begins a new period if the current one is over.
func (a *Body) advance(now time.Time) {
	switch age := now.Sub(a.period); {
	case age < bodyPeriod:
	case age < 2*bodyPeriod:
		a.period, a.last, a.now = a.period.Add(bodyPeriod), a.now, 0
	default:
		a.period, a.last, a.now = now, 0, 0
	}
}

// recent returns how many bytes were received in the current period and in the one before it.
func (a *Body) recent(now time.Time) Bytes {
	a.advance(now)
	return a.last + a.now
}

// slow reports whether a body may be rejected for others.
func (a *Body) slow(now time.Time) bool {
	return now.Sub(a.since) >= bodyPeriod && a.recent(now) < slowBody
}

// Bodies decides which bodies of requests get room, without I/O. The zero value holds none.
type Bodies struct {
	mu       sync.Mutex
	large    Bytes // memory of large bodies, in bytes
	small    Bytes // memory of small ones that arrive, in bytes
	arriving map[*Body]struct{}
}

// Take takes the memory for a body of size bytes, in place of what a held before. If there is no room, it rejects the
// slowest of the bodies that arrive, as long as one is slow. It returns false if that does not help, or if a was
// rejected itself.
func (b *Bodies) Take(now time.Time, a *Body, size Bytes, l BodyLimits) bool {
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
		v.Cut()
	}
	return false
}

// short returns nil if there is room for a body, or else which bodies make room by their rejection.
func (b *Bodies) short(a *Body, size Bytes, l BodyLimits) (helps func(*Body) bool) {
	small := size <= SmallBody
	others, limit := b.large, l.Memory
	if small {
		others, limit = b.small, l.Memory/smallShare
	}
	if a.small == small {
		others -= a.held
	}
	switch {
	case limit > 0 && others > 0 && others+size+bodyConnMemory > limit:
		return func(v *Body) bool { return v.small == small }
	case !a.arriving && l.Unfinished > 0 && len(b.arriving) >= l.Unfinished:
		return func(*Body) bool { return true }
	}
	return nil
}

// hold sets the memory of a body that arrives.
func (b *Bodies) hold(now time.Time, a *Body, size Bytes) {
	if !a.arriving {
		a.arriving, a.since, a.period = true, now, now
		if b.arriving == nil {
			b.arriving = make(map[*Body]struct{})
		}
		b.arriving[a] = struct{}{}
	}
	b.count(a, -a.held)
	a.small, a.held = size <= SmallBody, size+bodyConnMemory
	b.count(a, a.held)
}

func (b *Bodies) count(a *Body, n Bytes) {
	if a.small {
		b.small += n
	} else {
		b.large += n
	}
}

// slowest returns the slowest of the bodies that arrive and help, other than one; nil if none is slow.
func (b *Bodies) slowest(now time.Time, other *Body, helps func(*Body) bool) *Body {
	var found *Body
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

// Received counts bytes of a body.
func (b *Bodies) Received(now time.Time, a *Body, n Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.add(now, n)
}

// Finish records that a body is no longer read. It returns false if the body was rejected.
func (b *Bodies) Finish(a *Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.arriving {
		return !a.rejected
	}
	delete(b.arriving, a)
	a.arriving = false
	freed := bodyConnMemory
	if a.small {
		freed = a.held
	}
	b.count(a, -freed)
	a.held -= freed
	return true
}

// Rejected reports whether a body was rejected for others.
func (b *Bodies) Rejected(a *Body) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.rejected
}

// Release gives back all memory of a body.
func (b *Bodies) Release(a *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(a)
}

// drop removes a body. The caller holds b.mu.
func (b *Bodies) drop(a *Body) {
	b.count(a, -a.held)
	a.held, a.arriving = 0, false
	delete(b.arriving, a)
}
