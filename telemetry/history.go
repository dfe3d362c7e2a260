package telemetry

import (
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"quetzalhold/engine"
)

// maxSteps bounds the steps kept of one request.
const maxSteps = 256

// History keeps what happened to the most recent requests. Use [NewHistory].
type History struct {
	mu       sync.Mutex
	requests *lru.Cache[engine.RequestID, []engine.Step]
}

// NewHistory returns a history of the last size requests.
func NewHistory(size int) *History {
	c, err := lru.New[engine.RequestID, []engine.Step](max(size, 1))
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &History{requests: c}
}

// Note adds a step to its request's history.
func (h *History) Note(s engine.Step) {
	h.mu.Lock()
	defer h.mu.Unlock()
	steps, _ := h.requests.Get(s.Request)
	if len(steps) >= maxSteps {
		return
	}
	h.requests.Add(s.Request, append(steps, s))
}

// Steps returns the steps of a request, oldest first; none if it is unknown.
func (h *History) Steps(r engine.RequestID) []engine.Step {
	h.mu.Lock()
	defer h.mu.Unlock()
	steps, _ := h.requests.Peek(r)
	return slices.Clone(steps)
}
