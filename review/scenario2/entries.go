package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalhold/platform/platformtest"
)

// Streams of 130 events, as on the sheet.
const (
	allEvents    = 130
	streamTokens = 5 * allEvents
	streams      = 50
)

// unframedStream is the one of the streams whose answer has neither a length nor chunks, and killedAfter the number of its
// events after which its engine is killed.
const (
	unframedStream = "u000"
	killedAfter    = 20
)

// playUnframed kills an engine in the midst of a stream that has neither a length nor chunks.
func playUnframed(s *site, trouble bool) (int, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	short, whole, failed := 0, 0, 0
	killed := make(chan bool, 1)
	if trouble {
		go func() { killed <- s.killEngineOf(unframedStream) }()
	}
	for n := range streams {
		wg.Go(func() {
			c := call{
				path: "/brief/1", body: fmt.Sprintf("prompt %d", n), tokens: fmt.Sprintf("8000,%d", streamTokens),
				prompt: fmt.Sprintf("5e1f:200,0e%04d:7800", n),
			}
			id := fmt.Sprintf("u%03d", n)
			a := s.exchange(s.gateways[n%len(s.gateways)], c, id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status != http.StatusOK:
				failed++
			case a.events < allEvents:
				short++
			default:
				whole++
			}
		})
		time.Sleep(streamInterval)
	}
	if trouble && !<-killed {
		return invalid, errors.New("no engine to kill")
	}
	wg.Wait()
	text := fmt.Sprintf("ORDER: %d streams ended as complete before their last event, %d are whole, %d failed", short, whole, failed)
	s.rec.printf("%s", text)
	fmt.Println(text)
	if short > 0 {
		return broken, nil
	}
	return held, nil
}

// killEngineOf kills the engine that works on a stream once it has sent some events. It reports whether there was one.
func (s *site) killEngineOf(id string) bool {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		runs := s.recorder.Runs(id)
		if len(runs) == 0 || runs[0].Events < killedAfter {
			continue
		}
		for _, r := range s.runners {
			if r.id() == runs[0].Server {
				s.rec.printf("runner %s is killed, which has sent %d events of %s", r.id(), runs[0].Events, id)
				r.crashed()
				return true
			}
		}
	}
	return false
}

// countEvents returns the number of complete events in a body.
func countEvents(body string) int { return strings.Count(body, "\n\n") }

// playEarly sends requests, some together, with a part that crashes engines before they have sent a byte.
func playEarly(s *site, trouble bool) (int, error) {
	if trouble {
		s.setFaults("models", platformtest.Fault{CrashPart: poisonPart, CrashEarly: true})
	}
	return s.judgePart(trouble, arrivals{times: 4, each: 4, interval: 8 * time.Second}, func(n int, poisonous bool) string {
		prompt := fmt.Sprintf("5e1f:200,ab%02d:300", n%4)
		if poisonous {
			prompt += "," + poisonPart + ":300"
		}
		return prompt + fmt.Sprintf(",0e%05d:7200", n)
	})
}

const (
	// refusedFor is the Retry-After of a refusal, in seconds, and laterThan the time after it from which the rule counts.
	refusedFor = 45
	laterThan  = 500 * time.Millisecond
	// refusalTime is how long the runner refuses what it is sent; it serves what comes later.
	refusalTime = 3 * time.Second
	// permittedEach is how many requests of a machine may reach the runner meanwhile.
	permittedEach = 2
)

// playRetry lets a runner refuse bookings for a time that it names.
func playRetry(s *site, trouble bool) (int, error) {
	r := s.runners[len(s.runners)-1]
	if trouble {
		r.setFault(platformtest.Fault{Refuse: true, RetryAfter: strconv.Itoa(refusedFor)})
	}
	begun := time.Now()
	time.AfterFunc(refusalTime, func() { r.setFault(platformtest.Fault{}) })
	var wg sync.WaitGroup
	for i := 0; time.Since(begun) < refusedFor*time.Second; i++ {
		wg.Go(func() {
			s.exchange(s.gateways[i%len(s.gateways)], call{path: "/book/1", body: fmt.Sprintf("booking %d", i)}, fmt.Sprintf("retry%d", i))
		})
		time.Sleep(soundInterval)
	}
	wg.Wait()
	refused := r.sims()[0].Refused()
	if len(refused) == 0 {
		if trouble {
			return invalid, errors.New("the runner has refused nothing")
		}
		return held, nil
	}
	from, end, late := refused[len(refused)-1].Add(laterThan), refused[0].Add(refusedFor*time.Second), 0
	for _, at := range r.sims()[0].Arrived() {
		if at.After(from) && at.Before(end) {
			late++
		}
	}
	text := fmt.Sprintf("BUDGET: %d requests reached the runner within the time of %d refusals, %d are permitted", late, len(refused), permittedEach*len(refused))
	s.rec.printf("%s", text)
	fmt.Println(text)
	if late > permittedEach*len(refused) {
		return broken, nil
	}
	return held, nil
}
