package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/platform"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// Headers between entry VMs.
const (
	// AdmissionHeader holds the [Admission] of a request that is handed to another entry VM.
	AdmissionHeader = "Quetzalhold-Admission"
	// errorHeader holds the code of an error of the other entry VM itself, and whether the request
	// is known not to have run.
	errorHeader = "Quetzalhold-Error"
	// serverHeader holds the ID and the start of the server that answered.
	serverHeader = "Quetzalhold-Server"
)

// Admission is what an entry VM has decided about a request that it hands to another one because it
// reaches no servers itself. The other one only sends the request: its configuration may be older or
// newer.
type Admission struct {
	From         string               `json:"from"` // the entry VM that the caller reached
	Route        routing.Route        `json:"route"`
	Service      routing.ServiceName  `json:"service"`
	Model        *routing.Model       `json:"model,omitempty"`
	Organisation routing.Organisation `json:"organisation,omitempty"`
	Priority     routing.Priority     `json:"priority"`
	Version      routing.Version      `json:"version"`
	// Copy is a copy of the KV cache of a run that the request continues; nil for none.
	Copy *AdmittedCopy `json:"copy,omitempty"`
}

// AdmittedCopy is a copy of the KV cache of a run.
type AdmittedCopy struct {
	Server engine.ServerID    `json:"server"` // that holds it
	Start  engine.Incarnation `json:"start"`
	platform.KVCopy
}

// Check returns the first reason why the admission is invalid, or nil.
func (a *Admission) Check() error {
	if a.Service == "" {
		return result.New(result.MissingField, "no service").WithField("service")
	}
	if a.Route.MaxAttempts < 1 {
		return result.New(result.OutOfRange, "%d", a.Route.MaxAttempts).WithField("route.maxAttempts")
	}
	return nil
}

// Limits of requests that are handed to other entry VMs.
const (
	// maxHandOvers is the number of other entry VMs that a request is handed to, one after the
	// other.
	maxHandOvers = 4
	// maxTaken bounds the requests in flight that were taken from other entry VMs.
	maxTaken = 256
)

// helper picks the entry VM that the request is handed to, if this one is cut off from all servers.
func (j *job) helper() (backend.Choice, bool) {
	r := j.relay
	if j.from != "" || r.Helper == nil || len(j.helpers) >= maxHandOvers || !r.reach.CutOff() || r.reach.Alone(time.Now()) {
		return backend.Choice{}, false
	}
	c, ok := r.Helper(j.helpers)
	if ok {
		c.Peer = true
		j.helpers = append(j.helpers, c.ID)
	}
	return c, ok
}

type admissionKey struct{}

// admitted returns a context for sending the request to another entry VM, which may send it to so
// many servers.
func (j *job) admitted(ctx context.Context, attempts int, from *AdmittedCopy) context.Context {
	a := Admission{
		From: j.relay.ID, Route: *j.route, Service: j.service, Model: j.model, Organisation: j.organisation,
		Priority: j.priority, Version: j.version, Copy: from,
	}
	a.Route.MaxAttempts = max(1, attempts)
	b, err := json.Marshal(&a)
	if err != nil {
		panic(err) // an Admission consists of types that can always be encoded
	}
	return context.WithValue(ctx, admissionKey{}, string(b))
}

// classifyPeer is classify for an answer of another entry VM. What it says about the server that
// answered counts here too.
func (r *Relay) classifyPeer(m *message, peer backend.Choice, sentAt time.Time, resp *http.Response, err error) (Outcome, error) {
	var u dialError
	switch {
	case errors.As(err, &u):
		if m.Context().Err() == nil {
			r.helperFailed(peer, "not reached")
		}
		return NotRun, err
	case err != nil:
		return Lost, err
	}
	if text := resp.Header.Get(errorHeader); text != "" {
		code, notRun, err := parseError(text)
		if err != nil {
			return Lost, fmt.Errorf("answer of %s: %w", peer.ID, err)
		}
		if code == result.CutOff && peer.Domain != r.Domain {
			r.reach.HelperCutOff(time.Now())
		}
		if code == result.CutOff || code == result.Stopping || code == result.Overloaded {
			r.helperFailed(peer, code.String())
		}
		if !notRun {
			return Lost, fmt.Errorf("%s answered %v", peer.ID, code)
		}
		return NotRun, fmt.Errorf("%s answered %v", peer.ID, code)
	}
	if !platform.Genuine(resp.Header, m.params.ID) {
		return Lost, fmt.Errorf("status %d of %s: %w", resp.StatusCode, peer.ID, errForeign)
	}
	if by, err := parseServer(resp.Header.Get(serverHeader)); err == nil {
		r.recordNotices(by, resp, time.Now())
		r.recordNoLimit(by, resp, sentAt)
	}
	resp.Header.Del(serverHeader)
	r.reach.HelperAnswered()
	return Answered, nil
}

func (r *Relay) helperFailed(peer backend.Choice, why string) {
	r.Log.Info("entry VM does not help", zap.String("helper", string(peer.ID)), zap.String("why", why))
	if r.HelperFailed != nil {
		r.HelperFailed(peer.ID)
	}
}

func parseError(s string) (c result.Code, notRun bool, err error) {
	number, text, _ := strings.Cut(s, " ")
	n, err := strconv.Atoi(number)
	if err != nil {
		return 0, false, err
	}
	notRun, err = strconv.ParseBool(text)
	return result.Code(n), notRun, err
}

func parseServer(s string) (backend.Choice, error) {
	var c backend.Choice
	_, err := fmt.Sscanf(s, "%s %d", &c.ID, &c.Start)
	return c, err
}

// setServer tells the entry VM from which the request was taken which server answers.
func (j *job) setServer(h http.Header, by backend.Choice) {
	if j.from != "" {
		h.Set(serverHeader, fmt.Sprintf("%s %d", by.ID, by.Start))
	}
}

// setError tells the entry VM from which the request was taken that e is not an answer of a server.
func (j *job) setError(h http.Header, e *result.Error) {
	if j.from != "" {
		h.Set(errorHeader, fmt.Sprintf("%d %t", e.Code, e.NotRun))
	}
}

// admittedCopy returns the copy from which a request taken from another entry VM continues, and its
// server, for its first send.
func (s *streamRun) admittedCopy(now time.Time) (backend.Choice, *platform.KVCopy, bool) {
	if s.copy == nil || s.sends > 0 {
		return backend.Choice{}, nil, false
	}
	v, ok := s.relay.Pool.View(s.copy.Server, now)
	if !ok || v.Removed || v.Draining || v.Start != s.copy.Start {
		return backend.Choice{}, nil, false
	}
	return backend.Choice{Server: v.Server, DialTime: v.DialTime}, &s.copy.KVCopy, true
}

// ServeAdmitted serves a request that another entry VM has admitted and handed to this one.
func (r *Relay) ServeAdmitted(w http.ResponseWriter, req *http.Request) {
	j := &job{relay: r, startedAt: time.Now(), route: &routing.Route{}, msg: &message{Request: req}, from: "unknown"}
	j.trace()
	defer r.taken.Add(-1)
	n := r.taken.Add(1)
	if err := j.readAdmitted(w); err != nil {
		r.refuse(w, j, err)
		return
	}
	retryAt := time.Now().Add(retryDelay)
	switch {
	case r.reach.CutOff():
		r.refuse(w, j, result.New(result.CutOff, "no server is reached").AsNotRun().WithRetryAt(retryAt))
	case r.Closing != nil && r.Closing():
		r.refuse(w, j, result.New(result.Stopping, "takes no requests of others").AsNotRun().WithRetryAt(retryAt))
	case n > maxTaken:
		r.refuse(w, j, result.New(result.Overloaded, "%d requests of others", n).AsNotRun().WithRetryAt(retryAt))
	case j.route.Kind == routing.Stream:
		r.serveStream(w, j)
	default:
		r.servePlain(w, j)
	}
}

// Taken returns how many requests of other entry VMs are in flight.
func (r *Relay) Taken() int { return int(r.taken.Load()) }

// readAdmitted reads a request of another entry VM and its admission.
func (j *job) readAdmitted(w http.ResponseWriter) error {
	var a Admission
	if err := json.Unmarshal([]byte(j.msg.Header.Get(AdmissionHeader)), &a); err != nil {
		return result.Wrap(result.BadRequest, err, "admission").AsNotRun()
	}
	j.msg.Header.Del(AdmissionHeader)
	if err := a.Check(); err != nil {
		return result.Wrap(result.BadRequest, err, "admission").AsNotRun()
	}
	params, err := platform.ReadRequest(j.msg.Header)
	if err != nil {
		return result.Wrap(result.BadRequest, err, "headers").AsNotRun()
	}
	if a.From != "" {
		j.from = a.From
	}
	j.msg.params, j.route, j.service, j.model = params, &a.Route, a.Service, a.Model
	j.organisation, j.priority, j.version, j.copy = a.Organisation, a.Priority, a.Version, a.Copy
	j.tokens = params.PromptTokens + params.AnswerTokens
	j.setDeadline()
	if err := j.readBody(w, routing.Limits{}); err != nil {
		return err
	}
	j.parts = quarantine.Parts(params.SharedParts())
	j.fingerprint = quarantine.NewFingerprint(j.organisation, j.msg.Method, j.msg.URL.RequestURI(), j.msg.body)
	return nil
}
