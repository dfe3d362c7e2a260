package entry_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"quetzalhold/caller"
	"quetzalhold/engine"
	"quetzalhold/golden"
	"quetzalhold/standin"
)

func TestMain(m *testing.M) {
	flag.Parse()
	golden.FixSeed()
	os.Exit(m.Run())
}

// faultEvent is one fault of a randomised run.
type faultEvent struct {
	after  time.Duration // since the event before
	kind   string
	target int // number of the engine or entry VM
}

// randomFaults are the faults of a randomised run. Each ends by itself or
// affects only a few events or the streams and connections that are open, so
// that an answer can always complete.
var randomFaults = []string{
	"pause", "mute", "cross", "reset", "silence", "cut", "engine dies", "entry VM silent", "refuse", "slow",
}

func drawEvents(t *rapid.T) []faultEvent {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultEvent {
		return faultEvent{
			after:  time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond,
			kind:   rapid.SampledFrom(randomFaults).Draw(t, "kind"),
			target: rapid.IntRange(1, 3).Draw(t, "what"),
		}
	}), 1, 12).Draw(t, "events")
}

// inject injects one fault.
func (ts *testSite) inject(ev faultEvent) {
	id := engine.ServerID(fmt.Sprintf("engine-%d", ev.target))
	e := ts.Engine(id)
	h := ts.host(string(id))
	entryHost := ts.host(fmt.Sprintf("entry-%d", ev.target%2+1))
	switch ev.kind {
	case "pause":
		e.Inject(standin.Fault{Pause: true})
		time.AfterFunc(3*time.Second, func() { e.Inject(standin.Fault{Continue: true}) })
	case "mute":
		e.Inject(standin.Fault{Mute: true})
	case "cross":
		e.Inject(standin.Fault{Cross: 2})
	case "reset":
		ts.net.Reset(entryHost, h)
	case "silence":
		ts.net.Blackhole(entryHost, h)
	case "cut":
		ts.net.Partition(entryHost, h)
		time.AfterFunc(4*time.Second, func() { ts.net.Heal(entryHost, h) })
	case "engine dies":
		ts.killEngine(id)
		time.AfterFunc(2*time.Second, func() {
			if _, err := ts.Restart(e); err != nil {
				panic(err)
			}
		})
	case "entry VM silent":
		ts.net.Blackhole(ts.host("caller"), entryHost)
	case "refuse":
		yes, no := true, false
		e.Inject(standin.Fault{Refuse: &yes})
		time.AfterFunc(2*time.Second, func() { e.Inject(standin.Fault{Refuse: &no}) })
	case "slow":
		e.Inject(standin.Fault{Slow: 5})
		time.AfterFunc(2*time.Second, func() { e.Inject(standin.Fault{Slow: 1}) })
	}
}

// maxFaultLength is longer than any fault lasts.
const maxFaultLength = 5 * time.Second

// randomAnswers is the number of concurrent requests of a randomised run.
const randomAnswers = 6

// TestRandomFaults injects random faults during several concurrent requests, all
// of which must get the whole answer. Use -rapid.checks for a longer run and
// -rapid.seed for another one.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		var failures []error
		synctest.Test(t, func(*testing.T) { failures = runRandom(events) })
		for _, err := range failures {
			rt.Errorf("%v", err)
		}
	})
}

// runRandom injects the events during concurrent requests and returns the
// errors of those that did not get the whole answer.
func runRandom(events []faultEvent) []error {
	ts, err := newReadySite(3, 2, standin.EngineConfig{})
	if err != nil {
		return []error{err}
	}
	defer ts.closeAndWait()
	failures := make([]error, randomAnswers)
	var wg sync.WaitGroup
	for i := range randomAnswers {
		wg.Go(func() { failures[i] = ts.requestAnswer(i) })
	}
	for _, ev := range events {
		time.Sleep(ev.after)
		ts.inject(ev)
	}
	wg.Wait()
	time.Sleep(maxFaultLength)
	return slices.DeleteFunc(failures, func(err error) bool { return err == nil })
}

// requestAnswer sends a request with a client that knows both entry VMs.
func (ts *testSite) requestAnswer(i int) error {
	q := newQuestion(fmt.Sprintf("prompt %d of the run", i), 150, uint64(i))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	ask := ts.client().Stream
	if i%3 == 0 {
		ask = ts.client().Whole
	}
	a, err := ask(ctx, caller.StyleCompletion, q)
	switch {
	case err != nil:
		return fmt.Errorf("answer %d broke off after %d tokens: %w", i, len(a.Tokens), err)
	case a.Text() != wantText(q):
		return fmt.Errorf("answer %d is wrong: %q", i, a.Text())
	}
	return nil
}
