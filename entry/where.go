package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"quetzalhold/engine"
	"quetzalhold/limit"
	"quetzalhold/operator"
	"quetzalhold/platform"
	"quetzalhold/relay"
	"quetzalhold/result"
	"quetzalhold/routing"
)

// serveWhere answers an operator where a request would go.
func (d *Daemon) serveWhere(w http.ResponseWriter, r *http.Request) {
	if !operator.Authorized(r, d.settings.OperatorKey) {
		result.Write(w, result.New(result.NotAllowed, "operator key").AsNotRun())
		return
	}
	q, err := relay.ReadWhereQuery(r.URL.Query())
	if err != nil {
		result.Write(w, err)
		return
	}
	a := d.where(&q)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(&a); err != nil {
		d.telemetry.Log.Warn("answer of where not written", zap.Error(err))
	}
}

// where returns where a request would go now. It changes nothing and sends nothing.
func (d *Daemon) where(q *relay.WhereQuery) relay.WhereAnswer {
	a := relay.WhereAnswer{Entry: d.settings.ID, Domain: d.settings.DomainID(), At: time.Now()}
	if err := d.fillWhere(q, &a); err != nil {
		a.Refusal, a.Chosen, a.Why = result.FromError(err), "", ""
	}
	return a
}

// fillWhere fills in what is known of a request. It returns the error with which the request would be refused.
func (d *Daemon) fillWhere(q *relay.WhereQuery, a *relay.WhereAnswer) error {
	cfg := d.store.Current()
	switch {
	case d.stopping.Load():
		return result.New(result.Stopping, "no new requests").AsNotRun().WithRetryAt(a.At)
	case cfg.Registry() == nil:
		return result.New(result.NoConfiguration, "nothing was read yet").AsNotRun().WithRetryAt(a.At.Add(time.Second))
	}
	org, err := cfg.Organisation(string(q.Key))
	if err != nil {
		return err
	}
	a.Organisation = routing.Organisation(org.Names.Code)
	if rest, ok := strings.CutPrefix(q.Path, callersPrefix+"services/"); ok {
		name, _, _ := strings.Cut(rest, "/")
		return d.whereService(cfg, name, a)
	}
	if q.Path != callersPrefix+"completions" && q.Path != callersPrefix+"chat/completions" {
		return result.New(result.UnknownPath, "%s", q.Path).AsNotRun()
	}
	return d.whereAnswer(cfg, org, q, a)
}

// whereService fills in where a call to a plain service would go.
func (d *Daemon) whereService(cfg *operator.Configuration, name string, a *relay.WhereAnswer) error {
	sv, err := cfg.Service(name)
	if err != nil {
		return err
	}
	a.Service = routing.ServiceName(sv.Names.Code)
	servers := d.services.Order(sv.Names.Code)
	if len(servers) == 0 {
		return result.New(result.ServiceNotReached, "no server of %s is listed", sv.Names.Code).AsNotRun().WithRetryAt(a.At.Add(time.Second))
	}
	for _, s := range servers {
		a.Candidates = append(a.Candidates, relay.WhereCandidate{Server: s.ID, Domain: s.Domain, Speed: 1})
	}
	a.Chosen, a.Why = servers[0].ID, fmt.Sprintf("a random one of the nearest of %d", len(servers))
	return nil
}

// whereAnswer fills in at which engine an answer would start.
func (d *Daemon) whereAnswer(cfg *operator.Configuration, org *operator.Organisation, q *relay.WhereQuery, a *relay.WhereAnswer) error {
	preset := cfg.InForce()
	if preset == nil {
		return result.New(result.NoPreset, "no preset is in force").AsNotRun().WithRetryAt(a.At.Add(time.Second))
	}
	_, dep, err := cfg.Route(operator.Model(q.Model), org.Names.Code)
	if err != nil {
		return err
	}
	a.Route, a.Kind, a.Service = routing.RouteName(q.Model), routing.Stream.String(), routing.ServiceName(dep.Name)
	request := platform.DescribedRequest(q.Request, "", "", q.Tokens)
	p, err := d.gate.Preview(limit.Request{
		Organisation: org.Names.Code, Weight: org.Weight(), Cost: request.PromptTokens + request.AnswerTokens,
		MaxAnswers: org.MaxAnswers, Limits: org.Limits(preset), Domains: d.gossip.Domains(),
	})
	if err != nil {
		return err
	}
	a.Queue = &relay.WhereQueue{Waits: !p.Admitted, Position: p.Position, ExpectedWaitMs: p.Wait.Milliseconds()}
	version := d.versionOf(dep, q.Request)
	want := engine.LoadedModel{Version: version, Adapter: dep.Adapter}
	all := d.pool.Candidates(want, nil)
	n := engine.Requirements{Now: a.At, Domain: d.settings.DomainID(), Prefill: request.PromptTokens}
	for _, x := range d.runner.Chooser.Estimates(n, all) {
		ms := x.Cost.Milliseconds()
		a.Candidates = append(a.Candidates, relay.WhereCandidate{
			Server: x.ID, Domain: x.Domain, Version: version, Requests: x.Streams, Suspect: x.Avoided, Speed: 1, ExpectedMs: &ms,
		})
	}
	for _, x := range d.pool.LeftOut(want) {
		a.LeftOut = append(a.LeftOut, relay.WhereLeftOut{Server: x.ID, Domain: x.Domain, Why: x.Why})
	}
	c, ok := d.runner.Chooser.Choose(n, all)
	if !ok {
		return result.New(result.NoServer, "no engine has %s", version).AsNotRun().WithRetryAt(a.At.Add(time.Second))
	}
	a.Chosen, a.Why = c.ID, fmt.Sprintf("least expected time of %d compared at random", c.Compared)
	return nil
}
