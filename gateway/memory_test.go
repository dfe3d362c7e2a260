package gateway

import (
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"quetzalhold/platform"
	"quetzalhold/settings"
)

// TestSlowCallersUnbounded guards against memory for slow callers without a bound where the permitted memory is unknown,
// and against a setting that is not used.
func TestSlowCallersUnbounded(t *testing.T) {
	Convey("The memory for slow callers", t, func() {
		So(slowCallerMemory(&settings.Gateway{SlowReaderMemoryMB: 3, MemoryMB: 100}), ShouldEqual, 3_000_000)
		So(slowCallerMemory(&settings.Gateway{MemoryMB: 100}), ShouldEqual, 8_000_000)
		So(slowCallerMemory(&settings.Gateway{}), ShouldEqual, 8_000_000)
	})
}

// sendBufferOf returns the size of the send buffer of a connection that an entry VM with some agreements accepts.
func sendBufferOf(agreements ...string) int {
	d := &Daemon{log: zap.NewNop()}
	d.settings.Store(&settings.Gateway{Agreements: agreements})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	l = d.boundSendBuffers(l)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	So(err, ShouldBeNil)
	defer func() { _ = caller.Close() }()
	c, err := l.Accept()
	So(err, ShouldBeNil)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	So(err, ShouldBeNil)
	size := 0
	So(raw.Control(func(fd uintptr) {
		size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF)
	}), ShouldBeNil)
	So(err, ShouldBeNil)
	return size
}

// TestSendBuffersUnbounded guards against send buffers of callers' connections that grow without a bound where the
// agreement holds, and against ones that are bounded where it does not.
func TestSendBuffersUnbounded(t *testing.T) {
	Convey("The send buffer of a caller's connection", t, func() {
		usual := sendBufferOf("other")
		bounded := sendBufferOf("other", platform.Pressure)
		t.Logf("%d bytes, %d with the agreement", usual, bounded)
		So(bounded, ShouldBeLessThanOrEqualTo, 2*callerSendBuffer)
		So(bounded, ShouldNotEqual, usual)
	})
}
