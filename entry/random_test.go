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

// event is one fault of a randomised run.
type event struct {
	after time.Duration // since the one before
	kind  string
	what  int // which engine or entry VM
}

// The faults of a randomised run. Entry VM 2 and engine 3 are spared, so that
// an answer can always go on.
var randomFaults = []string{
	"pause", "mute", "cross", "reset", "silence", "cut", "engine dies", "entry VM silent", "refuse", "slow",
}

func drawEvents(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			after: time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond,
			kind:  rapid.SampledFrom(randomFaults).Draw(t, "kind"),
			what:  rapid.IntRange(1, 3).Draw(t, "what"),
		}
	}), 1, 12).Draw(t, "events")
}

// strike injects one fault.
func (w *world) strike(ev event) {
	id := engine.ServerID(fmt.Sprintf("engine-%d", ev.what))
	e := w.Engine(id)
	h := w.host(string(id))
	entryHost := w.host(fmt.Sprintf("entry-%d", ev.what%2+1))
	switch ev.kind {
	case "pause":
		e.Inject(standin.Fault{Pause: true})
		time.AfterFunc(3*time.Second, func() { e.Inject(standin.Fault{Continue: true}) })
	case "mute":
		e.Inject(standin.Fault{Mute: true})
	case "cross":
		e.Inject(standin.Fault{Cross: 2})
	case "reset":
		w.net.Reset(entryHost, h)
	case "silence":
		w.net.Blackhole(entryHost, h)
	case "cut":
		w.net.Partition(entryHost, h)
		time.AfterFunc(4*time.Second, func() { w.net.Heal(entryHost, h) })
	case "engine dies":
		w.killEngine(id)
		time.AfterFunc(2*time.Second, func() {
			if _, err := w.Restart(e); err != nil {
				panic(err)
			}
		})
	case "entry VM silent":
		w.net.Blackhole(w.host("caller"), entryHost)
	case "refuse":
		yes, no := true, false
		e.Inject(standin.Fault{Refuse: &yes})
		time.AfterFunc(2*time.Second, func() { e.Inject(standin.Fault{Refuse: &no}) })
	case "slow":
		e.Inject(standin.Fault{Slow: 5})
		time.AfterFunc(2*time.Second, func() { e.Inject(standin.Fault{Slow: 1}) })
	}
}

// longestFault is when the last fault has ended.
const longestFault = 5 * time.Second

// randomAnswers is how many answers a randomised run asks for at once.
const randomAnswers = 6

// TestRandomFaults mixes faults over several answers at once. Every answer must
// come whole; -rapid.checks makes the run longer, -rapid.seed another one.
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

// runRandom strikes with the events while answers are asked for, and returns
// what went wrong.
func runRandom(events []event) []error {
	w, err := newBuiltWorld(3, 2, standin.EngineConfig{})
	if err != nil {
		return []error{err}
	}
	defer w.end()
	failures := make([]error, randomAnswers)
	var wg sync.WaitGroup
	for i := range randomAnswers {
		wg.Go(func() { failures[i] = w.askThrough(i) })
	}
	for _, ev := range events {
		time.Sleep(ev.after)
		w.strike(ev)
	}
	wg.Wait()
	time.Sleep(longestFault)
	return slices.DeleteFunc(failures, func(err error) bool { return err == nil })
}

// askThrough asks a client that knows both entry VMs.
func (w *world) askThrough(i int) error {
	q := question(fmt.Sprintf("prompt %d of the run", i), 150, uint64(i))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	ask := w.client().Stream
	if i%3 == 0 {
		ask = w.client().Whole
	}
	a, err := ask(ctx, caller.StyleCompletion, q)
	switch {
	case err != nil:
		return fmt.Errorf("answer %d broke off after %d tokens: %w", i, len(a.Tokens), err)
	case a.Text() != wholeText(q):
		return fmt.Errorf("answer %d is wrong: %q", i, a.Text())
	}
	return nil
}
