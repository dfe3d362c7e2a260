package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/caller"
	"quetzalhold/demo"
	"quetzalhold/engine"
	"quetzalhold/memnet"
	"quetzalhold/result"
	"quetzalhold/standin"
)

const (
	// crashesAllowed is the number of crashes after which contactBound begins, and maxSentAfter
	// how often the request may be sent to servers after it.
	crashesAllowed = 3
	contactBound   = 4 * time.Second
	maxSentAfter   = 3

	crashPrompt       = "the request that crashes servers"
	crashInterval     = 500 * time.Millisecond
	soundInterval     = 120 * time.Millisecond
	crashRestartDelay = 3 * time.Second
	crashCallTimeout  = 25 * time.Second
	crashServers      = 12
	crashTokens       = 10
	// lastRequest is above the number of every request that is sent at an interval. It is a
	// multiple of the number of entry VMs.
	lastRequest = 6000
)

// crashKind is a kind of request that crashes servers.
type crashKind struct {
	name string
	// after is the number of tokens after which a generation crashes its engine.
	after engine.Tokens
	send  func(c *crashingTest, i int, body string) error
}

var crashKinds = []crashKind{
	{name: "a generation", send: (*crashingTest).generate},
	{name: "a generation, after its first token", after: 1, send: (*crashingTest).generate},
	{name: "an idempotent call", send: func(c *crashingTest, i int, body string) error {
		return c.call(i, http.MethodGet, "stock/cork", body, "")
	}},
	{name: "a booking without a key", send: func(c *crashingTest, i int, body string) error {
		return c.call(i, http.MethodPost, "bookings", body, "")
	}},
	{name: "a booking with a new key each time", send: func(c *crashingTest, i int, body string) error {
		return c.call(i, http.MethodPost, "bookings", body, fmt.Sprintf("%s %d", body, i))
	}},
}

// crashingTest is a site whose servers crash when they run one request.
type crashingTest struct {
	*testSite
	kind crashKind

	mu    sync.Mutex
	sent  []time.Time // when a server began to run that request
	sound []soundRequest
	ended bool
	wg    sync.WaitGroup
}

// soundRequest is when a sound request was sent and how it ended.
type soundRequest struct {
	at  time.Time
	err error
}

// newCrashingTest starts entry VMs, of which each failure domain has as many.
func newCrashingTest(ts *testSite, kind crashKind, entries int) *crashingTest {
	c := &crashingTest{testSite: ts, kind: kind}
	for i := range crashServers {
		domain := ts.Places[i%len(ts.Places)].Names.Code
		_, err := ts.AddEngine(domain, standin.EngineConfig{
			ID: engine.ServerID(fmt.Sprintf("engine-%d", i)), CrashPrompt: crashPrompt, CrashAfter: kind.after, Crashed: c.engineCrashed,
		})
		So(err, ShouldBeNil)
		sv, err := ts.AddService(domain, engine.ServerID(fmt.Sprintf("pickup-%d", i)))
		So(err, ShouldBeNil)
		c.crashOnBody(sv)
	}
	for i := range entries {
		_, err := ts.AddEntry(ts.Places[i%len(ts.Places)].Names.Code, engine.ServerID(fmt.Sprintf("entry-%d", i)), nil)
		So(err, ShouldBeNil)
	}
	So(ts.AwaitReady(context.Background()), ShouldBeNil)
	time.Sleep(3 * time.Second)
	return c
}

func (c *crashingTest) recordSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, time.Now())
}

// engineCrashed kills an engine, which starts again some seconds later.
func (c *crashingTest) engineCrashed(id engine.ServerID) {
	c.recordSent()
	e := c.Engine(id)
	c.killEngine(id)
	c.restart(func() error {
		if c.Engine(id) != e {
			return nil // another stream has crashed it too
		}
		_, err := c.Restart(e)
		return err
	})
}

func (c *crashingTest) crashOnBody(sv *demo.ServiceProcess) {
	var once sync.Once
	sv.SetFault(standin.ServiceFault{CrashBody: crashPrompt, Crashed: func() {
		c.recordSent()
		once.Do(func() {
			sv.Kill()
			c.net.Crash(c.host(sv.Host))
			c.restart(func() error {
				started, err := c.RestartService(sv)
				if err == nil {
					c.crashOnBody(started)
				}
				return err
			})
		})
	}})
}

// restart starts a server again, unless the test has ended.
func (c *crashingTest) restart(start func() error) {
	time.AfterFunc(crashRestartDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ended {
			return
		}
		if err := start(); err != nil {
			panic(err)
		}
	})
}

func (c *crashingTest) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// generate requests an answer, first at entry VM i. The caller comes again, with what it has
// received, while that may help.
func (c *crashingTest) generate(i int, body string) error {
	var addresses []string
	for j := range c.Entries() {
		addresses = append(addresses, c.address(i+j))
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCallTimeout)
	defer cancel()
	cl := caller.NewClient(addresses, demo.CallerKey, caller.WithDial(c.dialer("caller")), caller.WithMaxAttempts(len(addresses)))
	_, err := cl.Stream(ctx, caller.StyleCompletion, newQuestion(body, crashTokens, uint64(i)))
	return err
}

// address returns the address of an entry VM, modulo their number.
func (c *crashingTest) address(i int) string {
	all := c.Entries()
	return all[i%len(all)].Address
}

// call calls the plain service through entry VM i.
func (c *crashingTest) call(i int, method, path, body, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashCallTimeout)
	defer cancel()
	url := "http://" + c.address(i) + "/v1/services/" + string(demo.DemoService) + "/" + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.CallerKey)
	if key != "" {
		req.Header.Set(caller.HeaderIdempotency, key)
	}
	resp, err := (&http.Transport{DialContext: c.dialer("caller"), DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return result.Read(resp, result.Internal)
	}
	return nil
}

// playCrashing sends the request that crashes servers at an interval, to one entry VM after the
// other.
func (c *crashingTest) playCrashing(d, interval time.Duration) {
	c.each(d, interval, func(i int) {
		_ = c.kind.send(c, i, crashPrompt) // it is expected to fail
	})
}

// playSound sends requests that have all but prompt or body in common with the one that crashes
// servers.
func (c *crashingTest) playSound(d time.Duration) {
	c.each(d, soundInterval, func(i int) {
		at := time.Now()
		err := c.kind.send(c, i, fmt.Sprintf("a sound request %d", i))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sound = append(c.sound, soundRequest{at, err})
	})
}

// each calls f at an interval for a time, without waiting for it.
func (c *crashingTest) each(d, interval time.Duration, f func(i int)) {
	end := time.Now().Add(d)
	c.wg.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			c.wg.Go(func() { f(i) })
			time.Sleep(interval)
		}
	})
}

// boundStart returns from when on the request may be sent only maxSentAfter times.
func (c *crashingTest) boundStart() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortFunc(c.sent, time.Time.Compare)
	return c.sent[crashesAllowed-1].Add(contactBound)
}

func (c *crashingTest) sentSince(at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.sent {
		if !s.Before(at) {
			n++
		}
	}
	return n
}

// failedSince returns how many sound requests were sent since an instant, and the errors of those
// that failed.
func (c *crashingTest) failedSince(at time.Time) (sent int, failed []error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sound {
		if s.at.Before(at) {
			continue
		}
		sent++
		if s.err != nil {
			failed = append(failed, s.err)
		}
	}
	return sent, failed
}

// checkBound checks that the request is soon sent to no further servers.
func (c *crashingTest) checkBound() {
	from := c.boundStart()
	So(c.sentSince(from), ShouldBeLessThanOrEqualTo, maxSentAfter)
}

// checkRefused checks that the request is refused as not run, at every entry VM.
func (c *crashingTest) checkRefused() {
	before := c.sentSince(time.Time{})
	for i := range c.Entries() {
		e := result.FromError(c.kind.send(c, lastRequest+i, crashPrompt))
		So(e.Code, ShouldEqual, result.RequestBlocked)
		So(e.NotRun, ShouldBeTrue)
		So(e.RetryAt, ShouldHappenAfter, time.Now())
	}
	So(c.sentSince(time.Time{}), ShouldEqual, before)
}

func runCrashing(t *testing.T, name string, kind crashKind, entries int, f func(c *crashingTest)) {
	t.Helper()
	runInSynctest(t, name, func() {
		ts, err := newTestSite()
		So(err, ShouldBeNil)
		defer ts.closeAndWait()
		c := newCrashingTest(ts, kind, entries)
		defer c.end()
		f(c)
	})
}

// TestCrashingRequest guards against one request that crashes one server after the other.
func TestCrashingRequest(t *testing.T) {
	for _, kind := range crashKinds {
		runCrashing(t, "One entry VM: "+kind.name, kind, 1, func(c *crashingTest) {
			c.playCrashing(40*time.Second, crashInterval)
			c.playSound(40 * time.Second)
			c.wg.Wait()
			c.checkBound()
			sent, failed := c.failedSince(c.boundStart())
			So(sent, ShouldBeGreaterThan, 200)
			So(failed, ShouldBeEmpty)
			c.checkRefused()
		})
	}
}

// TestCrashingRequestEverywhere does the same with entry VMs of three failure domains.
func TestCrashingRequestEverywhere(t *testing.T) {
	for _, kind := range crashKinds {
		runCrashing(t, "Six entry VMs: "+kind.name, kind, 6, func(c *crashingTest) {
			c.playCrashing(40*time.Second, crashInterval)
			c.playSound(40 * time.Second)
			c.wg.Wait()
			c.checkBound()
			sent, failed := c.failedSince(c.boundStart())
			So(sent, ShouldBeGreaterThan, 200)
			So(failed, ShouldBeEmpty)
			c.checkRefused()
		})
		runCrashing(t, "Six entry VMs, at long intervals: "+kind.name, kind, 6, func(c *crashingTest) {
			c.playCrashing(100*time.Second, 7*time.Second)
			c.wg.Wait()
			c.checkBound()
			c.checkRefused()
		})
	}
}

func TestCrashesAreShared(t *testing.T) {
	runCrashing(t, "An entry VM that starts later knows which request is blocked", crashKinds[2], 3, func(c *crashingTest) {
		So(c.kind.send(c, 0, crashPrompt), ShouldNotBeNil)
		time.Sleep(contactBound)
		_, err := c.AddEntry(c.Places[0].Names.Code, "entry-later", nil)
		So(err, ShouldBeNil)
		So(c.AwaitReady(context.Background()), ShouldBeNil)
		time.Sleep(contactBound)
		c.checkRefused()
	})
	runCrashing(t, "An answer clears the crashes at every entry VM", crashKinds[3], 6, func(c *crashingTest) {
		unknown := func(i int) {
			So(result.CodeOf(c.kind.send(c, i, crashPrompt)), ShouldEqual, result.OutcomeUnknown)
			time.Sleep(contactBound)
		}
		for i := range crashesAllowed - 1 {
			unknown(i)
		}
		for _, sv := range c.Services() {
			sv.SetFault(standin.ServiceFault{})
		}
		So(c.kind.send(c, 2, crashPrompt), ShouldBeNil)
		time.Sleep(contactBound)
		for _, sv := range c.Services() {
			c.crashOnBody(sv)
		}
		for i := range crashesAllowed - 1 {
			unknown(3 + i)
		}
		unknown(5)
		c.checkRefused()
	})
}

func TestCrashingRequestMayHaveRun(t *testing.T) {
	runCrashing(t, "A generation that has crashed three engines is not refused as not run", crashKinds[0], 1, func(c *crashingTest) {
		e := result.FromError(c.generate(0, crashPrompt))
		So(c.sentSince(time.Time{}), ShouldEqual, crashesAllowed)
		// The caller's client comes again on this code; here it has no attempt left.
		So(e.Code, ShouldEqual, result.EngineLost)
		So(e.NotRun, ShouldBeFalse)
		c.checkRefused()
	})
	runCrashing(t, "An idempotent call that has crashed three servers is not refused as not run", crashKinds[2], 1, func(c *crashingTest) {
		e := result.FromError(c.kind.send(c, 0, crashPrompt))
		So(c.sentSince(time.Time{}), ShouldEqual, crashesAllowed)
		So(e.Code, ShouldEqual, result.ServiceFailed)
		So(e.NotRun, ShouldBeFalse)
		c.checkRefused()
	})
	runCrashing(t, "A booking that may have run is not refused as not run", crashKinds[4], 1, func(c *crashingTest) {
		book := func(key string) *result.Error {
			return result.FromError(c.call(0, http.MethodPost, "bookings", crashPrompt, key))
		}
		So(book("key-0").Code, ShouldEqual, result.OutcomeUnknown)
		for i := range crashesAllowed - 1 {
			So(book(fmt.Sprintf("other-%d", i)).Code, ShouldEqual, result.OutcomeUnknown)
		}
		So(book("key-new").Code, ShouldEqual, result.RequestBlocked)
		again := book("key-0")
		So(again.Code, ShouldEqual, result.BookingUnderWay)
		So(again.NotRun, ShouldBeFalse)
		time.Sleep(time.Minute)
		again = book("key-0")
		So(again.Code, ShouldEqual, result.OutcomeUnknown)
		So(again.NotRun, ShouldBeFalse)
	})
}

// partitionedCalls is how often a request is repeated while no server is reached.
const partitionedCalls = 4

// TestLostConnectionIsNoCrash guards against requests that are blocked since their entry VM was cut
// off, or lost connections to servers that live on.
func TestLostConnectionIsNoCrash(t *testing.T) {
	for _, kind := range []crashKind{crashKinds[0], crashKinds[2], crashKinds[3]} {
		kind.after = crashTokens // the engines stay sound
		runCrashing(t, "Partition: "+kind.name, kind, 1, func(c *crashingTest) {
			c.eachServer(func(h memnet.Host) { c.net.Partition(c.host("entry-0"), h) })
			for i := range partitionedCalls {
				So(kind.send(c, i, "a sound request"), ShouldNotBeNil)
			}
			c.eachServer(func(h memnet.Host) { c.net.Heal(c.host("entry-0"), h) })
			time.Sleep(contactBound)
			So(kind.send(c, 0, "a sound request"), ShouldBeNil)
		})
	}
	runCrashing(t, "One reset of all connections", crashKinds[0], 1, func(c *crashingTest) {
		prompt := strings.Repeat("intake log of the cork bin ", matrixWords)
		done := make(chan error)
		for i := range crashServers {
			go func() { done <- c.generate(i, prompt) }()
		}
		// Two of them may run on one engine, where the second is sound soon: its prompt is cached.
		time.Sleep(20 * time.Millisecond)
		c.eachServer(func(h memnet.Host) { c.net.Reset(c.host("entry-0"), h) })
		time.Sleep(5 * time.Millisecond)
		So(c.generate(crashServers, prompt), ShouldBeNil)
		for range crashServers {
			So(<-done, ShouldBeNil)
		}
	})
	runCrashing(t, "Resets during a prefill", crashKinds[0], 1, func(c *crashingTest) {
		prompt := strings.Repeat("intake log of the cork bin ", matrixWords)
		done := make(chan error, 1)
		go func() { done <- c.generate(0, prompt) }()
		// Two engines lose both the connection to the stream and the next one.
		for range 4 {
			time.Sleep(100 * time.Millisecond)
			c.eachServer(func(h memnet.Host) { c.net.Reset(c.host("entry-0"), h) })
		}
		So(<-done, ShouldBeNil)
	})
}

func (c *crashingTest) eachServer(f func(memnet.Host)) {
	for _, e := range c.AllEngines() {
		f(c.host(e.Host))
	}
	for _, sv := range c.Services() {
		f(c.host(sv.Host))
	}
}
