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

	"github.com/google/uuid"
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
	// spentHeader holds what has been [Spent] of the attempts lent to the entry VM that answers. An
	// answer without it has spent all.
	spentHeader = "Quetzalhold-Attempts"
)

// Admission is what an entry VM has decided about a request that it hands to another one because it
// reaches no servers itself. The other one only sends the request: its configuration may be older or
// newer.
type Admission struct {
	From string `json:"from"` // the entry VM that the caller reached
	// Route permits as many attempts as are lent.
	Route routing.Route `json:"route"`
	// Attempts is the number of attempts lent to the other entry VM, which states in its answer what it has
	// spent. It is 0 from entry VMs of an earlier version, which count a hand-over as one attempt.
	Attempts     int                  `json:"attempts,omitempty"`
	Tried        []engine.ServerID    `json:"tried,omitempty"`  // servers that are the last to be tried
	Trials       []quarantine.Suspect `json:"trials,omitempty"` // blocked, of which the first send is a trial
	Service      routing.ServiceName  `json:"service"`
	Model        *routing.Model       `json:"model,omitempty"`
	Organisation routing.Organisation `json:"organisation,omitempty"`
	Priority     routing.Priority     `json:"priority"`
	Version      routing.Version      `json:"version"`
	// Copy is a copy of the KV cache of a run that the request continues; nil for none.
	Copy *AdmittedCopy `json:"copy,omitempty"`
	// Handover names the hand-over, so that it can be recalled; empty from entry VMs of an earlier version.
	Handover HandoverID `json:"handover,omitempty"`
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
	if a.Attempts < 0 {
		return result.New(result.OutOfRange, "%d", a.Attempts).WithField("attempts")
	}
	return nil
}

// Spent is what a request has spent of the attempts that its route permits, or of those lent to an
// entry VM.
type Spent struct {
	// Attempts is the number of servers that may have run the request.
	Attempts int `json:"attempts"`
	// Servers are those that are known; there may be fewer.
	Servers []engine.ServerID `json:"servers,omitempty"`
}

// check returns why it can't have been spent of attempts lent, at least so many, or nil.
func (s *Spent) check(least, lent int) error {
	if s.Attempts < least || s.Attempts > lent {
		return result.New(result.OutOfRange, "%d of %d", s.Attempts, lent).WithField("attempts")
	}
	return nil
}

// set states s in the head of an answer.
func (s *Spent) set(h http.Header) {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // a Spent consists of types that can always be encoded
	}
	h.Set(spentHeader, string(b))
}

// lend returns how many of the attempts that are left are lent to another entry VM: half, so that a second
// one can be asked if it is lost.
func lend(left int) int { return (left + 1) / 2 }

// Limits of requests that are handed to other entry VMs.
const (
	// maxHelpers is the number of other entry VMs that a request is handed to, one after the
	// other.
	maxHelpers = 4
	// maxTaken bounds the requests in flight that were taken from other entry VMs.
	maxTaken = 256
)

// helper picks the entry VM that the request is handed to, if this one is cut off from all servers of its service and
// some attempts are left to be lent.
func (j *job) helper(left int) (backend.Choice, bool) {
	r := j.relay
	if left < 1 || j.from != "" || r.Helper == nil || len(j.helpers) >= maxHelpers || !r.cutOffFrom(j.service) || r.reach.widest(j.service).Alone(time.Now()) {
		return backend.Choice{}, false
	}
	c, ok := r.Helper(j.helpers)
	if ok {
		c.Peer, c.Service = true, j.service
		j.helpers = append(j.helpers, c.ID)
	}
	return c, ok
}

type admissionKey struct{}

// admitted returns a context for sending the request to another entry VM, to which attempts are lent, and the name
// of the hand-over.
func (j *job) admitted(ctx context.Context, attempts int, from *AdmittedCopy) (context.Context, HandoverID) {
	a := Admission{
		Handover: HandoverID(uuid.NewString()),
		From:     j.relay.ID, Route: *j.route, Attempts: attempts, Tried: j.tried, Trials: j.trials, Service: j.service, Model: j.model,
		Organisation: j.organisation, Priority: j.priority, Version: j.version, Copy: from,
	}
	a.Route.MaxAttempts = attempts
	b, err := json.Marshal(&a)
	if err != nil {
		panic(err) // an Admission consists of types that can always be encoded
	}
	return context.WithValue(ctx, admissionKey{}, string(b)), a.Handover
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
			r.reach.widest(peer.Service).HelperCutOff(time.Now())
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
	r.reach.widest(peer.Service).HelperAnswered()
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

// setSpent tells the entry VM from which the request was taken what was spent of the attempts lent.
func (j *job) setSpent(h http.Header) {
	if !j.statesSpent || j.spent == nil {
		return
	}
	s := j.spent()
	s.set(h)
}

// takeSpent removes what another entry VM states of the attempts lent to it from its answer, and returns
// it.
func takeSpent(to backend.Choice, resp *http.Response) string {
	if !to.Peer || resp == nil {
		return ""
	}
	defer resp.Header.Del(spentHeader)
	return resp.Header.Get(spentHeader)
}

// readSpent decodes what another entry VM states of the attempts lent to it, at least so many. All are spent
// unless it states otherwise.
func (r *Relay) readSpent(text string, least, lent int) Spent {
	if text == "" {
		return Spent{Attempts: lent}
	}
	var s Spent
	err := json.Unmarshal([]byte(text), &s)
	if err == nil {
		err = s.check(least, lent)
	}
	if err != nil {
		r.logMalformed.Do(func() {
			r.Log.Warn("malformed number of attempts in an entry VM's answer ignored; others are not logged", zap.String("text", text), zap.Error(err))
		})
		return Spent{Attempts: lent}
	}
	return s
}

// admittedCopy returns the copy from which a request taken from another entry VM continues, and its
// server, for its first send.
func (s *streamRun) admittedCopy(now time.Time) (backend.Choice, *platform.KVCopy, bool) {
	if s.copy == nil || s.sends > 0 {
		return backend.Choice{}, nil, false
	}
	v, _ := s.relay.Pool.View(s.copy.Server, now)
	c := backend.Choice{Server: v.Server, DialTime: v.DialTime}
	if v.Start != s.copy.Start || !s.serverAlive(&c, s.startedAt, now) || !s.accepts(c.ID, now) {
		return backend.Choice{}, nil, false
	}
	return c, &s.copy.KVCopy, true
}

// ServeAdmitted serves a request that another entry VM has admitted and handed to this one.
func (r *Relay) ServeAdmitted(w http.ResponseWriter, req *http.Request) {
	j := &job{relay: r, startedAt: time.Now(), route: &routing.Route{}, msg: &message{Request: req}, from: "unknown"}
	j.trace()
	defer j.releaseBody()
	defer r.taken.Add(-1)
	n := r.taken.Add(1)
	if err := j.readAdmitted(w); err != nil {
		j.limitUnread(w)
		r.refuse(w, j, err)
		return
	}
	defer j.take()()
	retryAt := time.Now().Add(retryDelay)
	switch {
	case r.cutOffFrom(j.service):
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
	j.msg.route = a.Route.Name
	j.organisation, j.priority, j.version, j.copy = a.Organisation, a.Priority, a.Version, a.Copy
	j.route.MaxAttempts, j.tried, j.statesSpent = max(1, a.Attempts), a.Tried, a.Attempts > 0
	j.claimed, j.takenAs = a.Trials, a.Handover
	j.tokens = params.PromptTokens + params.AnswerTokens
	j.setDeadline()
	if err := j.readBody(w, routing.Limits{}); err != nil {
		return err
	}
	j.parts = quarantine.Parts(params.SharedParts())
	j.fingerprint = quarantine.NewFingerprint(j.organisation, j.msg.Method, j.msg.target(), j.msg.body)
	return nil
}
