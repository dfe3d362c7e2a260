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
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/settings"
	"quetzalhold/telemetry"
)

// Server serves callers' requests for answers of model engines. Its function
// fields connect it to the rest of the entry VM. All fields but Guard must be set.
type Server struct {
	// Configuration returns the configuration in force.
	Configuration func() *operator.Configuration
	// Run runs a generation on engines; usually [engine.Runner.Run].
	Run func(context.Context, engine.Job, engine.Sink) error
	// Version returns the version of the deployment that a request runs on.
	Version func(*operator.Deployment, engine.RequestID) engine.Version
	// OnOutcome is called with the outcome of each request on an engine.
	OnOutcome func(Outcome)
	// OnStep is called with each step of a request, for its history.
	OnStep func(engine.Step)
	// Guard returns what keeps a request of a deployment from engines if it crashes
	// them; if it is nil, nothing does.
	Guard func(routing.ServiceName, engine.RequestID, quarantine.Fingerprint) engine.Guard
	// Gate admits answers and charges their tokens to organisations.
	Gate *limit.Gate
	// Domains returns the number of failure domains.
	Domains func() int
	// Stopping reports whether the entry VM rejects new requests.
	Stopping func() bool
	// Sealer seals and opens the cursors of answers.
	Sealer *Sealer
	// Telemetry records logs, spans and metrics.
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

// Deadline returns the time in a request's HeaderDeadline, or the zero time if
// it has none. It fails with BadDeadline, or with DeadlinePassed if the time is
// not after now.
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
	var refused *result.Error
	switch {
	case errors.As(err, &refused):
		return nil, refused // no room for the body
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "over %d bytes", limit).AsNotRun()
	case err != nil:
		return nil, result.Wrap(result.BadRequest, err, "read body").AsNotRun()
	}
	return b, nil
}

// request is a caller's request for an answer, with the configuration that
// applies to it.
type request struct {
	id         engine.RequestID
	style      Style
	body       CompletionRequest
	org        *operator.Organisation
	deployment *operator.Deployment
	preset     *operator.Preset
	deadline   time.Time
	cursor     *Cursor    // nil unless an answer is to be resumed
	digest     TextDigest // of model and prompt
	receivedAt time.Time
}

// answer handles a request for an answer.
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

// report logs and counts a finished request; q is nil if it was not accepted.
func (s *Server) report(q *request, err error) {
	c := result.CodeOf(err)
	s.Telemetry.Metrics.RequestEnded(c)
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

// accept reads and validates a request, and looks up its organisation, preset
// and deployment.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, style Style) (*request, error) {
	now := time.Now()
	if s.Stopping() {
		return nil, result.New(result.Stopping, "no new requests").AsNotRun().WithRetryAt(now)
	}
	cfg := s.Configuration()
	if cfg.Registry() == nil {
		return nil, result.New(result.NoConfiguration, "nothing was read yet").AsNotRun().WithRetryAt(now.Add(time.Second))
	}
	q := &request{style: style, receivedAt: now}
	var err error
	if q.org, err = cfg.Organisation(operator.BearerToken(r)); err != nil {
		return nil, err
	}
	if q.deadline, err = Deadline(r, now); err != nil {
		return nil, err
	}
	body, err := ReadBody(w, r, s.Limits.WithDefaults().MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, &q.body); err != nil {
		return nil, result.Wrap(result.BadRequest, err, "decode body").AsNotRun()
	}
	if err := q.body.Validate(style); err != nil {
		return nil, err
	}
	if q.preset = cfg.InForce(); q.preset == nil {
		return nil, result.New(result.NoPreset, "no preset is in force").AsNotRun().WithRetryAt(now.Add(time.Second))
	}
	if _, q.deployment, err = cfg.Route(q.body.Model, q.org.Names.Code); err != nil {
		return nil, err
	}
	q.digest = DigestText(string(q.body.Model) + "\x00" + q.body.PromptText(style))
	return q, s.readCursor(r, q)
}

// readCursor opens the cursor at which the caller wants to resume its answer,
// if it sent one; otherwise it gives the request a new id.
func (s *Server) readCursor(r *http.Request, q *request) error {
	text := r.Header.Get(HeaderLastEvent)
	if text == "" {
		q.id = engine.RequestID(uuid.NewString())
		return nil
	}
	c, err := s.Sealer.Open(text)
	if err != nil {
		return err
	}
	if c.Organisation != q.org.Names.Code || c.PromptDigest != q.digest {
		return result.New(result.CursorMismatch, "request %s", c.Request)
	}
	q.id = c.Request
	q.cursor = &c
	return nil
}

func (s *Server) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) error {
	// Heartbeats start before the request waits for admission: a caller that
	// receives nothing would assume that this entry VM has failed.
	var out output
	if q.body.Stream {
		out = newStreamOutput(w, r, s.Limits.WithDefaults())
	} else {
		out = newWholeOutput(w, r)
	}
	defer out.close()
	err := s.deliver(ctx, q, out)
	if err != nil {
		out.fail(result.FromError(err))
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
	s.Telemetry.Metrics.AnswerOpened()
	defer s.Telemetry.Metrics.AnswerClosed()
	s.note(q, "accept", string(q.org.Names.Code), d.answer.Next())
	if err := d.run(ctx); err != nil {
		s.note(q, "failed", err.Error(), d.answer.Next())
		return err
	}
	s.note(q, "delivered", string(d.answer.Finish()), d.answer.Next())
	return nil
}

// note adds a step to the history of q.
func (s *Server) note(q *request, event, reason string, at engine.Tokens) {
	s.OnStep(engine.Step{At: time.Now(), Request: q.id, Event: event, Reason: reason, Offset: at})
}

// models lists the models that the caller's organisation may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	cfg := s.Configuration()
	org, err := cfg.Organisation(operator.BearerToken(r))
	if err != nil {
		result.Write(w, err)
		return
	}
	list := ModelList{Object: "list", Data: []ModelEntry{}}
	for _, m := range cfg.Models(org.Names.Code) {
		list.Data = append(list.Data, ModelEntry{ID: m, Object: "model", OwnedBy: "quetzalhold"})
	}
	w.Header().Set("Content-Type", "application/json")
	// Nobody is left to report an error to if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}

// admission returns the description of a request for the gate.
func (s *Server) admission(q *request) limit.Request {
	return limit.Request{
		Organisation: q.org.Names.Code,
		Weight:       q.org.Weight(),
		Cost:         engine.CountTokens(q.body.PromptText(q.style)) + q.body.TokenLimit(q.preset.MaxTokens),
		Deadline:     q.deadline,
		Resumed:      q.cursor != nil,
		MaxAnswers:   q.org.MaxAnswers,
		Limits:       q.org.Limits(q.preset),
		Domains:      s.Domains(),
	}
}

// seedOf returns the seed that q states, or else one derived from the request's
// id and the generation.
func seedOf(q *CompletionRequest, id engine.RequestID, g Generation) uint64 {
	if q.Seed != nil {
		return *q.Seed
	}
	return xxhash.Sum64String(string(id)) + uint64(g)
}

// guard returns the guard of a request. Callers that repeat a request repeat its prompt, but not
// always its other fields.
func (s *Server) guard(q *request, deployment string) engine.Guard {
	if s.Guard == nil {
		return engine.Guard{}
	}
	f := quarantine.NewFingerprint(routing.Organisation(q.org.Names.Code), http.MethodPost, deployment, []byte(q.body.PromptText(q.style)))
	return s.Guard(routing.ServiceName(deployment), q.id, f)
}
