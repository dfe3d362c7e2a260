package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxCrowd is the largest number of clients without limits at one gateway.
	maxCrowd = 40
	// crowdOneIn is how many faults there are for each crowd, on average.
	crowdOneIn = 6
	// reconnectPause is the time between two connections of a client. It keeps the load on the machine low.
	reconnectPause = 20 * time.Millisecond
)

// crowdKinds are what the clients of a crowd send on a connection: a request line and headers unless lines is false,
// then once, then endless until the connection is closed. The limits are those of configure: 16384 bytes of a head,
// 100000 of a body.
var crowdKinds = []struct {
	lines         bool
	once, endless string
}{
	{lines: true, once: "X-Endless: ", endless: strings.Repeat("x", 4<<10)},
	{endless: strings.Repeat("\r\n", 2<<10)},
	{lines: true, once: "X-Held: " + strings.Repeat("x", 8<<10)},
	{lines: true, once: "Content-Length: 90000\r\n\r\n" + strings.Repeat("x", 40<<10)},
}

// drawCrowd returns a function that runs a crowd of clients without limits, which act alike, at a random gateway. Its
// random numbers are from a source of their own, so the other faults of a seed do not depend on them.
func (w *harness) drawCrowd(n int) func() {
	kind, clients := w.crowdRnd.IntN(len(crowdKinds)), 1+w.crowdRnd.IntN(maxCrowd)
	g := w.gateways[w.crowdRnd.IntN(len(w.gateways))]
	d := time.Duration(1000+w.crowdRnd.IntN(1000)) * time.Millisecond
	return func() {
		until := time.Now().Add(d)
		var wg sync.WaitGroup
		for i := range clients {
			wg.Go(func() {
				for k := 0; time.Now().Before(until); k++ {
					w.connect(g.listen, fmt.Sprintf("crowd-%d-%d-%d", n, i, k), kind, until)
					time.Sleep(reconnectPause)
				}
			})
		}
		wg.Wait()
	}
}

// connect runs one connection of a client until the gateway answers or closes it, or until the crowd's time is over. A
// request that is refused as not run must not have run; all other responses are allowed.
func (w *harness) connect(address, id string, kind int, until time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Until(until))
	if err != nil {
		return // the gateway is stopped, or the time is over
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(until); err != nil {
		return
	}
	go func() {
		k, lines := crowdKinds[kind], ""
		if k.lines {
			lines = fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: 8000\r\n", id, epochKey(w.newest()))
		}
		_, err := io.WriteString(conn, lines+k.once)
		for err == nil && k.endless != "" {
			_, err = io.WriteString(conn, k.endless)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		w.checker.mu.Lock()
		defer w.checker.mu.Unlock()
		w.checker.refused = append(w.checker.refused, id)
	}
}

// slowEvents is how many events of a stream are followed by a pause if its caller reads slowly.
const slowEvents = 8

// slowBody reads a stream's body with a pause after each of the next events, until the faults are over.
type slowBody struct {
	io.Reader
	over   *atomic.Bool
	pause  time.Duration
	events int // events that are still followed by a pause
}

// Read reads at most 64 bytes, which is about one event, while it reads slowly.
func (s *slowBody) Read(b []byte) (int, error) {
	if s.pause == 0 || s.events == 0 || s.over.Load() {
		return s.Reader.Read(b)
	}
	n, err := s.Reader.Read(b[:min(len(b), 64)])
	if bytes.Contains(b[:n], []byte("\n\n")) {
		s.events--
		time.Sleep(s.pause)
	}
	return n, err
}

// drawPath returns the path of a new stream.
func (w *harness) drawPath(rnd *rand.Rand) string {
	if !w.priorities {
		return "/brief/1"
	}
	return []string{"/urgent/1", "/brief/1", "/batch/1"}[rnd.IntN(3)]
}

// drawPause returns the pause between the first events of a stream: a third of the streams are read slowly with the
// agreement pressure.
func (w *harness) drawPause(rnd *rand.Rand) time.Duration {
	if !w.pressure || rnd.IntN(3) != 0 {
		return 0
	}
	return time.Duration(100+rnd.IntN(400)) * time.Millisecond
}
