package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"quetzalhold/booking"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/operator"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/routing"
	"quetzalhold/service"
	"quetzalhold/settings"
	"quetzalhold/telemetry"
)

// Services serves callers' calls to plain services. All fields but Guard must be
// set.
type Services struct {
	// Configuration returns the configuration in force.
	Configuration func() *operator.Configuration
	// Do sends a call to the service; usually [service.Client.Do].
	Do func(context.Context, *operator.Service, operator.Call, service.Call) (service.Reply, error)
	// Book runs a call that is not idempotent but has an idempotency key, so
	// that it is executed at most once; usually [booking.Runner.Run].
	Book func(context.Context, booking.Booking, func(context.Context) (booking.Answer, error)) (booking.Answer, bool, error)
	// Guard returns what keeps a call from the servers of a service if it crashes
	// them; if it is nil, nothing does.
	Guard func(routing.ServiceName, engine.RequestID, quarantine.Fingerprint) engine.Guard
	// Stopping reports whether the entry VM rejects new requests.
	Stopping func() bool
	// Telemetry records logs, spans and metrics.
	Telemetry *telemetry.Telemetry
	// Limits bounds requests.
	Limits settings.Limits
	// Scheme is the naming scheme that logs show first.
	Scheme names.Scheme
}

// servicesPrefix is the path prefix of calls to plain services.
const servicesPrefix = "/v1/services/"

// Register adds the services' paths to mux.
func (s *Services) Register(mux *http.ServeMux) {
	mux.HandleFunc(servicesPrefix+"{service}/{path...}", s.call)
}

// serviceCall is an accepted call to a plain service.
type serviceCall struct {
	service *operator.Service
	org     *operator.Organisation
	kind    operator.Call // entry of the service's list that matches
	call    service.Call
}

// call handles a call to a plain service.
func (s *Services) call(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Telemetry.Tracer.Start(ctx, "caller service", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	begin := time.Now()
	sc, err := s.accept(w, r)
	var reply service.Reply
	if err == nil {
		span.SetAttributes(attribute.String("request", string(sc.call.Request)))
		w.Header().Set(HeaderRequestID, string(sc.call.Request))
		reply, err = s.run(ctx, sc)
	}
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		result.Write(w, err)
	} else {
		writeReply(w, reply)
	}
	s.report(sc, begin, err)
}

// run executes a call. If the call is not idempotent, it runs under a booking
// record if the caller sent an idempotency key, and is sent only once otherwise.
func (s *Services) run(ctx context.Context, sc *serviceCall) (service.Reply, error) {
	key := sc.call.Header.Get(HeaderIdempotency)
	if sc.kind.Idempotent || key == "" {
		return s.Do(ctx, sc.service, sc.kind, sc.call)
	}
	b := booking.Booking{
		Organisation: sc.org.Names.Code,
		Service:      sc.service.Names.Code,
		Key:          key,
		Call:         []byte(sc.call.Method + " " + routing.CanonicalPath(sc.call.Path) + "\n" + string(sc.call.Body)),
		Deadline:     sc.call.Deadline,
	}
	a, replayed, err := s.Book(ctx, b, func(ctx context.Context) (booking.Answer, error) {
		reply, err := s.Do(ctx, sc.service, sc.kind, sc.call)
		return booking.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body}, err
	})
	s.Telemetry.Metrics.Booking(result.CodeOf(err))
	reply := service.Reply{Status: a.Status, Header: a.Header, Body: a.Body}
	if replayed {
		reply.Header = reply.Header.Clone()
		if reply.Header == nil {
			reply.Header = make(http.Header)
		}
		reply.Header.Set(HeaderReplayed, "true")
	}
	return reply, err
}

// accept reads and validates a call.
func (s *Services) accept(w http.ResponseWriter, r *http.Request) (*serviceCall, error) {
	now := time.Now()
	if s.Stopping() {
		return nil, result.New(result.Stopping, "no new requests").AsNotRun().WithRetryAt(now)
	}
	cfg := s.Configuration()
	org, err := cfg.Organisation(operator.BearerToken(r))
	if err != nil {
		return nil, err
	}
	sv, err := cfg.Service(r.PathValue("service"))
	if err != nil {
		return nil, err
	}
	path := callPath(r)
	kind, err := matchCall(sv, r.Method, path)
	if err != nil {
		return nil, err
	}
	deadline, err := Deadline(r, now)
	if err != nil {
		return nil, err
	}
	body, err := ReadBody(w, r, s.Limits.WithDefaults().MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	sc := &serviceCall{service: sv, org: org, kind: kind, call: service.Call{
		Request:  engine.RequestID(uuid.NewString()),
		Method:   r.Method,
		Path:     path,
		Header:   r.Header,
		Body:     body,
		Deadline: deadline,
	}}
	sc.call.Guard = s.guard(sc)
	return sc, nil
}

func (s *Services) guard(sc *serviceCall) engine.Guard {
	if s.Guard == nil {
		return engine.Guard{}
	}
	code := string(sc.service.Names.Code)
	f := quarantine.NewFingerprint(routing.Organisation(sc.org.Names.Code), sc.call.Method, code+routing.CanonicalPath(sc.call.Path), sc.call.Body)
	return s.Guard(routing.ServiceName(code), sc.call.Request, f)
}

// callPath returns the path of a call at its service, as the caller has sent it.
func callPath(r *http.Request) string {
	rest := routing.PathOf(r)
	for range strings.Count(servicesPrefix, "/") + 1 { // the prefix and the service
		_, rest, _ = strings.Cut(rest, "/")
	}
	return "/" + strings.ReplaceAll(rest, "#", "%23") // package url would take it for the end of the path
}

// matchCall returns the entry of the service's list of calls that matches. It
// fails with UnknownCall if there is none: such a call is not forwarded, since
// it is unknown whether it may be repeated. If the service may read the path in another
// way, by which another entry matches, the call is idempotent only if both are.
func matchCall(sv *operator.Service, method, path string) (operator.Call, error) {
	match := func(path string) (operator.Call, bool) {
		for _, c := range sv.Calls {
			if c.Method == method && matchPath(c.Path, path) {
				return c, true
			}
		}
		return operator.Call{}, false
	}
	readings := routing.Readings(path)
	found, ok := match(readings[0])
	if !ok {
		return operator.Call{}, result.New(result.UnknownCall, "%s %s", method, path).AsNotRun()
	}
	for _, x := range readings[1:] {
		if other, ok := match(x); ok {
			found.Idempotent = found.Idempotent && other.Idempotent
		}
	}
	return found, nil
}

// matchPath reports whether path matches pattern, segment by segment. A segment
// of the pattern in braces matches any.
func matchPath(pattern, path string) bool {
	want := strings.Split(pattern, "/")
	have := strings.Split(path, "/")
	if len(want) != len(have) {
		return false
	}
	for i, w := range want {
		wildcard := strings.HasPrefix(w, "{") && strings.HasSuffix(w, "}")
		if !wildcard && w != have[i] {
			return false
		}
	}
	return true
}

// writeReply writes a service's reply to the caller, without hop-by-hop headers
// and Content-Length.
func writeReply(w http.ResponseWriter, reply service.Reply) {
	for k, v := range reply.Header {
		w.Header()[k] = v
	}
	for _, k := range []string{"Connection", "Transfer-Encoding", "Content-Length", "Keep-Alive"} {
		w.Header().Del(k)
	}
	w.WriteHeader(reply.Status)
	// Nobody is left to report an error to if the caller has disconnected.
	_, _ = w.Write(reply.Body)
}

// report logs and counts a finished call; sc is nil if it was not accepted.
func (s *Services) report(sc *serviceCall, begin time.Time, err error) {
	c := result.CodeOf(err)
	s.Telemetry.Metrics.ServiceCall(c)
	fields := []zap.Field{zap.Int("code", int(c)), zap.String("result", c.String()), zap.Duration("took", time.Since(begin))}
	if sc != nil {
		reg := s.Configuration().Registry()
		fields = append(fields,
			zap.String("request", string(sc.call.Request)),
			telemetry.Name("service", reg, names.Service, sc.service.Names.Code, s.Scheme),
			telemetry.Name("organisation", reg, names.Organisation, sc.org.Names.Code, s.Scheme),
		)
	}
	if err != nil {
		s.Telemetry.Log.Warn("service call failed", append(fields, zap.Error(err))...)
		return
	}
	s.Telemetry.Log.Info("service call done", fields...)
}
