package standin

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/tmaxmax/go-sse"

	"quetzalhold/engine"
)

// reader sends a stream's events to a client over one connection.
type reader struct {
	engine  *Engine
	stream  *stream
	attempt engine.Attempt
	next    engine.Tokens // position of the next token to send
	session *sse.Session
	conn    *readerConn
}

// progress is what a stream has for a reader at one moment.
type progress struct {
	tokens     []string            // not sent yet
	done       engine.FinishReason // empty while the stream runs
	superseded bool                // a later attempt reads the stream
	changed    <-chan struct{}     // closed at the stream's next change
}

// run sends events until the stream ends, a later attempt attaches, or ctx ends.
func (r *reader) run(ctx context.Context) {
	if r.session.Flush() != nil {
		return
	}
	for {
		p := r.snapshot()
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

// snapshot returns the stream's current progress for this reader.
func (r *reader) snapshot() progress {
	st := r.stream
	st.mu.Lock()
	defer st.mu.Unlock()
	p := progress{changed: st.changed, superseded: st.readerAttempt != r.attempt}
	if have := st.start.Offset + engine.Tokens(len(st.tokens)); r.next < have {
		p.tokens = st.tokens[r.next-st.start.Offset:]
	}
	p.done = st.done
	return p
}

// send sends one event, altered or held back by the faults in force.
func (r *reader) send(ctx context.Context, kind string, ev engine.StreamEvent) error {
	f := &r.engine.faults
	if err := f.wait(ctx, r.engine.ctx); err != nil {
		return err
	}
	if r.conn.muted() {
		// Keep the connection open, so that the client does not see it close.
		<-ctx.Done()
		return ctx.Err()
	}
	ev.Stream = r.stream.start.Stream
	if f.consume(&f.skip) {
		ev.Offset++
	}
	if f.consume(&f.cross) {
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
