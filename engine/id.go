package engine

import "fmt"

// NewStreamID returns the id of the stream that an attempt of a request starts. It
// is unique, since attempt numbers increase over the whole life of a request.
func NewStreamID(r RequestID, a Attempt) StreamID {
	return StreamID(fmt.Sprintf("%s.%d", r, a))
}
