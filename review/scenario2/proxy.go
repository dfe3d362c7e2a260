package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards TCP connections on loopback. Its open connections can be made silent: they stay open and carry nothing
// any more, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is the two sides of a forwarded connection.
type pair struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, pairs: make(map[*pair]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// silence makes the open connections silent, and returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		x.silent.Store(true)
	}
	return len(p.pairs)
}

// cut closes the open connections.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		_ = x.client.Close()
		_ = x.server.Close()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		x := &pair{client: c, server: s}
		p.mu.Lock()
		p.pairs[x] = struct{}{}
		p.mu.Unlock()
		go p.forward(x, s, c)
		go p.forward(x, c, s)
	}
}

// forward copies what one side sends to the other one. The end of one side of a silent connection is not passed on.
func (p *proxy) forward(x *pair, to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !x.silent.Load() {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if x.silent.Load() {
		return // the other side still waits
	}
	_ = x.client.Close()
	_ = x.server.Close()
	p.mu.Lock()
	delete(p.pairs, x)
	p.mu.Unlock()
}
