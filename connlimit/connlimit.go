// Package connlimit bounds what clients may hold of a process before they have sent a complete request: the size of
// each request head, the memory of all unfinished heads, and the number of connections without a request. [Table]
// decides without I/O; [Limiter] applies its decisions to the connections of http.Servers.
package connlimit

import "cmp"

//go:generate go tool -modfile=../tools/go.mod stringer -type=Reason -linecomment -output=reason_string.go

// Bytes is a size in bytes.
type Bytes int64

// ConnID identifies a connection within a process. Later connections have larger ids.
type ConnID uint64

// Reason is why a connection is closed.
type Reason int

// The reasons.
const (
	// HeadTooLarge is for a head above the limit on single heads.
	HeadTooLarge Reason = iota // headTooLarge
	// HeadMemory is for the largest head while all unfinished heads take too much memory.
	HeadMemory // headMemory
	// InHead, Silent, Kept and Newest are for a connection while there are too many without a request: one with an
	// unfinished head, one that has sent nothing, one that was kept after a request, or the one that came last.
	InHead // inHead
	Silent // silent
	Kept   // kept
	Newest // newest
	// NoBodyRoom is for a body that gets no room, or gives way to others.
	NoBodyRoom // noBodyRoom
	reasons
)

// Limits are the bounds over all connections of a process. A field that is 0 sets no bound.
type Limits struct {
	// HeadMemory bounds the memory of unfinished heads. There is always room for one head.
	HeadMemory Bytes
	// Connections bounds the connections without a complete request.
	Connections int
}

// The shares and sizes from which default limits are derived.
const (
	// headMemoryShare is the divisor of the memory limit. A twentieth of the smallest entry VM's 88 MB holds 150 heads
	// of 28 KB, while an ordinary head is unfinished for milliseconds.
	headMemoryShare = 20
	// connMemoryShare is the divisor of the memory limit for connections without a request. With the shares for
	// bodies (0.3), answers (0.1) and heads, 0.35 of the memory remains.
	connMemoryShare = 5
	// connMemory is about what net/http holds for a connection: two stacks of 8 KB at most and two buffers of 4 KB.
	connMemory Bytes = 20 << 10
	// descriptorShare is the divisor of the limit on descriptors: a request takes two of the remaining ones.
	descriptorShare = 3
	// The limits where the process does not know its own: a fifth of what the largest entry VM has would be 5,000
	// connections.
	unknownHeadMemory  Bytes = 16_000_000
	unknownConnections int   = 4000
)

// DefaultLimits returns the limits of a process with a limit on its memory and its descriptors; 0 stands for an unknown
// one.
func DefaultLimits(memory Bytes, maxFDs int) Limits {
	l := Limits{HeadMemory: cmp.Or(memory/headMemoryShare, unknownHeadMemory), Connections: unknownConnections}
	if memory > 0 {
		l.Connections = int(memory / connMemoryShare / connMemory)
	}
	if maxFDs > 0 {
		l.Connections = min(l.Connections, maxFDs/descriptorShare)
	}
	l.Connections = max(1, l.Connections)
	return l
}

// Or returns the limits with those that are 0 taken from others.
func (l Limits) Or(others Limits) Limits {
	return Limits{HeadMemory: cmp.Or(l.HeadMemory, others.HeadMemory), Connections: cmp.Or(l.Connections, others.Connections)}
}

// Limits of single heads.
const (
	// CallerHead is the default for callers, which is that of net/http.
	CallerHead Bytes = 1 << 20
	// ProbeHead is the default for addresses that serve probes and scrapes, whose heads have some hundred bytes.
	ProbeHead Bytes = 64 << 10
	// requestLine is the length of a request line that RFC 9112 recommends to support, for what a limit on headers
	// does not count.
	requestLine Bytes = 8000
	// readAhead is the size of the buffer into which net/http reads a head and what follows it.
	readAhead Bytes = 4 << 10
)

// UnknownBodyMemory is the memory for bodies of a process that does not know its own limit: sixty of the default maximum
// of 1 MiB.
const UnknownBodyMemory Bytes = 64_000_000

// HeadLimit returns the limit on the bytes read for a head whose headers may have some size.
func HeadLimit(headers Bytes) Bytes { return headers + requestLine + readAhead }
