package standin

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/tmaxmax/go-sse"

	"quetzalhold/engine"
)

// reader sends a stream's events over one connection.
type reader struct {
	engine  *Engine
	stream  *stream
	attempt engine.Attempt
	next    engine.Tokens
	session *sse.Session
	link    *link
}

// progress is what a reader has to send next.
type progress struct {
	tokens     []string
	done       engine.FinishReason
	superseded bool
	changed    <-chan struct{}
}

// run sends until the stream ends, a later attempt reads it, or ctx ends.
func (r *reader) run(ctx context.Context) {
	if r.session.Flush() != nil {
		return
	}
	for {
		p := r.look()
		if p.superseded {
			_ = r.send(ctx, engine.EventSuperseded, engine.StreamEvent{Offset: r.next})
			return
		}
		for _, t := range p.tokens {
			if r.send(ctx, engine.EventToken, engine.StreamEvent{Offset: r.next, Text: t}) != nil {
				return
			}
			r.next++
		}
		if p.done != "" {
			_ = r.send(ctx, engine.EventEnd, engine.StreamEvent{Offset: r.next, Reason: p.done})
			return
		}
		select {
		case <-p.changed:
		case <-r.stream.ctx.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (r *reader) look() progress {
	st := r.stream
	st.mu.Lock()
	defer st.mu.Unlock()
	p := progress{changed: st.changed, superseded: st.reader != r.attempt}
	if have := st.start.Offset + engine.Tokens(len(st.tokens)); r.next < have {
		p.tokens = st.tokens[r.next-st.start.Offset:]
	}
	p.done = st.done
	return p
}

// send writes one event, unless a fault holds it back.
func (r *reader) send(ctx context.Context, kind string, ev engine.StreamEvent) error {
	f := &r.engine.faults
	if err := f.wait(ctx, r.engine.ctx); err != nil {
		return err
	}
	if r.link.muted() {
		// The other end must not see the connection close.
		<-ctx.Done()
		return ctx.Err()
	}
	ev.Stream = r.stream.start.Stream
	if f.take(&f.skip) {
		ev.Offset++
	}
	if f.take(&f.cross) {
		ev.Stream += "-other"
		ev.Text = " crossed"
	}
	b, err := json.Marshal(ev)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	m := &sse.Message{Type: sse.Type(kind)}
	m.AppendData(string(b))
	if err := r.session.Send(m); err != nil {
		return err
	}
	return r.session.Flush()
}
