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

// world is a site on a network in memory.
type world struct {
	*demo.Site
	net *memnet.Network

	mu    sync.Mutex
	hosts map[string]memnet.Host
	ports int
}

// oneWay is the latency between any two hosts.
const oneWay = 500 * time.Microsecond

func newWorld() (*world, error) {
	w := &world{net: &memnet.Network{}, hosts: make(map[string]memnet.Host)}
	w.net.Latency = func(memnet.Host, memnet.Host) time.Duration { return oneWay }
	var err error
	w.Site, err = demo.NewSite(demo.Network{Listen: w.listen, Dialer: w.dialer})
	return w, err
}

// newBuiltWorld returns a world with engines and entry VMs that work together.
func newBuiltWorld(engines, entries int, cfg standin.EngineConfig) (*world, error) {
	w, err := newWorld()
	if err != nil {
		return nil, err
	}
	return w, w.build(engines, entries, cfg)
}

// endTime is when every call of a closed site has given up.
const endTime = 6 * time.Minute

// end closes the site and waits for what is left of its calls: a bubble's time
// stands still once its test returns.
func (w *world) end() {
	w.Close()
	time.Sleep(endTime)
}

// host returns the IP number of a named host.
func (w *world) host(name string) memnet.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.hosts[name]
	if !ok {
		h = memnet.Host(fmt.Sprintf("10.0.0.%d", len(w.hosts)+1))
		w.hosts[name] = h
	}
	return h
}

func (w *world) listen(name string) (net.Listener, error) {
	h := w.host(name)
	w.mu.Lock()
	w.ports++
	port := 7000 + w.ports
	w.mu.Unlock()
	return w.net.Listen(fmt.Sprintf("%s:%d", h, port))
}

func (w *world) dialer(name string) engine.Dialer { return w.net.Dialer(w.host(name)) }

// build adds engines and entry VMs and waits until they work together.
func (w *world) build(engines, entries int, cfg standin.EngineConfig) error {
	for i := range engines {
		cfg.ID = engine.ServerID(fmt.Sprintf("engine-%d", i+1))
		if _, err := w.AddEngine(w.Places[0].Names.Code, cfg); err != nil {
			return err
		}
	}
	for i := range entries {
		if _, err := w.AddEntry(w.Places[0].Names.Code, engine.ServerID(fmt.Sprintf("entry-%d", i+1)), nil); err != nil {
			return err
		}
	}
	return w.AwaitReady(context.Background())
}

// killEngine ends an engine's process.
func (w *world) killEngine(id engine.ServerID) {
	w.Engine(id).Kill()
	w.net.Die(w.host(string(id)))
}

// killEntry ends an entry VM's process.
func (w *world) killEntry(i int) {
	e := w.Entries()[i]
	e.Kill()
	w.net.Die(w.host(e.Host))
}

// all sums a count over the engines that ever ran.
func (w *world) all(count func(standin.EngineCounts) int) int {
	n := 0
	for _, e := range w.AllEngines() {
		n += count(e.Counts())
	}
	return n
}

// generated returns the tokens that all engines have generated.
func (w *world) generated() int {
	n := engine.Tokens(0)
	for _, e := range w.AllEngines() {
		_, generated := e.Load()
		n += generated
	}
	return int(n)
}

// busy returns the engine that generates, or an empty id.
func (w *world) busy() engine.ServerID {
	for _, e := range w.AllEngines() {
		if running, _ := e.Load(); running > 0 {
			return e.ID()
		}
	}
	return ""
}

// client returns a caller that knows every entry VM.
func (w *world) client(opts ...caller.ClientOption) *caller.Client {
	var addresses []string
	for _, e := range w.Entries() {
		addresses = append(addresses, e.Address)
	}
	opts = append([]caller.ClientOption{caller.WithDial(w.dialer("caller"))}, opts...)
	return caller.NewClient(addresses, demo.CallerKey, opts...)
}

// question is what the tests ask.
func question(prompt string, tokens engine.Tokens, seed uint64) caller.CompletionRequest {
	return caller.CompletionRequest{Model: demo.DemoModel, Prompt: prompt, MaxTokens: tokens, Seed: &seed}
}

// wholeText recomputes the answer to a question.
func wholeText(q caller.CompletionRequest) string {
	return standin.WholeAnswer(engine.Start{
		Version: demo.DemoVersion, Prompt: q.Prompt, Seed: *q.Seed, MaxTokens: q.MaxTokens,
	}, 0).Text()
}

// eventually polls until the condition holds, in the bubble's time.
func eventually(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		if cond() {
			return true
		}
	}
	return cond()
}
