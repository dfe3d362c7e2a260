package soak

import (
	"net"
	"sync"
	"time"
)

// Mode says which faults a proxy applies to its connections.
type Mode struct {
	Delay         time.Duration // before each write
	Silent        bool          // discards all data in both directions, also that of new connections
	DropResponses bool          // discards the data that the server sends
	Refuse        bool          // closes new connections at once
}

// Proxy is a TCP proxy on loopback in front of a server. It forwards connections, with
// the faults of its mode.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy returns a proxy on a free loopback port in front of target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the IP address and port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode. It applies to open connections too, except that Refuse
// affects new ones only.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // makes Close send a reset; without it the connection is closed all the same
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode().Refuse {
			_ = c.Close()
			continue
		}
		s, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[s] = true, true
		p.mu.Unlock()
		go p.forward(s, c, false)
		go p.forward(c, s, true)
	}
}

// silentLinger is how long the proxy keeps one side of a connection open after the
// other side has closed, if data between them was discarded.
const silentLinger = 20 * time.Second

// forward copies data from one connection to the other until either is closed. back
// says that the data goes from the server to the client.
func (p *Proxy) forward(to, from net.Conn, back bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	b := make([]byte, 32<<10)
	discarding := false // data was discarded; nothing after it may be forwarded
	for {
		n, err := from.Read(b)
		if n > 0 {
			m := p.currentMode()
			time.Sleep(m.Delay)
			if discarding = discarding || m.Silent || m.DropResponses && back; discarding {
				continue
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !discarding {
				return
			}
			// The other side must not learn that this side has closed.
			time.Sleep(silentLinger)
			return
		}
	}
}
