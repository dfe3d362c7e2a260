package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/http1"
)

// serve answers each connection with f, and returns its address.
func serve(t *testing.T, f func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				f(c.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return l.Addr().String()
}

// exchange sends a request with a body and returns the answer's head and body.
func exchange(tr *http1.Transport, address string, body []byte) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func newTransport() *http1.Transport {
	return http1.New(&http.Transport{DisableKeepAlives: true, DisableCompression: true})
}

// readRequest reads a request and its body.
func readRequest(c net.Conn) {
	if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// TestHeads guards against heads that are no answer and are taken for one.
func TestHeads(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\nok"
	for _, x := range []struct {
		name, answer string
		ok           bool
	}{
		{"an answer", "HTTP/1.1 200 OK\r\n" + end, true},
		{"no reason", "HTTP/1.1 200\r\n" + end, true},
		{"a failure", "HTTP/1.1 599 X\r\n" + end, true},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", true},
		{"chunks and a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n2\r\nok\r\n0\r\nX-End: 1\r\n\r\n", true},
		{"an informational answer first", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + end, true},
		{"odd names and values", "HTTP/1.1 200 OK\r\nX-!#$%&'*+-.^_`|~0: \t ä\"(),/:;<=>?@[\\]{} \r\nX-Empty:\r\n" + end, true},
		{"status 000", "HTTP/1.1 000 None\r\n" + end, false},
		{"status 099", "HTTP/1.1 099 None\r\n" + end, false},
		{"status -00", "HTTP/1.1 -00 None\r\n" + end, false},
		{"status +20", "HTTP/1.1 +20 None\r\n" + end, false},
		{"status +99", "HTTP/1.1 +99 None\r\n" + end, false},
		{"status 600", "HTTP/1.1 600 None\r\n" + end, false},
		{"status 999", "HTTP/1.1 999 None\r\n" + end, false},
		{"status 2000", "HTTP/1.1 2000 None\r\n" + end, false},
		{"a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nok", false},
		{"another protocol", "HTTP/2.0 200 OK\r\n" + end, false},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX Name: 1\r\n" + end, false},
		{"a blank after a name", "HTTP/1.1 200 OK\r\nX-Name : 1\r\n" + end, false},
		{"a blank after the length's name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok, and more", false},
		{"a blank after the coding's name", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"a tab in a name", "HTTP/1.1 200 OK\r\nX\tName: 1\r\n" + end, false},
		{"a zero byte in a name", "HTTP/1.1 200 OK\r\nX\x00Name: 1\r\n" + end, false},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX\x7fName: 1\r\n" + end, false},
		{"a control byte in a value", "HTTP/1.1 200 OK\r\nX-Name: 1\x01\r\n" + end, false},
		{"a blank in an informational answer's name", "HTTP/1.1 103 Early Hints\r\nX Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + end, false},
		{"a blank in a trailer's name", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX End: 1\r\n\r\n", false},
	} {
		Convey(x.name, t, func() {
			address := serve(t, func(c *net.TCPConn) {
				readRequest(c)
				_, _ = io.WriteString(c, x.answer)
			})
			_, body, err := exchange(newTransport(), address, []byte("request"))
			if !x.ok {
				So(err, ShouldNotBeNil)
				return
			}
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		})
	}
}

// scripted is a connection whose writes fail after a while, as on a socket that was reset: the write that meets the reset
// fails, and reads find the end.
type scripted struct {
	net.Conn
	input  io.Reader
	writes int           // those that succeed
	late   time.Duration // until the failed write returns
	failed chan struct{} // closed when the write meets the reset
}

func (s *scripted) Write(p []byte) (int, error) {
	if s.writes--; s.writes >= 0 {
		return len(p), nil
	}
	if s.writes == -1 {
		close(s.failed)
	}
	time.Sleep(s.late)
	return 0, syscall.ECONNRESET
}

func (s *scripted) Read(p []byte) (int, error) {
	<-s.failed
	return s.input.Read(p)
}

func (s *scripted) Close() error { return nil }

// TestResetUnderUpload guards against answers without a length that look complete although their connection was reset while the
// request was being written: only that write has met the reset.
func TestResetUnderUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of the body"
	for _, late := range []time.Duration{0, 5 * time.Millisecond, 300 * time.Millisecond} {
		Convey("The write returns "+late.String()+" after the end of the input", t, func() {
			for range 20 {
				c := &scripted{input: strings.NewReader(head), writes: 2, late: late, failed: make(chan struct{})}
				tr := http1.New(&http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil }})
				_, _, err := exchange(tr, "127.0.0.1:1", make([]byte, 1<<20))
				So(err, ShouldNotBeNil)
			}
		})
	}
	Convey("On sockets", t, func() {
		address := serve(t, func(c *net.TCPConn) {
			_, _ = io.ReadFull(c, make([]byte, 4096))
			_, _ = io.WriteString(c, head)
			_ = c.SetLinger(0) // Close resets the connection
		})
		whole := 0
		for range 300 {
			if _, _, err := exchange(newTransport(), address, make([]byte, 2<<20)); err == nil {
				whole++
			}
		}
		So(whole, ShouldEqual, 0)
	})
}

// TestEndBeforeRequest guards against answers without a length that end while their request is still being written.
func TestEndBeforeRequest(t *testing.T) {
	Convey("The server ends its answer and reads no more", t, func() {
		address := serve(t, func(c *net.TCPConn) {
			_, _ = io.ReadFull(c, make([]byte, 4096))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of the body")
			_ = c.CloseWrite()
			time.Sleep(500 * time.Millisecond)
		})
		_, _, err := exchange(newTransport(), address, make([]byte, 64<<20))
		So(errors.Is(err, http1.ErrCut), ShouldBeTrue)
	})
}

// TestWholeAnswers guards against whole answers that are taken for cut ones: those that end at once, and those that begin before
// the request was written.
func TestWholeAnswers(t *testing.T) {
	Convey("Small requests and answers without a length", t, func() {
		address := serve(t, func(c *net.TCPConn) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody")
		})
		var wg sync.WaitGroup
		var mu sync.Mutex
		failed := 0
		for range 8 {
			wg.Go(func() {
				for range 100 {
					if _, body, err := exchange(newTransport(), address, []byte("request")); err != nil || body != "body" {
						mu.Lock()
						failed++
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		So(failed, ShouldEqual, 0)
	})
	for _, head := range []string{"Connection: close\r\n\r\n", "Content-Length: 4\r\n\r\n"} {
		Convey("An answer before the request was read: "+strings.TrimSpace(head), t, func() {
			address := serve(t, func(c *net.TCPConn) {
				r := bufio.NewReader(c)
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, "body")
			})
			for range 20 {
				_, body, err := exchange(newTransport(), address, make([]byte, 4<<20))
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "body")
			}
		})
	}
}
