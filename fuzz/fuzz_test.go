package fuzz_test

import (
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"quetzalhold/golden"
	"quetzalhold/platform/platformtest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	golden.FixSeed()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20") // a number is never refused
	}
	log.SetOutput(io.Discard) // package net/http logs each answer on an idle connection
	os.Exit(m.Run())
}

// TestCalm plays worlds without trouble, in which all is served at the first attempt.
func TestCalm(t *testing.T) {
	for i, x := range platformtest.Numberings() {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			w := &World{Seed: uint64(i + 1), Numbering: i, Comments: i%2 == 1}
			p := w.run(t, nil)
			for _, line := range p.check() {
				t.Error(line)
			}
			for _, q := range p.requests {
				if !q.left && (q.status != 200 || !q.whole) {
					t.Errorf("%s %s: status %d", q.id, q.path, q.status)
				}
			}
		})
	}
}

// drawEffect draws how long an effect lasts and what it depends on.
func drawEffect(t *rapid.T, cells []Cell) *Effect {
	c := rapid.SampledFrom(cells).Draw(t, "cell")
	from := rapid.IntRange(firstEffect, lastEffect-1000).Draw(t, "from")
	return &Effect{
		Cell: c, Cause: rapid.SampledFrom(c.Phase.Causes()).Draw(t, "cause"), Value: rapid.IntRange(0, 2*perService-1).Draw(t, "value"),
		N: rapid.IntRange(1, streamSize).Draw(t, "n"), From: from, Until: rapid.IntRange(from+500, lastEffect).Draw(t, "until"),
	}
}

// drawWorld draws a world with one to six effects that overlap. Half of all worlds have work in them too.
func drawWorld(t *rapid.T) *World {
	cells := platformtest.Cells()
	w := &World{Seed: rapid.Uint64Range(0, 1<<32).Draw(t, "seed")}
	for range rapid.IntRange(1, 6).Draw(t, "effects") {
		w.Effects = append(w.Effects, drawEffect(t, cells))
	}
	if rapid.Bool().Draw(t, "work") {
		for range rapid.IntRange(1, 3).Draw(t, "works") {
			from := rapid.IntRange(firstEffect, lastEffect-3000).Draw(t, "from")
			w.Works = append(w.Works, Work{
				Kind: WorkKind(rapid.IntRange(0, works-1).Draw(t, "kind")), Value: rapid.IntRange(0, 2*perService-1).Draw(t, "value"),
				From: from, Until: rapid.IntRange(from, lastEffect).Draw(t, "until"),
			})
		}
	}
	w.Numbering = rapid.IntRange(0, len(platformtest.Numberings())-1).Draw(t, "numbering")
	w.Comments = rapid.IntRange(0, 3).Draw(t, "comments") == 0
	return w
}

// TestSearch draws worlds until one breaks a rule, and shrinks it. More worlds are played with -rapid.checks, other ones
// with -rapid.seed.
func TestSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := drawWorld(rt)
		if broken := w.run(t, nil).check(); len(broken) > 0 {
			rt.Fatalf("%s\n%s", strings.Join(broken, "\n"), w)
		}
	})
}

// sweep returns worlds that together play each cell, and each cause in each phase, in an order that does not change.
func sweep() (all []*World) {
	const lasts = 4000
	r := rand.New(rand.NewPCG(20261205, 0))
	cells := platformtest.Cells()
	r.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	next := make(map[platformtest.Phase]int)
	for chunk := range slices.Chunk(cells, 5) {
		w := &World{Seed: r.Uint64(), Numbering: len(all) % len(platformtest.Numberings())}
		if len(all)%2 == 1 {
			w.Works = []Work{{Kind: WorkKind(len(all) / 2 % works), Value: r.IntN(2 * perService), From: firstEffect + 1000, Until: firstEffect + 5000}}
		}
		for i, c := range chunk {
			list := c.Phase.Causes()
			e := &Effect{Cell: c, Cause: list[next[c.Phase]%len(list)], Value: r.IntN(2 * perService), N: 1 + r.IntN(streamSize), From: firstEffect + 1500*i, Until: firstEffect + 1500*i + lasts}
			next[c.Phase]++
			if e.Cause == platformtest.ByConfiguration && !w.has(AddRoute) {
				w.Works = append(w.Works, Work{Kind: AddRoute, From: firstEffect - 500})
			}
			w.Effects = append(w.Effects, e)
		}
		all = append(all, w)
	}
	return all
}

// alone returns a world in which a cell is played at each opportunity for as long as a world allows.
func alone(c Cell) *World {
	w := &World{Seed: 1, Effects: []*Effect{{Cell: c, Cause: platformtest.ByConfiguration, N: 2, From: firstEffect, Until: lastEffect}}, Works: []Work{{Kind: AddRoute, From: firstEffect - 500}}}
	if c.IsStore() {
		w.Works = append(w.Works, Work{Kind: Restart, Value: 1, From: firstEffect + 1000}, Work{Kind: MoveVersion, From: firstEffect + 500})
	}
	return w
}

// TestTable plays each cell of the table. Those that nothing reaches are listed in a golden file.
func TestTable(t *testing.T) {
	var mu sync.Mutex
	played := make(map[Cell]bool)
	try := func(t *testing.T, name string, w *World) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if broken := w.run(t, nil).check(); len(broken) > 0 {
				t.Errorf("%s\n%s", strings.Join(broken, "\n"), w)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, e := range w.Effects {
				if e.Played() > 0 {
					played[e.Cell] = true
				}
			}
		})
	}
	t.Run("together", func(t *testing.T) {
		for i, w := range sweep() {
			try(t, fmt.Sprint(i), w)
		}
	})
	t.Run("alone", func(t *testing.T) {
		for _, c := range platformtest.Cells() {
			if !played[c] {
				try(t, c.String(), alone(c))
			}
		}
	})
	var missed strings.Builder
	for _, c := range platformtest.Cells() {
		if !played[c] {
			fmt.Fprintln(&missed, c)
		}
	}
	if d := golden.Diff(filepath.Join("testdata", "uncovered.txt"), []byte(missed.String())); d != "" {
		t.Error(d)
	}
}

// TestList compares the table with its golden file, which is there for readers.
func TestList(t *testing.T) {
	var b strings.Builder
	last := platformtest.Phase(-1)
	for _, c := range platformtest.Cells() {
		if c.Phase != last {
			fmt.Fprintf(&b, "%s, by %v\n", c.Phase, c.Phase.Causes())
			last = c.Phase
		}
		fmt.Fprintf(&b, "\t%s, %s\n", c.Form, c.Timing)
	}
	if d := golden.Diff(filepath.Join("testdata", "table.txt"), []byte(b.String())); d != "" {
		t.Error(d)
	}
}

// TestRegressions plays worlds that once broke a rule.
func TestRegressions(t *testing.T) {
	for _, x := range []struct {
		name string
		w    World
	}{
		{"421 in the name of another server, which was believed for good", World{
			Seed: 7455010606957576365,
			Effects: []*Effect{
				{Cell: Cell{Phase: platformtest.Head, Form: platformtest.Misdirect}, Cause: platformtest.ByOrganisation, Value: 18, N: 7, From: 7000, Until: 10000},
			},
		}},
		{"a part that crashes engines", World{
			Seed:    3,
			Effects: []*Effect{{Cell: Cell{Phase: platformtest.Event, Form: platformtest.Crash}, Cause: platformtest.ByPart, Value: 1, N: 1, From: firstEffect, Until: lastEffect}},
		}},
		{"restarts beside a silent store, after which callers were told that they had left", World{
			Seed: 11,
			Works: []Work{
				{Restart, 3, 5000, 0}, {StoreDown, 11, 5013, 10280}, {Restart, 2, 5500, 0},
			},
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			for _, line := range x.w.run(t, nil).check() {
				t.Error(line)
			}
		})
	}
}

// TestPartCrashesBeforeHead guards against parts of prompts that crash engines before a byte of the answer is sent, and are
// found out too late.
func TestPartCrashesBeforeHead(t *testing.T) {
	e := &Effect{Cell: Cell{Phase: platformtest.Begun, Form: platformtest.Crash}, Cause: platformtest.ByPart, Value: 1, From: firstEffect, Until: lastEffect}
	w := &World{Seed: 3, Effects: []*Effect{e}}
	for _, line := range newRecord(w.run(t, nil)).crashesOf(e) {
		t.Error(line)
	}
}
