package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. It can let open connections go silent.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*link
}

// link is a forwarded connection.
type link struct {
	mu     sync.Mutex
	silent bool // everything is discarded
	a, b   net.Conn
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		a, err := p.listener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = a.Close()
			continue
		}
		l := &link{a: a, b: b}
		p.mu.Lock()
		p.links = append(p.links, l)
		p.mu.Unlock()
		go l.copy(b, a)
		go l.copy(a, b)
	}
}

// silence lets all open connections go silent for good, without a reset. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.links)
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// copy forwards data, and the end of the connection, unless the link is silent.
func (l *link) copy(to io.WriteCloser, from io.Reader) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if l.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if !l.isSilent() {
		_ = l.a.Close()
		_ = l.b.Close()
	}
}
