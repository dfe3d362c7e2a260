package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// call is a request of a requester.
type call struct {
	path, body, prompt, tokens string
}

// reply is an answer. Its status is 0 if there is none, or if it ended early.
type reply struct {
	status      int
	stamp, text string
	events      int // complete events of a stream
}

// send sends a request under an id of its own, and returns the status of its answer.
func (s *site) send(g *gateway, c call) int {
	return s.exchange(g, c, fmt.Sprintf("r%06d", lastRequest.Add(1))).status
}

// exchange sends a request to a gateway on a new channel and returns its answer. Both are recorded.
func (s *site) exchange(g *gateway, c call, id string) reply {
	s.rec.printf("%s is sent to %s: POST %s %q %s", id, g.name, c.path, c.body, c.prompt)
	a := request(g, c, id)
	s.rec.printf("%s is answered by %s: status %d, stamp %q, %d events, %s", id, g.name, a.status, a.stamp, a.events, a.text)
	return a
}

func request(g *gateway, c call, id string) reply {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.listen+c.path, strings.NewReader(c.body))
	if err != nil {
		return reply{text: err.Error()}
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Api-Key", "key-1")
	req.Header.Set("X-Deadline-Ms", "2500")
	if c.prompt != "" {
		req.Header.Set("X-Deadline-Ms", "25000")
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Prompt-Prefix", c.prompt)
		req.Header.Set("X-Token-Count", c.tokens)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{text: err.Error()}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{text: fmt.Sprintf("ended early, status %d: %v", resp.StatusCode, err)}
	}
	text, events := string(b), countEvents(string(b))
	if len(text) > maxText {
		text = text[:maxText] + "..."
	}
	return reply{status: resp.StatusCode, stamp: resp.Header.Get("X-Server-Stamp"), events: events, text: strings.ReplaceAll(text, "\n", " ")}
}

const (
	// patience is how long a requester waits at most.
	patience = 26 * time.Second
	// maxText is how much of an answer is recorded.
	maxText = 160
)
