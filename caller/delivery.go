package caller

import (
	"context"
	"time"

	"quetzalhold/engine"
	"quetzalhold/operator"
	"quetzalhold/result"
)

// delivery carries one answer from engines to its caller.
type delivery struct {
	server *Server
	q      *request
	out    output
	answer *Answer
	form   Form
	cursor Cursor // of the last token delivered

	unbilled    engine.Tokens // delivered, not yet taken off the share
	lastAt      time.Time
	lastAttempt engine.Attempt
	firstAfter  time.Duration // of a request that began here
	gaps        time.Duration
	gapCount    int
}

// Ended is how a request ended on an engine.
type Ended struct {
	Deployment string
	Route      operator.Model
	Version    engine.Version
	Server     engine.ServerID
	Failed     bool
	First      time.Duration // to the first token; 0 if it began elsewhere
	Gap        time.Duration // mean time between tokens
}

func (d *delivery) ended(server engine.ServerID, failed bool) Ended {
	e := Ended{
		Deployment: d.cursor.Deployment,
		Route:      d.q.question.Model,
		Version:    d.cursor.Version,
		Server:     server,
		Failed:     failed,
		First:      d.firstAfter,
	}
	if d.gapCount > 0 {
		e.Gap = d.gaps / time.Duration(d.gapCount)
	}
	return e
}

// newDelivery returns the delivery of q's answer, from its cursor if it has
// one.
func (s *Server) newDelivery(q *request, out output) (*delivery, error) {
	d := &delivery{
		server: s,
		q:      q,
		out:    out,
		answer: NewAnswer(!q.question.Stream),
		form:   Form{ID: q.id, Style: q.style, Model: q.question.Model, Created: q.receivedAt},
	}
	if q.cursor == nil {
		d.cursor = Cursor{
			Request:      q.id,
			Organisation: q.org.Names.Code,
			Deployment:   string(q.deployment.Name),
			Version:      s.Version(q.deployment, q.id),
			Adapter:      q.deployment.Adapter,
			Seed:         seedOf(&q.question, q.id, 0),
			Question:     q.digest,
			MaxTokens:    q.question.Limit(q.preset.MaxTokens),
		}
		return d, nil
	}
	d.cursor = *q.cursor
	var err error
	d.answer, err = ResumeAnswer(*q.cursor, q.question.Received)
	return d, err
}

// run runs generations until one has delivered the whole answer. Another one
// is begun only while nothing was delivered, and only if the deployment has
// moved to another version since.
func (d *delivery) run(ctx context.Context) error {
	if d.q.cursor == nil {
		d.unbilled = engine.CountTokens(d.q.question.Text(d.q.style))
	}
	defer d.bill()
	for {
		err := d.generate(ctx)
		if err == nil || !d.restart(err) {
			return err
		}
	}
}

func (d *delivery) generate(ctx context.Context) error {
	g := d.answer.Generation()
	return d.server.Run(ctx, d.job(), func(_ context.Context, piece engine.Delta) error {
		return d.deliver(g, piece)
	})
}

func (d *delivery) job() engine.Job {
	c := d.cursor
	j := engine.Job{
		Request:   c.Request,
		Version:   c.Version,
		Adapter:   c.Adapter,
		Prompt:    d.q.question.Text(d.q.style),
		Seed:      c.Seed,
		MaxTokens: c.MaxTokens,
		Priority:  d.q.org.Priority,
		Deadline:  d.q.deadline,
		OnFailure: func(server engine.ServerID, _ result.Code) {
			d.server.Observe(d.ended(server, true))
		},
	}
	if c.Version != d.q.deployment.Version {
		j.MaxFailures = newVersionFailures
	}
	if d.q.cursor != nil {
		j.Resume = d.resumePoint()
	}
	return j
}

func (d *delivery) resumePoint() *engine.ResumePoint {
	c := d.q.cursor
	p := &engine.ResumePoint{
		Connection: engine.Connection{Attempt: c.Attempt, Server: c.Server, Stream: c.Stream},
		Offset:     c.Offset,
		TextKnown:  d.q.question.Received != nil || c.Offset == 0,
	}
	for _, token := range d.q.question.Received {
		p.Text += token
	}
	return p
}

// deliver hands one piece to the caller.
func (d *delivery) deliver(g Generation, piece engine.Delta) error {
	if err := d.answer.Append(g, piece); err != nil {
		return err
	}
	d.measure(piece)
	if piece.Finish == "" {
		d.unbilled++
	}
	if d.unbilled >= billEvery {
		d.bill()
	}
	d.cursor.Server = piece.From.Server
	d.cursor.Stream = piece.From.Stream
	d.cursor.Attempt = piece.From.Attempt
	d.cursor.Generation = g
	d.cursor.Offset = d.answer.Next()
	d.cursor.Received = d.answer.Digest()
	id, err := d.server.Sealer.Seal(d.cursor)
	if err != nil {
		return err
	}
	if piece.Finish != "" {
		d.server.Observe(d.ended(piece.From.Server, false))
		return d.out.finish(id, d.form, piece, d.answer.Text(), d.usage())
	}
	return d.out.piece(id, d.form, piece)
}

// billEvery is how many tokens are taken off an organisation's share at once.
const billEvery engine.Tokens = 16

// bill takes what was delivered off the organisation's share.
func (d *delivery) bill() {
	d.server.Gate.Charge(d.q.org.Names.Code, d.unbilled)
	d.unbilled = 0
}

func (d *delivery) usage() Usage {
	p := engine.CountTokens(d.q.question.Text(d.q.style))
	n := d.answer.Next()
	return Usage{PromptTokens: p, CompletionTokens: n, TotalTokens: p + n}
}

// measure records the time to the first token, between tokens, and over a
// change of attempt.
func (d *delivery) measure(piece engine.Delta) {
	now := time.Now()
	m := d.server.Telemetry.Metrics
	switch {
	case piece.Finish != "":
		return
	case d.lastAt.IsZero():
		d.firstAfter = now.Sub(d.q.receivedAt)
		m.FirstToken(d.firstAfter)
	default:
		m.TokenGap(now.Sub(d.lastAt))
		d.gaps += now.Sub(d.lastAt)
		d.gapCount++
		if piece.From.Attempt != d.lastAttempt {
			m.StreamResumed(now.Sub(d.lastAt))
		}
	}
	d.lastAt = now
	d.lastAttempt = piece.From.Attempt
}

// newVersionFailures is how many engines may fail at a version that is being
// moved to before the request goes back to the old one.
const newVersionFailures = 2

// restart prepares another generation after err, if that is permitted.
func (d *delivery) restart(err error) bool {
	code := result.CodeOf(err)
	if d.answer.Next() > 0 || code != result.NoServer && code != result.EngineRefused {
		return false
	}
	_, dep, rerr := d.server.Configuration().Route(d.q.question.Model, d.q.org.Names.Code)
	if rerr != nil {
		return false
	}
	version := d.server.Version(dep, d.q.id)
	if version == d.cursor.Version {
		// A request whose new version failed goes back to the old one.
		version = dep.Version
	}
	if version == d.cursor.Version && dep.Adapter == d.cursor.Adapter {
		return false
	}
	if d.answer.Restart() != nil {
		return false
	}
	d.server.note(d.q, "restart", "the deployment has moved on", 0)
	d.q.cursor = nil
	d.cursor.Version = version
	d.cursor.Adapter = dep.Adapter
	d.cursor.Seed = seedOf(&d.q.question, d.q.id, d.answer.Generation())
	return true
}
