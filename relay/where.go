package relay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"quetzalhold/admit"
	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/platform"
	"quetzalhold/quarantine"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// WhereQuery describes a request of which [Relay.Where] tells where it would go.
type WhereQuery struct {
	Host, Path string
	Key        routing.Key
	Request    engine.RequestID // decides between the services of a route, and between versions
	Tokens     string           // of the prompt and at most of the answer, as in X-Token-Count
	Prompt     string           // its parts, as in X-Prompt-Prefix
	Model      string           // asked of the stand-alone daemon; a gateway ignores it
}

// Values returns the query as parameters of a URL.
func (q *WhereQuery) Values() url.Values {
	v := url.Values{}
	for name, value := range map[string]string{
		"host": q.Host, "path": q.Path, "key": string(q.Key), "request": string(q.Request), "tokens": q.Tokens, "prompt": q.Prompt,
		"model": q.Model,
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	return v
}

// ReadWhereQuery decodes the output of Values.
func ReadWhereQuery(v url.Values) (WhereQuery, error) {
	q := WhereQuery{
		Host: v.Get("host"), Path: v.Get("path"), Key: routing.Key(v.Get("key")), Request: engine.RequestID(v.Get("request")),
		Tokens: v.Get("tokens"), Prompt: v.Get("prompt"), Model: v.Get("model"),
	}
	if !strings.HasPrefix(q.Path, "/") {
		return q, result.New(result.BadRequest, "path %q does not begin with a slash", q.Path).WithField("path").AsNotRun()
	}
	return q, nil
}

// WhereAnswer is where a request would go, and why.
type WhereAnswer struct {
	Entry         string               `json:"entry"`
	Domain        names.ID             `json:"domain"`
	At            time.Time            `json:"at"`
	Configuration routing.Version      `json:"configuration"`
	Route         routing.RouteName    `json:"route,omitempty"`
	Kind          string               `json:"kind,omitempty"`
	Service       routing.ServiceName  `json:"service,omitempty"`
	Organisation  routing.Organisation `json:"organisation,omitempty"`
	Priority      routing.Priority     `json:"priority"`
	// Refusal is the error with which the request would be refused; nil if it would not.
	Refusal *result.Error `json:"refusal,omitempty"`
	// Admission is set if streams may have to wait before they are sent.
	Admission *WhereAdmission `json:"admission,omitempty"`
	// Queue is set by the stand-alone daemon, for answers.
	Queue      *WhereQueue      `json:"queue,omitempty"`
	Candidates []WhereCandidate `json:"candidates,omitempty"`
	LeftOut    []WhereLeftOut   `json:"leftOut,omitempty"`
	// Chosen is the server, or with Helper the other entry VM, that would get the request; empty if none would.
	Chosen  engine.ServerID `json:"chosen,omitempty"`
	Helper  bool            `json:"helper,omitempty"`
	Replica engine.ServerID `json:"replica,omitempty"` // gets the replica of the KV cache
	Why     string          `json:"why,omitempty"`
}

// Check returns the first reason why the answer cannot be used, or nil.
func (a *WhereAnswer) Check() error {
	switch {
	case a.Entry == "":
		return result.New(result.MissingField, "the answer names no entry VM").WithField("entry")
	case a.Refusal != nil && a.Chosen != "":
		return result.New(result.BadReference, "a refused request has the server %s", a.Chosen).WithField("chosen")
	}
	return nil
}

// WhereAdmission is what admission would decide about a stream.
type WhereAdmission struct {
	Rank           admit.Rank    `json:"rank"`
	Waits          bool          `json:"waits,omitempty"`
	Why            string        `json:"why,omitempty"` // why it does not wait
	Position       int           `json:"position"`
	ExpectedWaitMs int64         `json:"expectedWaitMs"`
	Pending        engine.Tokens `json:"pending"`
	Share          engine.Tokens `json:"share"`  // 0 without pressure
	Window         engine.Tokens `json:"window"` // 0 if it is unknown
}

// WhereQueue is what the queue of the stand-alone daemon would do with a request for an answer.
type WhereQueue struct {
	Waits          bool  `json:"waits,omitempty"`
	Position       int   `json:"position"` // among those of its organisation
	ExpectedWaitMs int64 `json:"expectedWaitMs"`
}

// WhereCandidate is a server that is considered.
type WhereCandidate struct {
	Server   engine.ServerID `json:"server"`
	Domain   names.ID        `json:"domain"`
	Version  engine.Version  `json:"version"`
	Requests int             `json:"requests"`         // of this entry VM in flight there
	Pending  int             `json:"pending"`          // those without a first event
	Report   *backend.Report `json:"report,omitempty"` // nil if none was requested or came
	Polled   bool            `json:"polled,omitempty"` // a report was requested
	Suspect  bool            `json:"suspect,omitempty"`
	Limited  bool            `json:"limited,omitempty"` // it needs a permit
	NoRoom   bool            `json:"noRoom,omitempty"`  // the report shows no room for the KV cache
	Speed    float64         `json:"speed"`
	// ExpectedMs is the expected wait or delay, by which servers are compared; nil if it was not estimated.
	ExpectedMs *int64 `json:"expectedMs,omitempty"`
}

// WhereLeftOut is a server that is left out.
type WhereLeftOut struct {
	Server  engine.ServerID `json:"server"`
	Domain  names.ID        `json:"domain"`
	Version engine.Version  `json:"version"`
	Why     string          `json:"why"`
	Until   time.Time       `json:"until,omitzero"`
}

// Where returns where a request would go now. It changes nothing: it decides on a copy of the queue of admission,
// takes no permit, and sends nothing but requests for the load reports that the placement of a stream asks for.
func (r *Relay) Where(ctx context.Context, q WhereQuery) WhereAnswer {
	now := time.Now()
	req := (&http.Request{Method: http.MethodPost, Host: q.Host, RequestURI: q.Path, URL: &url.URL{Path: q.Path}, Header: http.Header{}}).WithContext(ctx)
	j := &job{relay: r, startedAt: now, route: &routing.Route{}, msg: &message{Request: req}, dryRun: true}
	j.msg.params = platform.DescribedRequest(q.Request, q.Key, q.Prompt, q.Tokens)
	a := WhereAnswer{Entry: r.ID, Domain: r.Domain, At: now}
	err := j.describe()
	a.Configuration = j.version
	if j.route.Name != "" {
		a.Route, a.Kind, a.Priority = j.route.Name, j.route.Kind.String(), j.priority
		a.Organisation, a.Service = j.organisation, j.service
	}
	if err != nil {
		a.Refusal = result.FromError(err)
		return a
	}
	n := r.need(j, now, nil, "")
	for _, x := range r.Pool.LeftOut(n) {
		a.LeftOut = append(a.LeftOut, WhereLeftOut{Server: x.ID, Domain: x.Domain, Version: x.Version, Why: x.Reason.String(), Until: x.Until})
	}
	if j.route.Kind == routing.Stream {
		r.whereStream(ctx, j, n, &a)
	} else {
		r.wherePlain(j, n, &a)
	}
	if a.Refusal != nil {
		a.Chosen, a.Replica, a.Why = "", "", ""
	}
	return a
}

// describe does what admit does with a request that has come, as far as it does not concern its body.
func (j *job) describe() error {
	r := j.relay
	if _, err := j.resolve(); err != nil {
		return err
	}
	route := j.route
	j.parts = quarantine.Parts(j.msg.params.SharedParts())
	if route.Kind == routing.Stream && r.Draining != nil && r.Draining() {
		return result.New(result.Stopping, "no time for a new stream").AsNotRun().WithRetryAt(j.startedAt.Add(retryDelay))
	}
	if route.Kind != routing.Stream && r.stopsBeforeEnd(j) {
		return result.New(result.Stopping, "no time for a call").AsNotRun().WithRetryAt(j.startedAt)
	}
	// The request itself is known by its body, which the query lacks.
	b, blocked := r.Quarantine.Blocked(j.startedAt, j.service, j.parts)
	if blocked && j.startedAt.Before(b.Until) {
		return blockError(b, false)
	}
	return nil
}

// whereHelper fills in the entry VM to which the request would be handed. It reports whether there is one.
func (j *job) whereHelper(a *WhereAnswer) bool {
	c, ok := j.helper(max(1, j.route.MaxAttempts))
	if ok {
		a.Chosen, a.Helper, a.Why = c.ID, true, "this entry VM is cut off from the servers"
	}
	return ok
}

// noServer fills in that no server would take the request.
func (a *WhereAnswer) noServer(r *Relay, n backend.Criteria) {
	at, _ := r.Pool.RetryAt(n)
	a.Refusal = result.New(result.NoServer, "no server of %s takes it", n.Service).AsNotRun().WithRetryAt(at)
}

func millisOf(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}

func newWhereCandidate(c *backend.Choice) WhereCandidate {
	return WhereCandidate{
		Server: c.ID, Domain: c.Domain, Version: c.Version, Requests: c.Load.Requests, Pending: c.Load.Pending,
		Suspect: c.Suspect, Limited: c.Limited, Speed: c.Speed.Factor(),
	}
}

// wherePlain fills in where a call would go.
func (r *Relay) wherePlain(j *job, n backend.Criteria, a *WhereAnswer) {
	for _, x := range r.Pool.Considered(n) {
		c := newWhereCandidate(&x.Choice)
		c.ExpectedMs = millisOf(x.Expected)
		a.Candidates = append(a.Candidates, c)
	}
	if j.whereHelper(a) {
		return
	}
	to, ok := r.Pool.Choose(n)
	switch a.Chosen = to.ID; {
	case !ok:
		a.noServer(r, n)
	case n.Cost != nil:
		a.Why = fmt.Sprintf("one of those with nearly the shortest expected time, of %d", to.Considered)
	default:
		a.Why = fmt.Sprintf("shortest expected wait of %d", to.Considered)
	}
}

// whereStream fills in where a stream would go.
func (r *Relay) whereStream(ctx context.Context, j *job, n backend.Criteria, a *WhereAnswer) {
	s := &streamRun{job: j, ctx: ctx}
	left := j.deadline.Sub(j.startedAt)
	if need, ok := r.stats.MinTime(j.route.Name, 0); ok && need > left {
		a.Refusal = result.New(result.TooLate, "%v left, %v needed", left.Round(time.Millisecond), need.Round(time.Millisecond)).AsNotRun()
		return
	}
	l := r.line(j.service)
	if l != nil {
		l.mu.Lock()
		p := l.queue.Preview(j.startedAt, s.admitStream(false))
		l.mu.Unlock()
		if a.setAdmission(&p, left); a.Refusal != nil {
			return
		}
	}
	if j.whereHelper(a) {
		return
	}
	x := &pollRecord{relay: r}
	p, ok := r.place(context.WithValue(ctx, pollRecordKey{}, x), j, j.startedAt, nil, "")
	x.addTo(a, n, j.tokens, r.Pool.Candidates(n, r.Pool.Size()+1))
	if !ok {
		a.noServer(r, n)
		return
	}
	pressure := l != nil && l.underPressure(j.startedAt)
	if l != nil && !hasRoom(&p.Run, j.tokens, 1, pressure) {
		a.Admission.Waits, a.Admission.Why = true, "none of the engines considered has room"
	}
	s.limitReplica(&p)
	a.Chosen, a.Why = p.Run.ID, whyPlaced(n, &p, pressure)
	if p.Replica != nil && j.model != nil && j.model.Replicates {
		a.Replica = p.Replica.ID
	}
}

// setAdmission fills in what admission would decide about a stream that has some time left.
func (a *WhereAnswer) setAdmission(p *admit.Preview, left time.Duration) {
	a.Admission = &WhereAdmission{
		Rank: p.Rank, Waits: p.Waits, Position: p.Position, ExpectedWaitMs: p.ExpectedWait.Milliseconds(),
		Pending: p.Status.Pending, Share: p.Status.Share, Window: p.Status.Window,
	}
	switch {
	case p.Waits:
	case p.Action == admit.Reject:
		a.Refusal = result.New(result.WaitTooLong, "%v left, %v needed after a wait of %v", left.Round(time.Millisecond),
			p.Need.Round(time.Millisecond), p.ExpectedWait.Round(time.Millisecond)).AsNotRun().WithRetryAt(p.RetryAt)
	default:
		a.Admission.Why = p.Reason.String()
	}
}

// whyPlaced returns the reason for a placement.
func whyPlaced(n backend.Criteria, p *backend.Placement, pressure bool) string {
	polled := fmt.Sprintf("of %d engines polled, %d reported", p.Polled, p.Reports)
	switch {
	case p.Run.Report == nil:
		return "no engine reported its load; first in the order of the prompt; " + polled
	case p.Run.Idle(n):
		return "no work and room for it; " + polled
	case pressure && p.PrefillsAtOnce(n):
		return "no prompt to prefill and room for it; " + polled
	case n.Cost != nil:
		return "one of those with nearly the least expected delay; " + polled
	}
	return "least expected delay; " + polled
}

type pollRecordKey struct{}

// pollRecord queries engines for their load reports without any record of the outcome but its own.
type pollRecord struct {
	relay *Relay

	mu       sync.Mutex
	engines  []backend.Engine
	replaced []backend.Choice // a later start has answered at their address
}

// pollRecordOf returns the record of a placement that is only explained; nil for others.
func pollRecordOf(ctx context.Context) *pollRecord {
	x, _ := ctx.Value(pollRecordKey{}).(*pollRecord)
	return x
}

// query does what queryReports does, but marks no engine as failed or replaced and shares no report.
func (x *pollRecord) query(ctx context.Context, choices []backend.Choice, rank int) []backend.Engine {
	answers := queryAll(x.relay.Log, choices, func(c backend.Choice) (backend.Report, error) {
		if c.Limited {
			return backend.Report{}, errNoRoom
		}
		return x.relay.reportOnly(ctx, &c)
	})
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []backend.Engine
	for range choices {
		a := <-answers
		e := backend.Engine{Choice: choices[a.index], Rank: rank + a.index}
		switch {
		case a.err != nil || !a.value.Ready:
		case a.value.Start > e.Start && e.Start > 0:
			x.replaced = append(x.replaced, e.Choice)
			continue
		default:
			e.Report = &a.value
		}
		list = append(list, e)
	}
	x.engines = append(x.engines, list...)
	return list
}

// maxReportBytes bounds a load report.
const maxReportBytes = 1 << 20

// reportOnly queries an engine for its load. Unlike Report it records neither a failure nor what the answer says
// of the engine.
func (r *Relay) reportOnly(ctx context.Context, c *backend.Choice) (backend.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+platform.ReportPath, http.NoBody)
	if err != nil {
		return backend.Report{}, fmt.Errorf("build request: %w", err)
	}
	resp, err := r.controlTransport.RoundTrip(req)
	if err != nil {
		return backend.Report{}, fmt.Errorf("load report of %s: %w", c.ID, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return backend.Report{}, fmt.Errorf("load report of %s: %w", c.ID, err)
	}
	if resp.StatusCode != http.StatusOK {
		return backend.Report{}, fmt.Errorf("load report of %s: %w", c.ID, statusError(resp.StatusCode))
	}
	return platform.ReadReport(body)
}

// addTo adds the engines that were polled, in the order of their expected delay, and after them the others considered.
func (x *pollRecord) addTo(a *WhereAnswer, n backend.Criteria, tokens engine.Tokens, considered []backend.Choice) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slices.SortStableFunc(x.engines, func(a, b backend.Engine) int { return cmp.Compare(a.Delay(n), b.Delay(n)) })
	listed := make(map[engine.ServerID]bool)
	for i := range x.engines {
		e := &x.engines[i]
		c := newWhereCandidate(&e.Choice)
		c.Report, c.Polled, c.ExpectedMs = e.Report, true, millisOf(e.Delay(n))
		c.NoRoom = !hasRoom(e, tokens, 1, false)
		a.Candidates, listed[e.ID] = append(a.Candidates, c), true
	}
	for i := range x.replaced {
		e := &x.replaced[i]
		a.LeftOut = append(a.LeftOut, WhereLeftOut{Server: e.ID, Domain: e.Domain, Version: e.Version, Why: backend.Replaced.String()})
		listed[e.ID] = true
	}
	for i := range considered {
		if e := &considered[i]; !listed[e.ID] {
			a.Candidates = append(a.Candidates, newWhereCandidate(e))
		}
	}
}
