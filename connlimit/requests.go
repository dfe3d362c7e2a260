package connlimit

import (
	"errors"
	"io"
	"net/http"
	"time"

	"quetzalhold/result"
)

// BodyPolicy limits bodies of requests. Handlers may set other deadlines for reading. The zero value sets no limit.
type BodyPolicy struct {
	// Total is the time from the head to the end of the body; 0 for no limit.
	Total time.Duration
	// Stall is the time without any byte of the body; 0 for no limit.
	Stall time.Duration
	// Limits bound all bodies while they arrive. It is left empty for handlers that use [Bodies] themselves.
	Limits BodyLimits
}

// unusedWait is how long the rest of a body may take that the handler has not read. It delays the answer, as net/http
// reads up to 256 KB before it sends one.
const unusedWait = time.Second

// retryDelay is when a request may be repeated that got no room for its body. Bodies give way after as long.
const retryDelay = 2 * bodyPeriod

// limitBodies returns a handler whose requests' bodies are limited. Without a limit net/http waits forever for the rest
// of a body that a handler has not read.
func (l *Limiter) limitBodies(p BodyPolicy, next http.Handler) http.Handler {
	wait := p.Total
	if wait == 0 {
		wait = p.Stall
	}
	if wait == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &limitedBody{ReadCloser: r.Body, limiter: l, policy: p, control: http.NewResponseController(w), size: SmallBody}
		b.conn, _ = r.Context().Value(connKey{}).(*Conn)
		if r.ContentLength >= 0 {
			b.size = Bytes(r.ContentLength)
		}
		b.room.Cut = func() { b.setDeadline(time.Now()) }
		b.setDeadline(time.Now().Add(wait))
		defer b.end()
		if err := b.take(); err != nil {
			w.Header().Set("Connection", "close")
			result.Write(w, err)
			return
		}
		r = r.WithContext(r.Context()) // a copy: net/http has to see its own body
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// limitedBody is a body with a limit on the time in which it arrives, which is counted as it does.
type limitedBody struct {
	io.ReadCloser
	limiter *Limiter
	conn    *Conn // nil if it is not one of the limiter
	policy  BodyPolicy
	control *http.ResponseController
	room    Body
	size    Bytes // that is counted
	read    Bytes
	ended   bool
}

// take takes the memory for the body.
func (b *limitedBody) take() error {
	if b.policy.Limits == (BodyLimits{}) {
		return nil
	}
	if !b.limiter.bodies.Take(time.Now(), &b.room, b.size, b.policy.Limits) {
		b.limiter.apply(func(time.Time) []Closing { return []Closing{{Reason: NoBodyRoom}} })
		return result.New(result.Overloaded, "no room for a body of %d bytes", b.size).AsNotRun().WithRetryAt(time.Now().Add(retryDelay))
	}
	return nil
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.policy.Stall > 0 {
		b.setDeadline(time.Now().Add(b.policy.Stall))
	}
	if b.limiter.bodies.Rejected(&b.room) { // the deadline that ends the read may have been replaced
		return 0, b.take()
	}
	n, err := b.ReadCloser.Read(p)
	b.read += Bytes(n)
	b.limiter.bodies.Received(time.Now(), &b.room, Bytes(n))
	for err == nil && b.read > b.size {
		b.size *= 2
		if err := b.take(); err != nil {
			return n, err
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
		b.setDeadline(time.Time{}) // it would end the request while it is answered
		b.limiter.bodies.Release(&b.room)
	case err != nil && b.limiter.bodies.Rejected(&b.room):
		return n, b.take()
	}
	return n, err
}

// end ends the use of the body.
func (b *limitedBody) end() {
	b.limiter.bodies.Release(&b.room)
	hijacked := b.conn != nil && b.conn.hijacked.Load()
	if !b.ended && !hijacked {
		b.setDeadline(time.Now().Add(unusedWait))
	}
}

func (b *limitedBody) setDeadline(at time.Time) {
	// Not every ResponseWriter supports deadlines; httptest.ResponseRecorder doesn't.
	_ = b.control.SetReadDeadline(at)
}
