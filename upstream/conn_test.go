package upstream

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
