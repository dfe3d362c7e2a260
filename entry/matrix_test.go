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

// The measures of the matrix.
const (
	matrixTokens   engine.Tokens = 160
	matrixGap                    = 20 * time.Millisecond
	matrixEndDelay               = 100 * time.Millisecond
	matrixWords                  = 2000
	matrixPrefill                = 200 * time.Millisecond // matrixWords at the stand-in's rate
	pauseLength                  = 5 * time.Second
	cutLength                    = 10 * time.Second
	restartAfter                 = time.Second
	// resumeTarget is within what time output has to go on after a loss.
	resumeTarget = 2 * time.Second
	// settleTime is when every cancel must have been confirmed.
	settleTime = 65 * time.Second
)

// cell is one cell of the fault matrix while it runs.
type cell struct {
	*world
	victim engine.ServerID
	extra  time.Duration // time for which no server could have gone on

	generationCounts []int // permitted
}

// matrixFaults are the rows of the matrix.
var matrixFaults = []struct {
	name    string
	engines int
	// entryLost says that the caller asks for a whole answer again.
	entryLost bool
	inject    func(*cell)
}{
	{name: "engine dies", engines: 3, inject: func(c *cell) { c.killEngine(c.victim) }},
	{name: "engine VM vanishes", engines: 3, inject: func(c *cell) { c.net.Disconnect(c.host(string(c.victim))) }},
	{name: "engine pauses and returns", engines: 3, inject: func(c *cell) {
		e := c.Engine(c.victim)
		e.Inject(standin.Fault{Pause: true})
		time.AfterFunc(pauseLength, func() { e.Inject(standin.Fault{Continue: true}) })
	}},
	{name: "connection reset", engines: 3, inject: func(c *cell) {
		c.net.Reset(c.host("entry-1"), c.host(string(c.victim)))
	}},
	{name: "connection silent for good", engines: 3, inject: func(c *cell) {
		c.net.Blackhole(c.host("entry-1"), c.host(string(c.victim)))
	}},
	{name: "partition", engines: 3, inject: func(c *cell) {
		a, b := c.host("entry-1"), c.host(string(c.victim))
		c.net.Partition(a, b)
		time.AfterFunc(cutLength, func() { c.net.Heal(a, b) })
	}},
	{name: "answers late and crossed", engines: 3, inject: func(c *cell) {
		e := c.Engine(c.victim)
		e.Inject(standin.Fault{Pause: true, Cross: 1})
		time.AfterFunc(resumeTarget/4, func() { e.Inject(standin.Fault{Continue: true}) })
	}},
	{name: "entry VM dies", engines: 3, entryLost: true, inject: func(c *cell) { c.killEntry(0) }},
	{name: "entry VM vanishes", engines: 3, entryLost: true, inject: func(c *cell) { c.net.Disconnect(c.host("entry-1")) }},
	{name: "entry VM drains", engines: 3, inject: func(c *cell) {
		e := c.Entries()[0]
		go func() { _ = e.Stop() }()
	}},
	{name: "version's last server lost", engines: 1, inject: func(c *cell) {
		e := c.Engine(c.victim)
		c.killEngine(c.victim)
		c.extra = restartAfter
		time.AfterFunc(restartAfter, func() {
			if _, err := c.Restart(e); err != nil {
				panic(err)
			}
		})
	}},
}

// matrixSteps are the columns of the matrix: when the fault strikes.
var matrixSteps = []struct {
	name string
	// reached reports whether it is time; after is how much later to strike.
	reached func(*cell) bool
	after   time.Duration
	// generations is how many times an engine may have begun at position 0:
	// more than once only if nothing had been delivered.
	generations []int
}{
	{"before the first byte", func(c *cell) bool { return c.busy() != "" }, 0, []int{1, 2, 3}},
	{"in prefill", func(c *cell) bool { return c.busy() != "" }, matrixPrefill / 2, []int{1, 2, 3}},
	{"first token", func(c *cell) bool { return c.generated() >= 1 }, 0, []int{1, 2}},
	{"mid-stream", func(c *cell) bool { return c.generated() >= int(matrixTokens/2) }, matrixGap / 2, []int{1}},
	{"last token", func(c *cell) bool { return c.generated() >= int(matrixTokens-1) }, matrixGap / 2, []int{1}},
	{"before the end marker", func(c *cell) bool { return c.generated() >= int(matrixTokens) }, matrixEndDelay / 2, []int{1}},
}

// matrixQuestion is long enough to be prefilled for some time.
func matrixQuestion() caller.CompletionRequest {
	return question(strings.Repeat("intake log of the cork bin ", matrixWords/6), matrixTokens, 11)
}

func TestFaultMatrix(t *testing.T) {
	for _, f := range matrixFaults {
		for _, st := range matrixSteps {
			for _, mode := range []string{"streamed", "whole"} {
				inBubble(t, f.name+"/"+st.name+"/"+mode, func() {
					w, err := newBuiltWorld(f.engines, 2, standin.EngineConfig{TokenGap: matrixGap, EndDelay: matrixEndDelay})
					So(err, ShouldBeNil)
					c := &cell{world: w, generationCounts: st.generations}
					defer c.end()
					struck := make(chan time.Time, 1)
					go func() {
						eventually(time.Minute, func() bool { return st.reached(c) })
						time.Sleep(st.after)
						c.victim = c.busy()
						at := time.Now()
						f.inject(c)
						struck <- at
					}()
					if mode == "streamed" {
						c.checkStreamed(struck)
					} else {
						c.checkWhole(struck, f.entryLost)
					}
					c.checkSettled()
				})
			}
		}
	}
}

// checkStreamed asks for a streamed answer and checks text, generations and
// the time to each next token.
func (c *cell) checkStreamed(struck <-chan time.Time) {
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
	<-struck
	So(a.Text(), ShouldEqual, wholeText(q))
	So(a.Finish, ShouldEqual, engine.FinishLength)
	So(c.generations(a.Request), ShouldBeIn, c.generationCounts)
	So(worst, ShouldBeLessThanOrEqualTo, resumeTarget+matrixGap+c.extra)
	So(end.Sub(last), ShouldBeLessThanOrEqualTo, resumeTarget+matrixEndDelay+c.extra)
}

// generations counts the generations of a request begun from nothing.
func (c *cell) generations(id engine.RequestID) int {
	return c.all(func(k standin.EngineCounts) int { return k.Generations[id] })
}

// checkWhole asks for a whole answer.
func (c *cell) checkWhole(struck <-chan time.Time, entryLost bool) {
	begin := time.Now()
	q := matrixQuestion()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a, err := c.client().Whole(ctx, caller.StyleCompletion, q)
	So(err, ShouldBeNil)
	took := time.Since(begin)
	at := <-struck
	So(a.Text(), ShouldEqual, wholeText(q))
	normal := matrixPrefill + time.Duration(matrixTokens)*matrixGap + matrixEndDelay
	limit := normal + resumeTarget + c.extra
	if entryLost {
		// Nothing was delivered, so the caller asked again from the start.
		limit += at.Sub(begin)
	}
	// A continuation reads the prompt and what was generated once more.
	So(took, ShouldBeLessThanOrEqualTo, limit+2*matrixPrefill)
	So(c.generations(a.Request), ShouldBeIn, c.generationCounts)
}

// checkSettled checks that no engine goes on with work that nobody reads.
func (c *cell) checkSettled() {
	time.Sleep(settleTime)
	So(c.busy(), ShouldEqual, engine.ServerID(""))
}
