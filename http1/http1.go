// Package http1 decides what is an answer in HTTP/1.1. Package net/http takes more for one: any status of three digits, names
// of fields with blanks, and an answer without a length whose connection was reset while its request was being sent. What is no
// answer, or not a whole one, is an error here.
package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

// ErrNoAnswer reports a head that is no answer in HTTP/1.1.
var ErrNoAnswer = errors.New("no answer in HTTP/1.1")

// ErrCut reports an answer without a length that ended before its request was sent, or with an error of its connection.
var ErrCut = errors.New("the answer was cut off")

// sendWait is how long an answer that has ended waits for its request, which it may have overtaken in this process.
const sendWait = 100 * time.Millisecond

// Transport is an [http.Transport] that returns answers only. Use [New].
type Transport struct{ transport *http.Transport }

// New returns a transport that sends requests by t, whose connections it observes. t is not to be used otherwise.
func New(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{transport: t}
}

// CloseIdleConnections closes the connections that are kept and idle.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// RoundTrip implements [http.RoundTripper]. It fails with [ErrNoAnswer] if the head is no answer.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	s := &sending{}
	resp, err := t.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), s.trace())))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close() // its connection is not used again
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp, sending: s}
	}
	return resp, nil
}

// checkHead returns why a head that package net/http has taken is no answer, or nil.
func checkHead(resp *http.Response) error {
	switch digits := resp.Status[:min(len(resp.Status), 3)]; {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("protocol %s: %w", resp.Proto, ErrNoAnswer)
	case resp.StatusCode < 200 || resp.StatusCode > 599 || digits != fmt.Sprintf("%03d", resp.StatusCode):
		return fmt.Errorf("status %q: %w", digits, ErrNoAnswer)
	}
	return checkFields(textproto.MIMEHeader(resp.Header))
}

func checkFields(fields textproto.MIMEHeader) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field %q: %w", name, ErrNoAnswer)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("value of field %q: %w", name, ErrNoAnswer)
			}
		}
	}
	return nil
}

// sending is the sending of a request, which may go on while the answer comes.
type sending struct {
	mu    sync.Mutex
	sent  chan struct{} // closed when all was sent, or sending has failed
	ended bool          // it is closed
	err   error         // set then
}

// trace returns what observes the sending. A request may be sent again on another connection.
func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sent, s.ended, s.err = make(chan struct{}), false, nil
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.ended {
				s.ended, s.err = true, info.Err
				close(s.sent)
			}
		},
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return checkFields(fields) },
	}
}

// check returns why an answer that ends now is not whole unless its length or chunks show it, or nil.
func (s *sending) check() error {
	s.mu.Lock()
	sent := s.sent
	s.mu.Unlock()
	if err := await(sent); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return fmt.Errorf("%w: %w", ErrCut, s.err)
	}
	return nil
}

// await waits a moment until sent is closed.
func await(sent <-chan struct{}) error {
	select {
	case <-sent:
		return nil
	default:
	}
	limit := time.NewTimer(sendWait)
	defer limit.Stop()
	select {
	case <-sent:
		return nil
	case <-limit.C:
		return fmt.Errorf("%w before its request was sent", ErrCut)
	}
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	resp    *http.Response
	sending *sending
}

// Read implements io.Reader. It returns io.EOF only at the end of a whole answer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, err
	}
	if EndsWithConnection(b.resp) {
		if err := b.sending.check(); err != nil {
			return n, err
		}
	}
	if err := checkFields(textproto.MIMEHeader(b.resp.Trailer)); err != nil {
		return n, fmt.Errorf("trailer: %w", err)
	}
	return n, err
}

// EndsWithConnection reports whether a response has no length and is not chunked, so that its connection ends it.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}

// conn is a connection that tells an end from a failure. A socket reports a reset once, to a read or to a write; if that is a
// write, the next read finds the end of the input.
type conn struct {
	net.Conn

	mu      sync.Mutex
	writing chan struct{} // closed when the write in progress has returned; nil if there is none
	failed  error         // of the first write that has failed
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	done := make(chan struct{})
	c.mu.Lock()
	c.writing = done
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = nil
	if err != nil && c.failed == nil {
		c.failed = err
	}
	c.mu.Unlock()
	close(done)
	return n, err
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if cut := c.checkEnd(); cut != nil {
			err = cut
		}
	}
	return n, err
}

// checkEnd returns why the end of the input is that of a failed connection, or nil.
func (c *conn) checkEnd() error {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		if err := await(writing); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return fmt.Errorf("%w: %w", ErrCut, c.failed)
	}
	return nil
}
