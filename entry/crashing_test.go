package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/caller"
	"quetzalhold/demo"
	"quetzalhold/engine"
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
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
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
		})
		runCrashing(t, "Six entry VMs, at long intervals: "+kind.name, kind, 6, func(c *crashingTest) {
			c.playCrashing(100*time.Second, 7*time.Second)
			c.wg.Wait()
			c.checkBound()
		})
	}
}
