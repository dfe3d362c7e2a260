package engine

import "fmt"

// NewStreamID names the stream that an attempt of a request starts. Attempt
// numbers rise over the whole life of a request, so the name is used once.
func NewStreamID(r RequestID, a Attempt) StreamID {
	return StreamID(fmt.Sprintf("%s.%d", r, a))
}
