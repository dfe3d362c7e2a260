package telemetry

import (
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"quetzalhold/engine"
)

// maxSteps bounds the steps that are kept for one request.
const maxSteps = 256

// History keeps the steps of the most recent requests. Use [NewHistory].
type History struct {
	mu       sync.Mutex
	requests *lru.Cache[engine.RequestID, []engine.Step]
}

// NewHistory returns a history of the size most recent requests.
func NewHistory(size int) *History {
	c, err := lru.New[engine.RequestID, []engine.Step](max(size, 1))
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &History{requests: c}
}

// Record adds a step to the history of its request, unless that has maxSteps already.
func (h *History) Record(s engine.Step) {
	h.mu.Lock()
	defer h.mu.Unlock()
	steps, _ := h.requests.Get(s.Request)
	if len(steps) >= maxSteps {
		return
	}
	h.requests.Add(s.Request, append(steps, s))
}

// Steps returns the steps of a request, oldest first, or none if the request is
// unknown.
func (h *History) Steps(r engine.RequestID) []engine.Step {
	h.mu.Lock()
	defer h.mu.Unlock()
	steps, _ := h.requests.Peek(r)
	return slices.Clone(steps)
}
