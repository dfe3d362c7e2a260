package serverconn

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUnreadByteMissed guards against requests on connections that have bytes or an end that this process has not
// had the time to read. It needs a socket.
func TestUnreadByteMissed(t *testing.T) {
	for name, send := range map[string]func(net.Conn) error{
		"a byte": func(c net.Conn) error {
			_, err := c.Write([]byte("\n"))
			return err
		},
		"an end": net.Conn.Close,
	} {
		Convey(name, t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = l.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			defer func() { _ = c.Close() }()
			s, err := l.Accept()
			So(err, ShouldBeNil)
			defer func() { _ = s.Close() }()
			So(hasUnread(c), ShouldBeFalse)
			So(send(s), ShouldBeNil)
			for until := time.Now().Add(5 * time.Second); !hasUnread(c) && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			So(hasUnread(c), ShouldBeTrue)
			So(c.Close(), ShouldBeNil)
			So(hasUnread(c), ShouldBeTrue)
		})
	}
}

// TestByteBeforeRequest guards against bytes that come after a connection was taken for a request, but before some of
// it is sent, and are taken for the beginning of its answer.
func TestByteBeforeRequest(t *testing.T) {
	Convey("A byte before the request", t, func() {
		entry, server := net.Pipe()
		defer func() { _, _ = entry.Close(), server.Close() }()
		p, at := &Pool{}, Server{Address: "10.1.64.1:80", Start: 1}
		c := newConn(p, Options{Server: at, Class: Calls})
		w := &wire{Conn: entry, of: c}
		c.raw, c.reading = entry, true
		c.addSent(100) // its first request
		p.put(c)
		So(p.take(Options{Server: at, Class: Calls}, time.Now().Add(2*settleTime)), ShouldEqual, c)
		go func() { _, _ = server.Write([]byte("H")) }()
		_, err := w.Read(make([]byte, 1))
		So(err, ShouldEqual, errUnrequested)
	})
}
