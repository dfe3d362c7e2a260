package fuzz_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalhold/platform/platformtest"
)

// mutant is what a proxy does wrong.
type mutant string

// The mutants, by what they break.
const (
	sound         mutant = "sound"
	endsAsWhole   mutant = "ends a broken answer as if it were whole"
	lendsStamps   mutant = "stamps its own failures"
	sendsTwice    mutant = "sends again what may not be repeated"
	promises      mutant = "promises that what ran has not"
	passesHeaders mutant = "passes on headers that only the system may set"
	swarms        mutant = "sends to all servers"
	overlaps      mutant = "leaves a silent engine at work"
	goesOn        mutant = "goes on when the caller has left"
	usesDrained   mutant = "uses servers that leave"
	denies        mutant = "refuses for good what is allowed"
	keepsKeys     mutant = "takes keys that were withdrawn"
	hangs         mutant = "answers too late"
	loses         mutant = "drops answers"
	forgets       mutant = "never uses a server again that failed"
	blames        mutant = "blames all for the failure of one"
	neverReady    mutant = "is not ready"
)

// proxy is a simple proxy. It is sound but for what its mutant does.
type proxy struct {
	*play
	mutant mutant
	t      *http.Transport

	mu     sync.Mutex
	failed map[string]bool // addresses
	until  time.Time       // until then all is refused
}

func newProxy(p *play, m mutant) *proxy {
	return &proxy{play: p, mutant: m, t: &http.Transport{DialContext: p.net.Dialer("10.1.0.9"), DisableKeepAlives: true}, failed: make(map[string]bool)}
}

// choose chooses a server that has not been tried.
func (x *proxy) choose(service string, tried []string) (string, bool) {
	x.play.mu.Lock()
	defer x.play.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []string
	for _, s := range x.servers {
		_, leaves := x.drained[s.ID]
		if s.Service == service && (!leaves || x.mutant == usesDrained) && !slices.Contains(tried, s.Address) && !(x.mutant == forgets && x.failed[s.Address]) {
			list = append(list, s.Address)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))], true
}

// admit returns the organisation of a request and its route.
func (x *proxy) admit(r *http.Request) (organisation string, to *route, status int) {
	x.play.mu.Lock()
	keys := slices.Clone(x.keys)
	x.play.mu.Unlock()
	if x.mutant == keepsKeys {
		keys = append(keys, "key-1")
	}
	switch key := r.Header.Get("X-Api-Key"); {
	case key == "key-0":
		organisation = "org-0"
	case slices.Contains(keys, key):
		organisation = "org-1"
	default:
		return "", nil, http.StatusUnauthorized
	}
	for i := range routes {
		if strings.HasPrefix(r.URL.Path, "/call/"+routes[i].path+"/") {
			to = &routes[i]
		}
	}
	x.mu.Lock()
	blocked := time.Now().Before(x.until)
	x.mu.Unlock()
	switch {
	case to == nil:
		return "", nil, http.StatusNotFound
	case x.mutant == denies && rand.IntN(10) == 0:
		return "", nil, http.StatusForbidden
	case blocked:
		return "", nil, http.StatusServiceUnavailable
	}
	return organisation, to, 0
}

// ServeHTTP implements http.Handler.
func (x *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		if x.mutant == neverReady {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	organisation, to, status := x.admit(r)
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithTimeout(r.Context(), to.timeout)
	defer cancel()
	if x.mutant == goesOn {
		ctx = context.WithoutCancel(ctx)
	}
	attempts := 1
	if to.repeatable {
		attempts = to.attempts
	}
	if x.mutant == swarms || x.mutant == sendsTwice {
		attempts = 8
	}
	var tried []string
	for range attempts {
		address, ok := x.choose(to.service, tried)
		if !ok {
			break
		}
		tried = append(tried, address)
		if x.try(ctx, w, r, to, address, organisation, body) {
			return
		}
	}
	if x.mutant == hangs {
		time.Sleep(to.timeout + time.Second)
	}
	if x.mutant == promises {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusBadGateway)
}

// fail records that a server has failed.
func (x *proxy) fail(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failed[address] = true
	if x.mutant == blames {
		x.until = time.Now().Add(2 * time.Second)
	}
}

// try sends a request to a server and passes its answer on. It reports false if another server may be tried.
func (x *proxy) try(ctx context.Context, w http.ResponseWriter, r *http.Request, to *route, address, organisation string, body []byte) bool {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header = r.Header.Clone()
	req.Header.Del("X-Api-Key")
	if x.mutant != passesHeaders {
		req.Header.Del("X-Hold")
	}
	req.Header.Set("X-Tenant", organisation)
	answered := make(chan struct{})
	if x.mutant == overlaps && to.service == "models" {
		req = req.WithContext(context.WithoutCancel(ctx))
	}
	var resp *http.Response
	go func() {
		defer close(answered)
		resp, err = x.t.RoundTrip(req)
	}()
	select {
	case <-answered:
	case <-time.After(x.patience(to)):
		go func() {
			<-answered
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		}()
		return false
	}
	stamp := ""
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		stamp = resp.Header.Get("X-Server-Stamp")
	}
	if err != nil || stamp == "" || resp.Header.Get("X-Request-Id") != r.Header.Get("X-Request-Id") || resp.StatusCode != http.StatusOK {
		x.fail(address)
		return false
	}
	if x.mutant == loses && rand.IntN(10) == 0 {
		return false
	}
	if x.mutant == lendsStamps && rand.IntN(10) == 0 {
		w.Header().Set("X-Server-Stamp", stamp)
		w.WriteHeader(http.StatusBadGateway)
		return true
	}
	w.Header().Set("X-Server-Stamp", stamp)
	if _, err = io.Copy(w, resp.Body); err != nil && x.mutant != endsAsWhole {
		panic(http.ErrAbortHandler)
	}
	return true
}

// patience is how long a server may be silent before its answer.
func (x *proxy) patience(to *route) time.Duration {
	if x.mutant == overlaps && to.service == "models" {
		return 400 * time.Millisecond
	}
	return 10 * time.Second
}

// TestMutants checks that each rule catches what breaks it, and that none speaks of a sound proxy in calm times.
func TestMutants(t *testing.T) {
	long := func(c Cell, cause platformtest.Cause) *Effect {
		return &Effect{Cell: c, Cause: cause, N: 5, From: firstEffect, Until: lastEffect}
	}
	closes := Cell{Phase: platformtest.Begun, Form: platformtest.Close}
	list := []struct {
		mutant mutant
		world  World
		rules  []string // that it breaks
	}{
		{sound, World{}, nil},
		{endsAsWhole, World{Effects: []*Effect{long(Cell{Phase: platformtest.Event, Form: platformtest.Cut}, platformtest.ByChance)}}, []string{"whole"}},
		{lendsStamps, World{}, []string{"failures"}},
		{sendsTwice, World{Effects: []*Effect{long(closes, platformtest.ByChance)}}, []string{"once"}},
		{promises, World{Effects: []*Effect{long(closes, platformtest.ByPath)}}, []string{"refused"}},
		{passesHeaders, World{}, []string{"unchanged"}},
		{swarms, World{Effects: []*Effect{long(Cell{Phase: platformtest.Begun, Form: platformtest.Fail}, platformtest.ByPath)}}, []string{"attempts", "budget"}},
		{sound, World{Effects: []*Effect{{Cell: Cell{Phase: platformtest.Event, Form: platformtest.Crash}, Cause: platformtest.ByPart, N: 1, From: firstEffect, Until: lastEffect}}}, []string{"crashes"}},
		{overlaps, World{Effects: []*Effect{long(Cell{Phase: platformtest.Begun, Timing: platformtest.Silent}, platformtest.ByVersion)}}, []string{"overlap"}},
		{goesOn, World{
			Effects: []*Effect{long(Cell{Phase: platformtest.Event, Timing: platformtest.Silent}, platformtest.ByConfiguration)},
			Works:   []Work{{Kind: AddRoute, From: firstEffect}},
		}, []string{"gone"}},
		{usesDrained, World{Works: []Work{{Drain, 0, 6000, 0}, {Drain, 1, 6000, 0}, {Drain, 2, 6000, 0}, {Drain, 3, 6000, 0}}}, []string{"drained"}},
		{denies, World{}, []string{"allowed"}},
		{keepsKeys, World{Works: []Work{{WithdrawKey, 0, 6000, 0}}}, []string{"configuration"}},
		{hangs, World{Effects: []*Effect{long(closes, platformtest.ByPath)}}, []string{"in time"}},
		{loses, World{}, []string{"delivered"}},
		{forgets, World{
			Effects: []*Effect{long(closes, platformtest.ByConfiguration)},
			Works:   []Work{{Kind: AddRoute, From: firstEffect}},
		}, []string{"recovered"}},
		{blames, World{Effects: []*Effect{long(closes, platformtest.ByPath)}}, []string{"neighbours"}},
		{neverReady, World{}, []string{"ready"}},
	}
	caught := make(map[string]bool)
	for _, x := range list {
		for _, name := range x.rules {
			caught[name] = true
		}
		t.Run(string(x.mutant), func(t *testing.T) {
			t.Parallel()
			x.world.Seed = 1
			broken := x.world.run(t, func(p *play) http.Handler { return newProxy(p, x.mutant) }).check()
			if len(x.rules) == 0 {
				for _, line := range broken {
					t.Error(line)
				}
			}
			for _, name := range x.rules {
				if !slices.ContainsFunc(broken, func(line string) bool { return strings.HasPrefix(line, name+": ") }) {
					t.Errorf("%q is not among %q", name, broken)
				}
			}
		})
	}
	for _, r := range rules {
		if !caught[r.name] {
			t.Errorf("no mutant breaks %q", r.name)
		}
	}
}
