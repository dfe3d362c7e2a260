package gateway

import (
	"net"
	"sync"

	"go.uber.org/zap"

	"quetzalhold/platform"
)

// callerSendBuffer is the size of the send buffer of a caller's connection, in bytes. The kernel lets unbounded ones
// grow to some MB for callers that read slowly, and they count as the memory of the entry VM. The kernel reserves
// twice as much, for its own records.
const callerSendBuffer = 64 << 10

// boundSendBuffers returns the listener for callers, which bounds the send buffers of their connections where the
// agreement pressure holds.
func (d *Daemon) boundSendBuffers(l net.Listener) net.Listener {
	if !d.settings.Load().Agreed(platform.Pressure) {
		return l
	}
	return &boundedListener{Listener: l, log: d.log}
}

// boundedListener bounds the send buffers of the connections that it accepts.
type boundedListener struct {
	net.Listener
	log       *zap.Logger
	logFailed sync.Once
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// Connections of the in-memory network have no such buffer.
	if b, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		if err := b.SetWriteBuffer(callerSendBuffer); err != nil {
			l.logFailed.Do(func() {
				l.log.Info("send buffer of a caller's connection not bounded; others are not logged", zap.Error(err))
			})
		}
	}
	return c, nil
}
