// Package memnet is a network in memory whose connections fail on command, for
// tests in [testing/synctest] bubbles: connections that go silent for good,
// resets, partitions, and hosts that die or vanish.
package memnet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"quetzalhold/clock"
)

// Host is an IP number.
type Host string

// Network connects hosts. Its zero value is a network without latency and
// faults.
type Network struct {
	// Latency is the time of one way between two hosts; nil for none.
	Latency func(a, b Host) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*link]struct{}
	cut       map[pair]bool
	gone      map[Host]bool
	traffic   map[Host]Traffic
	ports     int
}

// Traffic is what a host has exchanged with others.
type Traffic struct {
	Sent     int64 // bytes
	Received int64 // bytes
}

// Traffic returns what a host has exchanged so far.
func (n *Network) Traffic(h Host) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[h]
}

func (n *Network) count(from, to Host, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.traffic == nil {
		n.traffic = make(map[Host]Traffic)
	}
	f := n.traffic[from]
	f.Sent += int64(bytes)
	n.traffic[from] = f
	t := n.traffic[to]
	t.Received += int64(bytes)
	n.traffic[to] = t
}

type pair struct{ a, b Host }

func pairOf(a, b Host) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// link is a connection between two hosts.
type link struct {
	pair   pair
	ends   [2]*conn
	mu     sync.Mutex
	silent bool
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

func hostOf(address string) Host {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return Host(address)
	}
	return Host(ap.Addr().String())
}

// Listen returns a listener at address, an IP number with a port.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("listen %s: %w", address, syscall.EADDRINUSE)
	}
	l := &listener{network: n, address: address, queue: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a function that dials from host.
func (n *Network) Dialer(host Host) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

// dial connects two hosts. It hangs while they are cut off from each other.
func (n *Network) dial(ctx context.Context, from Host, address string) (net.Conn, error) {
	to := hostOf(address)
	if err := clock.Sleep(ctx, 2*n.latency(from, to)); err != nil {
		return nil, err
	}
	for n.separated(from, to) {
		// A lost SYN is sent again after a second.
		if err := clock.Sleep(ctx, time.Second); err != nil {
			return nil, err
		}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	}
	client, server := n.connect(from, to, address)
	select {
	case l.queue <- server:
		return client, nil
	case <-l.done:
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Network) latency(a, b Host) time.Duration {
	if n.Latency == nil {
		return 0
	}
	return n.Latency(a, b)
}

func (n *Network) separated(a, b Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[pairOf(a, b)] || n.gone[a] || n.gone[b]
}

func (n *Network) connect(from, to Host, address string) (client, server net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	local := addr(fmt.Sprintf("%s:%d", from, n.ports))
	l := &link{pair: pairOf(from, to)}
	delay := n.latency(from, to)
	there, back := newHalf(delay), newHalf(delay)
	c := &conn{link: l, network: n, in: back, out: there, local: local, remote: addr(address)}
	s := &conn{link: l, network: n, in: there, out: back, local: addr(address), remote: local}
	l.ends = [2]*conn{c, s}
	if n.links == nil {
		n.links = make(map[*link]struct{})
	}
	n.links[l] = struct{}{}
	return c, s
}

func (n *Network) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// between returns the open links that match.
func (n *Network) between(match func(pair) bool) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*link
	for l := range n.links {
		if match(l.pair) {
			found = append(found, l)
		}
	}
	return found
}

func touches(h Host) func(pair) bool {
	return func(p pair) bool { return p.a == h || p.b == h }
}

// Silence makes every open connection between two hosts silent for good; new
// ones work.
func (n *Network) Silence(a, b Host) {
	for _, l := range n.between(func(p pair) bool { return p == pairOf(a, b) }) {
		l.silence()
	}
}

// Reset resets every open connection between two hosts.
func (n *Network) Reset(a, b Host) {
	for _, l := range n.between(func(p pair) bool { return p == pairOf(a, b) }) {
		l.reset()
	}
}

// Cut separates two hosts until Heal: open connections go silent and new ones
// hang.
func (n *Network) Cut(a, b Host) {
	n.mu.Lock()
	if n.cut == nil {
		n.cut = make(map[pair]bool)
	}
	n.cut[pairOf(a, b)] = true
	n.mu.Unlock()
	n.Silence(a, b)
}

// Heal ends a cut. Connections that went silent stay so.
func (n *Network) Heal(a, b Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pairOf(a, b))
}

// Die ends the processes of a host: connections are reset and new ones
// refused.
func (n *Network) Die(h Host) {
	n.closeListeners(h)
	for _, l := range n.between(touches(h)) {
		l.reset()
	}
}

// Vanish takes a host off the network, as the loss of its VM does: connections
// go silent and new ones hang.
func (n *Network) Vanish(h Host) {
	n.mu.Lock()
	if n.gone == nil {
		n.gone = make(map[Host]bool)
	}
	n.gone[h] = true
	n.mu.Unlock()
	for _, l := range n.between(touches(h)) {
		l.silence()
	}
}

// Return brings a vanished host back.
func (n *Network) Return(h Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.gone, h)
}

func (n *Network) closeListeners(h Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range n.listeners {
		if hostOf(address) == h {
			l.end()
			delete(n.listeners, address)
		}
	}
}

// listener implements [net.Listener].
type listener struct {
	network *Network
	address string
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) end() { l.once.Do(func() { close(l.done) }) }

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.end()
	return nil
}

// Addr implements [net.Listener].
func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr implements [net.Addr].
type addr string

// Network implements [net.Addr].
func (addr) Network() string { return "tcp" }

// String implements [net.Addr].
func (a addr) String() string { return string(a) }
