// Package memnet provides an in-memory network whose connections fail on command,
// for tests in [testing/synctest] bubbles. Connections can be blackholed or reset,
// hosts can be partitioned from each other, crash, or be disconnected.
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

// Host is the IP address of a host.
type Host string

// Network connects hosts. The zero value is a network without latency and
// without faults.
type Network struct {
	// Latency returns the one-way latency between two hosts; nil for no latency.
	Latency func(a, b Host) time.Duration
	// Bandwidth returns what a host's network link carries in each direction, in bytes per second; nil
	// for links without limit.
	Bandwidth func(Host) float64
	// Lost reports whether the next packet from a host to another is lost at first, so that it arrives
	// when it has been sent again; nil for no loss.
	Lost func(from, to Host) bool

	mu           sync.Mutex
	listeners    map[string]*listener
	links        map[*link]struct{}
	partitioned  map[pair]bool // set by Partition
	refused      map[pair]bool // set by Refuse
	disconnected map[Host]bool // set by Disconnect
	traffic      map[Host]Traffic
	ports        int // port of the newest client end
	// sentUntil and receivedUntil are the instants at which the links of hosts are free again.
	sentUntil, receivedUntil map[Host]time.Time
}

// The waits after which TCP sends a lost segment again, and a lost SYN.
const (
	resendAfter    = 200 * time.Millisecond
	resendSYNAfter = time.Second
)

// arrival returns the instant at which data that is sent now arrives, and occupies the links until then.
func (n *Network) arrival(from, to Host, bytes int) time.Time {
	at := time.Now()
	if n.Bandwidth != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.sentUntil == nil {
			n.sentUntil, n.receivedUntil = make(map[Host]time.Time), make(map[Host]time.Time)
		}
		at = occupy(n.sentUntil, from, at, transferTime(bytes, n.Bandwidth(from)))
	}
	at = at.Add(n.latency(from, to))
	if n.Lost != nil && n.Lost(from, to) {
		at = at.Add(resendAfter)
	}
	if n.Bandwidth != nil {
		took := transferTime(bytes, n.Bandwidth(to))
		at = occupy(n.receivedUntil, to, at.Add(-took), took)
	}
	return at
}

// occupy occupies a host's link for some time from an instant on, or from when it is free. It returns the
// end of that time.
func occupy(until map[Host]time.Time, h Host, from time.Time, took time.Duration) time.Time {
	if busy := until[h]; busy.After(from) {
		from = busy
	}
	until[h] = from.Add(took)
	return until[h]
}

func transferTime(bytes int, perSecond float64) time.Duration {
	return time.Duration(float64(bytes) / perSecond * float64(time.Second))
}

// Traffic is the amount of data that a host has exchanged with others.
type Traffic struct {
	Sent     int64 // bytes
	Received int64 // bytes
}

// Traffic returns the amount of data that a host has exchanged so far.
func (n *Network) Traffic(h Host) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[h]
}

// addTraffic counts bytes sent from one host to another.
func (n *Network) addTraffic(from, to Host, bytes int) {
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

// pair is two hosts in no particular order. Use pairOf.
type pair struct{ a, b Host }

func pairOf(a, b Host) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// link is a connection between two hosts.
type link struct {
	pair       pair
	ends       [2]*conn
	mu         sync.Mutex
	blackholed bool
}

func (l *link) isBlackholed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blackholed
}

// blackhole makes both ends drop what is written, for good.
func (l *link) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blackholed = true
}

// hostOf returns the host of an address with a port.
func hostOf(address string) Host {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return Host(address)
	}
	return Host(ap.Addr().String())
}

// Listen returns a listener at address, an IP address with a port.
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

// dial connects from a host to an address. It hangs while the two hosts cannot reach
// each other.
func (n *Network) dial(ctx context.Context, from Host, address string) (net.Conn, error) {
	to := hostOf(address)
	if err := clock.Sleep(ctx, 2*n.latency(from, to)); err != nil {
		return nil, err
	}
	for n.unreachable(from, to) || n.Lost != nil && n.Lost(from, to) {
		if err := clock.Sleep(ctx, resendSYNAfter); err != nil {
			return nil, err
		}
	}
	n.mu.Lock()
	l, refused := n.listeners[address], n.refused[pairOf(from, to)]
	n.mu.Unlock()
	if l == nil || refused {
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

// unreachable reports whether two hosts are partitioned from each other, or one of
// them is disconnected.
func (n *Network) unreachable(a, b Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[pairOf(a, b)] || n.disconnected[a] || n.disconnected[b]
}

// connect creates a link and returns its ends.
func (n *Network) connect(from, to Host, address string) (client, server net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	local := addr(fmt.Sprintf("%s:%d", from, n.ports))
	l := &link{pair: pairOf(from, to)}
	toServer := newHalf(func(bytes int) time.Time { return n.arrival(from, to, bytes) })
	toClient := newHalf(func(bytes int) time.Time { return n.arrival(to, from, bytes) })
	if n.Bandwidth != nil {
		toServer.window, toClient.window = slowWindow, slowWindow
	}
	c := &conn{link: l, network: n, in: toClient, out: toServer, local: local, remote: addr(address)}
	s := &conn{link: l, network: n, in: toServer, out: toClient, local: addr(address), remote: local}
	l.ends = [2]*conn{c, s}
	if n.links == nil {
		n.links = make(map[*link]struct{})
	}
	n.links[l] = struct{}{}
	return c, s
}

func (n *Network) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// linksWhere returns the open links between hosts that match.
func (n *Network) linksWhere(match func(pair) bool) []*link {
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

// involves returns a function that matches the pairs with host h.
func involves(h Host) func(pair) bool {
	return func(p pair) bool { return p.a == h || p.b == h }
}

// Blackhole makes all open connections between two hosts silent for good: what is
// written is dropped, and neither end sees the other close. New connections work.
func (n *Network) Blackhole(a, b Host) {
	for _, l := range n.linksWhere(func(p pair) bool { return p == pairOf(a, b) }) {
		l.blackhole()
	}
}

// Reset resets all open connections between two hosts.
func (n *Network) Reset(a, b Host) {
	for _, l := range n.linksWhere(func(p pair) bool { return p == pairOf(a, b) }) {
		l.reset()
	}
}

// Partition separates two hosts until Heal: open connections are
// blackholed and new ones hang.
func (n *Network) Partition(a, b Host) {
	n.mu.Lock()
	if n.partitioned == nil {
		n.partitioned = make(map[pair]bool)
	}
	n.partitioned[pairOf(a, b)] = true
	n.mu.Unlock()
	n.Blackhole(a, b)
}

// Heal ends the partition of two hosts. Connections that were blackholed stay so.
func (n *Network) Heal(a, b Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, pairOf(a, b))
}

// Refuse lets new connections between two hosts be refused until Accept. Open ones live on.
func (n *Network) Refuse(a, b Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refused == nil {
		n.refused = make(map[pair]bool)
	}
	n.refused[pairOf(a, b)] = true
}

// Accept ends what Refuse began.
func (n *Network) Accept(a, b Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.refused, pairOf(a, b))
}

// Crash ends the processes of a host as a crash does: open connections are reset and new ones
// refused.
func (n *Network) Crash(h Host) {
	n.closeListeners(h)
	for _, l := range n.linksWhere(involves(h)) {
		l.reset()
	}
}

// Disconnect takes a host off the network, as the loss of its VM does: open
// connections are blackholed and new ones hang.
func (n *Network) Disconnect(h Host) {
	n.mu.Lock()
	if n.disconnected == nil {
		n.disconnected = make(map[Host]bool)
	}
	n.disconnected[h] = true
	n.mu.Unlock()
	for _, l := range n.linksWhere(involves(h)) {
		l.blackhole()
	}
}

// Reconnect brings a host back that Disconnect took off the network. Connections
// that were blackholed stay so.
func (n *Network) Reconnect(h Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.disconnected, h)
}

func (n *Network) closeListeners(h Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range n.listeners {
		if hostOf(address) == h {
			l.stop()
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

func (l *listener) stop() { l.once.Do(func() { close(l.done) }) }

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
	l.stop()
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
