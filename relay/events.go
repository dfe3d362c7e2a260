package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// event is one complete event of a stream, byte for byte as the server sent it.
type event struct {
	raw []byte
	id  eventID
}

// isComment reports whether an event consists of comments and reconnection times alone.
func (e *event) isComment() bool { return isComment(e.raw) }

// dispatches reports whether callers get something of an event: it has data, or an id. Others show that an engine is alive, but
// not that it has begun an answer.
func (e *event) dispatches() bool {
	return !e.id.isNone() || bytes.HasPrefix(e.raw, []byte("data")) || bytes.Contains(e.raw, []byte("\ndata"))
}

func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")) {
			return false
		}
	}
	return true
}

// errTruncated reports that a stream ended in the middle of an event or before the first.
var errTruncated = errors.New("the stream ended within an event or without any")

// maxEvent bounds one event, in bytes.
const maxEvent = 256 << 10

// eventReader splits a stream into complete events and leaves their bytes unchanged: the
// caller checks them against the server's digest, so a decoder that drops line ends or
// comments can't be used.
type eventReader struct {
	scan    *bufio.Scanner
	partial bool // a part of the next event has come, which is no comment
}

func newEventReader(body io.Reader) *eventReader {
	e := &eventReader{scan: bufio.NewScanner(body)}
	e.scan.Buffer(make([]byte, 0, 4<<10), maxEvent)
	e.scan.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		n, raw, err := splitEvents(data, atEOF)
		e.partial = n == 0 && !isComment(data)
		return n, raw, err
	})
	return e
}

// splitEvents is a bufio.SplitFunc for events, each of which ends with an empty line.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(data, []byte(end)); i >= 0 {
			n := i + len(end)
			return n, data[:n], nil
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTruncated
	}
	return 0, nil, nil
}

// next returns the next event, or io.EOF at the end of a complete stream.
func (e *eventReader) next() (event, error) {
	if !e.scan.Scan() {
		if err := e.scan.Err(); err != nil {
			return event{}, fmt.Errorf("read event: %w", err)
		}
		return event{}, io.EOF
	}
	raw := bytes.Clone(e.scan.Bytes())
	return event{raw: raw, id: readEventID(raw)}, nil
}

// readEventID returns the id of an event.
func readEventID(raw []byte) eventID {
	text := ""
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			text = string(bytes.TrimSpace(value))
		}
	}
	return parseEventID(text)
}

// withoutID returns the lines of an event but those of ids.
func withoutID(raw []byte) []byte {
	var rest []byte
	for line := range bytes.Lines(raw) {
		if !bytes.HasPrefix(line, []byte("id:")) {
			rest = append(rest, line...)
		}
	}
	return rest
}
