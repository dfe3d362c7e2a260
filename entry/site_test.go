package entry_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"quetzalhold/caller"
	"quetzalhold/demo"
	"quetzalhold/engine"
	"quetzalhold/memnet"
	"quetzalhold/standin"
)

// testSite is a site whose processes talk over an in-memory network.
type testSite struct {
	*demo.Site
	net *memnet.Network

	mu    sync.Mutex
	hosts map[string]memnet.Host
	ports int
}

// linkLatency is the one-way latency between any two hosts.
const linkLatency = 500 * time.Microsecond

func newTestSite() (*testSite, error) {
	ts := &testSite{net: &memnet.Network{}, hosts: make(map[string]memnet.Host)}
	ts.net.Latency = func(memnet.Host, memnet.Host) time.Duration { return linkLatency }
	var err error
	ts.Site, err = demo.NewSite(demo.Network{Listen: ts.listen, Dialer: ts.dialer})
	return ts, err
}

// newReadySite returns a site whose engines and entry VMs are ready.
func newReadySite(engines, entries int, cfg standin.EngineConfig) (*testSite, error) {
	ts, err := newTestSite()
	if err != nil {
		return nil, err
	}
	return ts, ts.build(engines, entries, cfg)
}

// closeWait is the time after which every call of a closed site has ended.
const closeWait = 6 * time.Minute

// closeAndWait closes the site and waits for its remaining calls to end: the
// clock of a synctest bubble stops once its test returns.
func (ts *testSite) closeAndWait() {
	ts.Close()
	time.Sleep(closeWait)
}

// host returns the IP number of a named host.
func (ts *testSite) host(name string) memnet.Host {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	h, ok := ts.hosts[name]
	if !ok {
		h = memnet.Host(fmt.Sprintf("10.0.0.%d", len(ts.hosts)+1))
		ts.hosts[name] = h
	}
	return h
}

func (ts *testSite) listen(name string) (net.Listener, error) {
	h := ts.host(name)
	ts.mu.Lock()
	ts.ports++
	port := 7000 + ts.ports
	ts.mu.Unlock()
	return ts.net.Listen(fmt.Sprintf("%s:%d", h, port))
}

func (ts *testSite) dialer(name string) engine.Dialer { return ts.net.Dialer(ts.host(name)) }

// build adds engines and entry VMs and waits until they are ready.
func (ts *testSite) build(engines, entries int, cfg standin.EngineConfig) error {
	for i := range engines {
		cfg.ID = engine.ServerID(fmt.Sprintf("engine-%d", i+1))
		if _, err := ts.AddEngine(ts.Places[0].Names.Code, cfg); err != nil {
			return err
		}
	}
	for i := range entries {
		if _, err := ts.AddEntry(ts.Places[0].Names.Code, engine.ServerID(fmt.Sprintf("entry-%d", i+1)), nil); err != nil {
			return err
		}
	}
	return ts.AwaitReady(context.Background())
}

// killEngine kills an engine's process.
func (ts *testSite) killEngine(id engine.ServerID) {
	ts.Engine(id).Kill()
	ts.net.Crash(ts.host(string(id)))
}

// killEntry kills an entry VM's process.
func (ts *testSite) killEntry(i int) {
	e := ts.Entries()[i]
	e.Kill()
	ts.net.Crash(ts.host(e.Host))
}

// sumCounts sums a count over all engines that have ever run.
func (ts *testSite) sumCounts(count func(standin.EngineCounts) int) int {
	n := 0
	for _, e := range ts.AllEngines() {
		n += count(e.Counts())
	}
	return n
}

// generated returns the number of tokens that all engines have generated.
func (ts *testSite) generated() int {
	n := engine.Tokens(0)
	for _, e := range ts.AllEngines() {
		_, generated := e.Load()
		n += generated
	}
	return int(n)
}

// busyEngine returns the engine that is generating, or an empty ID.
func (ts *testSite) busyEngine() engine.ServerID {
	for _, e := range ts.AllEngines() {
		if running, _ := e.Load(); running > 0 {
			return e.ID()
		}
	}
	return ""
}

// client returns a caller's client that knows every entry VM.
func (ts *testSite) client(opts ...caller.ClientOption) *caller.Client {
	var addresses []string
	for _, e := range ts.Entries() {
		addresses = append(addresses, e.Address)
	}
	opts = append([]caller.ClientOption{caller.WithDial(ts.dialer("caller"))}, opts...)
	return caller.NewClient(addresses, demo.CallerKey, opts...)
}

// newQuestion returns a request for the demo model.
func newQuestion(prompt string, tokens engine.Tokens, seed uint64) caller.CompletionRequest {
	return caller.CompletionRequest{Model: demo.DemoModel, Prompt: prompt, MaxTokens: tokens, Seed: &seed}
}

// wantText returns the text that an engine without failures gives.
func wantText(q caller.CompletionRequest) string {
	return standin.ExpectedAnswer(engine.Start{
		Version: demo.DemoVersion, Prompt: q.Prompt, Seed: *q.Seed, MaxTokens: q.MaxTokens,
	}, 0).Text()
}

// waitUntil polls until the condition holds or the limit has passed on the
// bubble's clock, and reports whether it holds.
func waitUntil(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		if cond() {
			return true
		}
	}
	return cond()
}
