package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"quetzalhold/engine"
	"quetzalhold/limit"
	"quetzalhold/names"
	"quetzalhold/operator"
	"quetzalhold/result"
	"quetzalhold/settings"
	"quetzalhold/telemetry"
)

// Server serves callers' requests for answers. The function fields are its
// seams to the rest of the entry VM; all must be set.
type Server struct {
	// Configuration returns the configuration in force.
	Configuration func() *operator.Configuration
	// Run runs a generation; usually [engine.Runner.Run].
	Run func(context.Context, engine.Job, engine.Sink) error
	// Version returns the version of a deployment that a request goes to.
	Version func(*operator.Deployment, engine.RequestID) engine.Version
	// Observe is told how requests ended on engines.
	Observe func(Ended)
	// Note is told of each step of a request.
	Note func(engine.Step)
	// Gate admits answers.
	Gate *limit.Gate
	// Domains returns the number of failure domains.
	Domains func() int
	// Stopping reports whether the entry VM takes no new requests.
	Stopping func() bool
	// Sealer seals the cursors.
	Sealer *Sealer
	// Telemetry takes logs, spans and metrics.
	Telemetry *telemetry.Telemetry
	// Limits bounds requests.
	Limits settings.Limits
	// Scheme is the naming scheme that logs show first.
	Scheme names.Scheme
}

// Register adds the server's paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, StyleCompletion)
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, StyleChat)
	})
	mux.HandleFunc("GET /v1/models", s.models)
}

// Deadline returns the instant in a request's deadline header; zero if there
// is none. It fails with BadDeadline, or DeadlinePassed.
func Deadline(r *http.Request, now time.Time) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, result.Wrap(result.BadDeadline, err, "%s", HeaderDeadline).AsNotRun()
	}
	if !at.After(now) {
		return at, result.New(result.DeadlinePassed, "the deadline %s is past", text).AsNotRun()
	}
	return at, nil
}

// ReadBody reads a request's body of at most limit bytes. It fails with
// BodyTooLarge.
func ReadBody(w http.ResponseWriter, r *http.Request, limit settings.Bytes) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "over %d bytes", limit).AsNotRun()
	case err != nil:
		return nil, result.Wrap(result.BadRequest, err, "read body").AsNotRun()
	}
	return b, nil
}

// request is one request for an answer on its way through the server.
type request struct {
	id         engine.RequestID
	style      Style
	question   Question
	org        *operator.Organisation
	deployment *operator.Deployment
	preset     *operator.Preset
	deadline   time.Time
	cursor     *Cursor
	digest     TextDigest // of what is asked
	receivedAt time.Time
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, style Style) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Telemetry.Tracer.Start(ctx, "caller answer", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	q, err := s.accept(w, r, style)
	if err == nil {
		span.SetAttributes(
			attribute.String("request", string(q.id)),
			attribute.String("organisation", string(q.org.Names.Code)),
		)
		w.Header().Set(HeaderRequestID, string(q.id))
		err = s.serve(ctx, w, r, q)
	} else {
		result.Write(w, err)
	}
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	s.report(q, err)
}

// report logs and counts an ended request.
func (s *Server) report(q *request, err error) {
	c := result.CodeOf(err)
	s.Telemetry.Metrics.Ended(c)
	if c == result.InvariantBroken {
		s.Telemetry.Metrics.Violation()
	}
	fields := []zap.Field{zap.Int("code", int(c)), zap.String("result", c.String())}
	if q != nil {
		reg := s.Configuration().Registry()
		fields = append(fields,
			zap.String("request", string(q.id)),
			zap.Duration("took", time.Since(q.receivedAt)),
			telemetry.Name("organisation", reg, names.Organisation, q.org.Names.Code, s.Scheme),
		)
	}
	if err != nil {
		s.Telemetry.Log.Warn("answer failed", append(fields, zap.Error(err))...)
		return
	}
	s.Telemetry.Log.Info("answer delivered", fields...)
}

// accept reads and checks a request.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, style Style) (*request, error) {
	now := time.Now()
	if s.Stopping() {
		return nil, result.New(result.Stopping, "no new requests").AsNotRun().At(now)
	}
	cfg := s.Configuration()
	if cfg.Registry() == nil {
		return nil, result.New(result.NoConfiguration, "nothing was read yet").AsNotRun().At(now.Add(time.Second))
	}
	q := &request{style: style, receivedAt: now}
	var err error
	if q.org, err = cfg.Organisation(operator.BearerKey(r)); err != nil {
		return nil, err
	}
	if q.deadline, err = Deadline(r, now); err != nil {
		return nil, err
	}
	body, err := ReadBody(w, r, s.Limits.WithDefaults().MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, &q.question); err != nil {
		return nil, result.Wrap(result.BadRequest, err, "decode body").AsNotRun()
	}
	if err := q.question.Check(style); err != nil {
		return nil, err
	}
	if q.preset = cfg.InForce(); q.preset == nil {
		return nil, result.New(result.NoPreset, "no preset is in force").AsNotRun().At(now.Add(time.Second))
	}
	if _, q.deployment, err = cfg.Route(q.question.Model, q.org.Names.Code); err != nil {
		return nil, err
	}
	q.digest = DigestText(string(q.question.Model) + "\x00" + q.question.Text(style))
	return q, s.takeCursor(r, q)
}

// takeCursor reads the position from which the caller wants its answer to go
// on, if it sent one, or names a new request.
func (s *Server) takeCursor(r *http.Request, q *request) error {
	text := r.Header.Get(HeaderLastEvent)
	if text == "" {
		q.id = engine.RequestID(uuid.NewString())
		return nil
	}
	c, err := s.Sealer.Open(text)
	if err != nil {
		return err
	}
	if c.Organisation != q.org.Names.Code || c.Question != q.digest {
		return result.New(result.CursorMismatch, "request %s", c.Request)
	}
	q.id = c.Request
	q.cursor = &c
	return nil
}

func (s *Server) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) error {
	// The heartbeats begin before the wait for admission: a caller that hears
	// nothing would give this entry VM up.
	var out output
	if q.question.Stream {
		out = newStreamOutput(w, r, s.Limits.WithDefaults())
	} else {
		out = newWholeOutput(w, r)
	}
	defer out.close()
	err := s.deliver(ctx, q, out)
	if err != nil {
		out.fail(result.Of(err))
	}
	return err
}

// deliver admits a request and delivers its answer.
func (s *Server) deliver(ctx context.Context, q *request, out output) error {
	d, err := s.newDelivery(q, out)
	if err != nil {
		return err
	}
	release, err := s.Gate.Enter(ctx, s.admission(q))
	if err != nil {
		return err
	}
	defer release()
	s.Telemetry.Metrics.Opened()
	defer s.Telemetry.Metrics.Closed()
	s.note(q, "accept", string(q.org.Names.Code), d.answer.Next())
	if err := d.run(ctx); err != nil {
		s.note(q, "failed", err.Error(), d.answer.Next())
		return err
	}
	s.note(q, "delivered", string(d.answer.Finish()), d.answer.Next())
	return nil
}

func (s *Server) note(q *request, what, why string, at engine.Tokens) {
	s.Note(engine.Step{At: time.Now(), Request: q.id, Event: what, Reason: why, Offset: at})
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	cfg := s.Configuration()
	org, err := cfg.Organisation(operator.BearerKey(r))
	if err != nil {
		result.Write(w, err)
		return
	}
	list := ModelList{Object: "list", Data: []ModelEntry{}}
	for _, m := range cfg.Models(org.Names.Code) {
		list.Data = append(list.Data, ModelEntry{ID: m, Object: "model", OwnedBy: "quetzalhold"})
	}
	w.Header().Set("Content-Type", "application/json")
	// The connection may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(list)
}

// admission describes a request to the gate.
func (s *Server) admission(q *request) limit.Request {
	return limit.Request{
		Organisation: q.org.Names.Code,
		Weight:       q.org.Weight(),
		Cost:         engine.CountTokens(q.question.Text(q.style)) + q.question.Limit(q.preset.MaxTokens),
		Deadline:     q.deadline,
		Resumed:      q.cursor != nil,
		MaxAnswers:   q.org.MaxAnswers,
		Limits:       q.org.Limits(q.preset),
		Domains:      s.Domains(),
	}
}

// seedOf returns the seed of a question that states none.
func seedOf(q *Question, id engine.RequestID, g Generation) uint64 {
	if q.Seed != nil {
		return *q.Seed
	}
	return xxhash.Sum64String(string(id)) + uint64(g)
}
