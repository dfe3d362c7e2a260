package entry_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/caller"
	"quetzalhold/engine"
	"quetzalhold/standin"
)

// The length of answers and faults in the fault matrix.
const (
	matrixTokens    engine.Tokens = 160
	matrixGap                     = 20 * time.Millisecond
	matrixEndDelay                = 100 * time.Millisecond
	matrixWords                   = 2000
	matrixPrefill                 = 200 * time.Millisecond // matrixWords at the stand-in's rate
	pauseLength                   = 5 * time.Second
	partitionLength               = 10 * time.Second
	restartAfter                  = time.Second
	// resumeTarget is the time within which output must resume after a failure.
	resumeTarget = 2 * time.Second
	// cancelTimeout is the time within which every cancel must be confirmed.
	cancelTimeout = 65 * time.Second
)

// matrixCell is the state of one running cell of the fault matrix.
type matrixCell struct {
	*testSite
	target    engine.ServerID
	allowance time.Duration // time during which no server is available

	wantGenerations []int // permitted values of generations
}

// matrixFaults are the rows of the matrix.
var matrixFaults = []struct {
	name    string
	engines int
	// entryLost reports whether the entry VM is lost, so that a caller must
	// request a whole answer again.
	entryLost bool
	inject    func(*matrixCell)
}{
	{name: "engine dies", engines: 3, inject: func(c *matrixCell) { c.killEngine(c.target) }},
	{name: "engine VM vanishes", engines: 3, inject: func(c *matrixCell) { c.net.Disconnect(c.host(string(c.target))) }},
	{name: "engine pauses and returns", engines: 3, inject: func(c *matrixCell) {
		e := c.Engine(c.target)
		e.Inject(standin.Fault{Pause: true})
		time.AfterFunc(pauseLength, func() { e.Inject(standin.Fault{Continue: true}) })
	}},
	{name: "connection reset", engines: 3, inject: func(c *matrixCell) {
		c.net.Reset(c.host("entry-1"), c.host(string(c.target)))
	}},
	{name: "connection silent for good", engines: 3, inject: func(c *matrixCell) {
		c.net.Blackhole(c.host("entry-1"), c.host(string(c.target)))
	}},
	{name: "partition", engines: 3, inject: func(c *matrixCell) {
		a, b := c.host("entry-1"), c.host(string(c.target))
		c.net.Partition(a, b)
		time.AfterFunc(partitionLength, func() { c.net.Heal(a, b) })
	}},
	{name: "answers late and crossed", engines: 3, inject: func(c *matrixCell) {
		e := c.Engine(c.target)
		e.Inject(standin.Fault{Pause: true, Cross: 1})
		time.AfterFunc(resumeTarget/4, func() { e.Inject(standin.Fault{Continue: true}) })
	}},
	{name: "entry VM dies", engines: 3, entryLost: true, inject: func(c *matrixCell) { c.killEntry(0) }},
	{name: "entry VM vanishes", engines: 3, entryLost: true, inject: func(c *matrixCell) { c.net.Disconnect(c.host("entry-1")) }},
	{name: "entry VM drains", engines: 3, inject: func(c *matrixCell) {
		e := c.Entries()[0]
		go func() { _ = e.Stop() }()
	}},
	{name: "version's last server lost", engines: 1, inject: func(c *matrixCell) {
		e := c.Engine(c.target)
		c.killEngine(c.target)
		c.allowance = restartAfter
		time.AfterFunc(restartAfter, func() {
			if _, err := c.Restart(e); err != nil {
				panic(err)
			}
		})
	}},
}

// matrixSteps are the columns of the matrix: when the fault is injected.
var matrixSteps = []struct {
	name string
	// reached reports whether the step is reached; the fault is injected after
	// a further delay.
	reached func(*matrixCell) bool
	delay   time.Duration
	// generations are the permitted numbers of generations that begin at
	// position 0: more than one only if nothing had been delivered.
	generations []int
}{
	{"before the first byte", func(c *matrixCell) bool { return c.busyEngine() != "" }, 0, []int{1, 2, 3}},
	{"in prefill", func(c *matrixCell) bool { return c.busyEngine() != "" }, matrixPrefill / 2, []int{1, 2, 3}},
	{"first token", func(c *matrixCell) bool { return c.generated() >= 1 }, 0, []int{1, 2}},
	{"mid-stream", func(c *matrixCell) bool { return c.generated() >= int(matrixTokens/2) }, matrixGap / 2, []int{1}},
	{"last token", func(c *matrixCell) bool { return c.generated() >= int(matrixTokens-1) }, matrixGap / 2, []int{1}},
	{"before the end marker", func(c *matrixCell) bool { return c.generated() >= int(matrixTokens) }, matrixEndDelay / 2, []int{1}},
}

// matrixQuestion returns a request with a prompt long enough that its prefill
// takes matrixPrefill.
func matrixQuestion() caller.CompletionRequest {
	return newQuestion(strings.Repeat("intake log of the cork bin ", matrixWords/6), matrixTokens, 11)
}

func TestFaultMatrix(t *testing.T) {
	for _, f := range matrixFaults {
		for _, st := range matrixSteps {
			for _, mode := range []string{"streamed", "whole"} {
				runInSynctest(t, f.name+"/"+st.name+"/"+mode, func() {
					ts, err := newReadySite(f.engines, 2, standin.EngineConfig{TokenGap: matrixGap, EndDelay: matrixEndDelay})
					So(err, ShouldBeNil)
					c := &matrixCell{testSite: ts, wantGenerations: st.generations}
					defer c.closeAndWait()
					injectedAt := make(chan time.Time, 1)
					go func() {
						waitUntil(time.Minute, func() bool { return st.reached(c) })
						time.Sleep(st.delay)
						c.target = c.busyEngine()
						at := time.Now()
						f.inject(c)
						injectedAt <- at
					}()
					if mode == "streamed" {
						c.checkStreamed(injectedAt)
					} else {
						c.checkWhole(injectedAt, f.entryLost)
					}
					c.checkSettled()
				})
			}
		}
	}
}

// checkStreamed requests a streamed answer and checks its text, the generations
// and the time between tokens.
func (c *matrixCell) checkStreamed(injectedAt <-chan time.Time) {
	begin := time.Now()
	last := begin
	var worst time.Duration
	q := matrixQuestion()
	cl := c.client(caller.OnPiece(func(string) {
		now := time.Now()
		gap := now.Sub(last)
		if last.Equal(begin) {
			gap -= matrixPrefill
		}
		worst = max(worst, gap)
		last = now
	}))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a, err := cl.Stream(ctx, caller.StyleCompletion, q)
	So(err, ShouldBeNil)
	end := time.Now()
	<-injectedAt
	So(a.Text(), ShouldEqual, wantText(q))
	So(a.Finish, ShouldEqual, engine.FinishLength)
	So(c.generations(a.Request), ShouldBeIn, c.wantGenerations)
	So(worst, ShouldBeLessThanOrEqualTo, resumeTarget+matrixGap+c.allowance)
	So(end.Sub(last), ShouldBeLessThanOrEqualTo, resumeTarget+matrixEndDelay+c.allowance)
}

// generations returns how many generations of a request began at position 0.
func (c *matrixCell) generations(id engine.RequestID) int {
	return c.sumCounts(func(k standin.EngineCounts) int { return k.Generations[id] })
}

// checkWhole requests a whole answer and checks its text, its time and the
// generations.
func (c *matrixCell) checkWhole(injectedAt <-chan time.Time, entryLost bool) {
	begin := time.Now()
	q := matrixQuestion()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a, err := c.client().Whole(ctx, caller.StyleCompletion, q)
	So(err, ShouldBeNil)
	took := time.Since(begin)
	at := <-injectedAt
	So(a.Text(), ShouldEqual, wantText(q))
	normal := matrixPrefill + time.Duration(matrixTokens)*matrixGap + matrixEndDelay
	limit := normal + resumeTarget + c.allowance
	if entryLost {
		// Nothing was delivered, so the caller requested the answer again.
		limit += at.Sub(begin)
	}
	// A continuation prefills the prompt and the generated tokens again.
	So(took, ShouldBeLessThanOrEqualTo, limit+2*matrixPrefill)
	So(c.generations(a.Request), ShouldBeIn, c.wantGenerations)
}

// checkSettled checks that no engine still generates for a request that has
// ended.
func (c *matrixCell) checkSettled() {
	time.Sleep(cancelTimeout)
	So(c.busyEngine(), ShouldEqual, engine.ServerID(""))
}
