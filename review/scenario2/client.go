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

// send sends a request to a gateway on a new channel, and returns the status of its answer; 0 for none. An answer that
// ends early counts as none.
func (s *site) send(g *gateway, c call) int {
	id := fmt.Sprintf("r%06d", lastRequest.Add(1))
	status, text := exchange(g, c, id)
	s.rec.printf("%s to %s %s %s %q: status %d %s", id, g.name, c.path, c.prompt, c.body, status, text)
	return status
}

func exchange(g *gateway, c call, id string) (status int, text string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 25 * time.Second}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.listen+c.path, strings.NewReader(c.body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Api-Key", "key-1")
	req.Header.Set("X-Deadline-Ms", "25000")
	if c.prompt != "" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Prompt-Prefix", c.prompt)
		req.Header.Set("X-Token-Count", c.tokens)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, fmt.Sprintf("ended early, status %d: %v", resp.StatusCode, err)
	}
	text = string(b)
	if len(text) > 160 {
		text = text[:160] + "..."
	}
	return resp.StatusCode, strings.ReplaceAll(text, "\n", " ")
}
