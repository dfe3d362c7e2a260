package caller

import (
	"context"
	"time"

	"quetzalhold/engine"
	"quetzalhold/operator"
	"quetzalhold/result"
)

// delivery sends one answer from the engines to its caller.
type delivery struct {
	server    *Server
	q         *request
	out       output
	answer    *Answer
	formatter Formatter
	cursor    Cursor // at the last token delivered

	uncharged   engine.Tokens // tokens not yet charged to the organisation
	lastTokenAt time.Time
	lastAttempt engine.Attempt
	timeToFirst time.Duration // from receipt of the request to the first token
	gapSum      time.Duration
	gapCount    int
}

// Outcome is how a request ended on one engine.
type Outcome struct {
	Deployment string
	Route      operator.Model
	Version    engine.Version
	Server     engine.ServerID
	Failed     bool
	FirstToken time.Duration // time to the first token; 0 if there was none
	TokenGap   time.Duration // mean time between tokens
}

func (d *delivery) outcome(server engine.ServerID, failed bool) Outcome {
	e := Outcome{
		Deployment: d.cursor.Deployment,
		Route:      d.q.body.Model,
		Version:    d.cursor.Version,
		Server:     server,
		Failed:     failed,
		FirstToken: d.timeToFirst,
	}
	if d.gapCount > 0 {
		e.TokenGap = d.gapSum / time.Duration(d.gapCount)
	}
	return e
}

// newDelivery returns the delivery of q's answer. It continues at the cursor of
// q if there is one.
func (s *Server) newDelivery(q *request, out output) (*delivery, error) {
	d := &delivery{
		server:    s,
		q:         q,
		out:       out,
		answer:    NewAnswer(!q.body.Stream),
		formatter: Formatter{ID: q.id, Style: q.style, Model: q.body.Model, Created: q.receivedAt},
	}
	if q.cursor == nil {
		d.cursor = Cursor{
			Request:      q.id,
			Organisation: q.org.Names.Code,
			Deployment:   string(q.deployment.Name),
			Version:      s.Version(q.deployment, q.id),
			Adapter:      q.deployment.Adapter,
			Seed:         seedOf(&q.body, q.id, 0),
			PromptDigest: q.digest,
			MaxTokens:    q.body.TokenLimit(q.preset.MaxTokens),
		}
		return d, nil
	}
	d.cursor = *q.cursor
	var err error
	d.answer, err = ResumeAnswer(*q.cursor, q.body.Received)
	return d, err
}

// run runs generations until one has delivered the whole answer. It starts
// another one only if nothing was delivered and the request now goes to another
// version or adapter of its deployment.
func (d *delivery) run(ctx context.Context) error {
	if d.q.cursor == nil {
		d.uncharged = engine.CountTokens(d.q.body.PromptText(d.q.style))
	}
	defer d.charge()
	for {
		err := d.generate(ctx)
		if err == nil || !d.restart(err) {
			return err
		}
	}
}

// generate runs the current generation.
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
		Prompt:    d.q.body.PromptText(d.q.style),
		Seed:      c.Seed,
		MaxTokens: c.MaxTokens,
		Priority:  d.q.org.Priority,
		Deadline:  d.q.deadline,
		OnFailure: func(server engine.ServerID, _ result.Code) {
			d.server.OnOutcome(d.outcome(server, true))
		},
	}
	j.Guard = d.server.guard(d.q, c.Deployment)
	if c.Version != d.q.deployment.Version {
		j.MaxFailures = maxNewVersionFailures
	}
	if d.q.cursor != nil {
		j.Resume = d.resumePoint()
	}
	return j
}

// resumePoint returns the engine connection and the position at which the
// answer was interrupted.
func (d *delivery) resumePoint() *engine.ResumePoint {
	c := d.q.cursor
	p := &engine.ResumePoint{
		Connection: engine.Connection{Attempt: c.Attempt, Server: c.Server, Stream: c.Stream},
		Offset:     c.Offset,
		TextKnown:  d.q.body.Received != nil || c.Offset == 0,
	}
	for _, token := range d.q.body.Received {
		p.Text += token
	}
	return p
}

// deliver adds one piece to the answer, advances the cursor and sends the piece
// to the caller.
func (d *delivery) deliver(g Generation, piece engine.Delta) error {
	if err := d.answer.Append(g, piece); err != nil {
		return err
	}
	d.measure(piece)
	if piece.Finish == "" {
		d.uncharged++
	}
	if d.uncharged >= chargeBatch {
		d.charge()
	}
	d.cursor.Server = piece.From.Server
	d.cursor.Stream = piece.From.Stream
	d.cursor.Attempt = piece.From.Attempt
	d.cursor.Generation = g
	d.cursor.Offset = d.answer.Next()
	d.cursor.AnswerDigest = d.answer.Digest()
	id, err := d.server.Sealer.Seal(d.cursor)
	if err != nil {
		return err
	}
	if piece.Finish != "" {
		d.server.OnOutcome(d.outcome(piece.From.Server, false))
		return d.out.finish(id, d.formatter, piece, d.answer.Text(), d.usage())
	}
	return d.out.piece(id, d.formatter, piece)
}

// chargeBatch is how many delivered tokens are charged to the organisation at
// once.
const chargeBatch engine.Tokens = 16

// charge deducts the uncharged tokens from the organisation's share.
func (d *delivery) charge() {
	d.server.Gate.Charge(d.q.org.Names.Code, d.uncharged)
	d.uncharged = 0
}

func (d *delivery) usage() Usage {
	p := engine.CountTokens(d.q.body.PromptText(d.q.style))
	n := d.answer.Next()
	return Usage{PromptTokens: p, CompletionTokens: n, TotalTokens: p + n}
}

// measure records the time to the first token, the time between tokens, and
// that between the last token of one attempt and the first of the next.
func (d *delivery) measure(piece engine.Delta) {
	now := time.Now()
	m := d.server.Telemetry.Metrics
	switch {
	case piece.Finish != "":
		return
	case d.lastTokenAt.IsZero():
		d.timeToFirst = now.Sub(d.q.receivedAt)
		m.FirstToken(d.timeToFirst)
	default:
		m.TokenGap(now.Sub(d.lastTokenAt))
		d.gapSum += now.Sub(d.lastTokenAt)
		d.gapCount++
		if piece.From.Attempt != d.lastAttempt {
			m.StreamResumed(now.Sub(d.lastTokenAt))
		}
	}
	d.lastTokenAt = now
	d.lastAttempt = piece.From.Attempt
}

// maxNewVersionFailures is how many engines may fail a request on the version
// that its deployment is moving to, before the request falls back to the old
// version.
const maxNewVersionFailures = 2

// restart reports whether the request may run again after err, and if so
// prepares the next generation. The request may run again if nothing was
// delivered, err is NoServer or EngineRefused, and there is another version or
// adapter to run on.
func (d *delivery) restart(err error) bool {
	code := result.CodeOf(err)
	if d.answer.Next() > 0 || code != result.NoServer && code != result.EngineRefused {
		return false
	}
	_, dep, routeErr := d.server.Configuration().Route(d.q.body.Model, d.q.org.Names.Code)
	if routeErr != nil {
		return false
	}
	version := d.server.Version(dep, d.q.id)
	if version == d.cursor.Version {
		// The new version failed for this request; fall back to the old one.
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
	d.cursor.Seed = seedOf(&d.q.body, d.q.id, d.answer.Generation())
	return true
}
