package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"quetzalhold/platform/platformtest"
)

const (
	// poisonBody is the body of a request that crashes each runner that begins to run it.
	poisonBody = "the request that crashes runners"
	// poisonPart is the part of a prompt that crashes each runner that begins to write an answer on it.
	poisonPart = "c0ffee"
	// permitted is how many such requests may reach runners later than contact after the last crash that the rule allows.
	permitted = 3
)

// crashingBody is a request that comes again, at any machine, with the same path, caller and body.
var crashingBody = call{path: "/book/1", body: poisonBody}

func reachedWithBody(sim *platformtest.Server) []time.Time { return sim.AskedWith(poisonBody) }

func reachedWithPart(sim *platformtest.Server) []time.Time { return sim.Asked(poisonPart) }

// setFaults sets how the runners of a service misbehave.
func (s *site) setFaults(service string, f platformtest.Fault) {
	for _, r := range s.runners {
		if r.service == service {
			r.setFault(f)
		}
	}
}

// repeat sends a request at an interval, to the given gateways in turn.
func (s *site) repeat(to []*gateway, c call, interval, d time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		g := to[i%len(to)]
		wg.Go(func() { s.send(g, c) })
		time.Sleep(interval)
	}
	wg.Wait()
}

// judge counts the requests that reached runners after an instant.
func (s *site) judge(what string, from time.Time, reached []time.Time) int {
	late := 0
	for _, at := range reached {
		if at.After(from) {
			late++
			s.rec.printf("reached a runner at %s, after the bound at %s", s.rec.at(at), s.rec.at(from))
		}
	}
	s.rec.printf("%s: %d requests reached runners after the bound, %d are permitted", what, late, permitted)
	fmt.Printf("%s: %d requests reached runners after the bound, %d are permitted\n", what, late, permitted)
	if late > permitted {
		return broken
	}
	return held
}

// sound is the sound bookings that are made beside the request that crashes runners.
type sound struct {
	site *site
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	sent []time.Time
	lost []time.Time // when those were sent that a runner may have run and that got no success
}

// soundInterval is the time between two sound bookings: 50 a second, as on the sheets.
const soundInterval = 20 * time.Millisecond

// bookSound makes sound bookings at all gateways in turn, until end is called.
func (s *site) bookSound() *sound {
	x := &sound{site: s, stop: make(chan struct{})}
	x.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-x.stop:
				return
			case <-time.After(soundInterval):
			}
			x.wg.Go(func() { x.book(s.gateways[i%len(s.gateways)], i) })
		}
	})
	return x
}

func (x *sound) book(g *gateway, i int) {
	at := time.Now()
	status := x.site.exchange(g, call{path: "/book/1", body: fmt.Sprintf("booking %d", i)}, fmt.Sprintf("sound%d", i)).status
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = append(x.sent, at)
	if status != http.StatusOK && status != http.StatusServiceUnavailable {
		x.lost = append(x.lost, at)
	}
}

// end ends the bookings and records how many of those sent after an instant were lost.
func (x *sound) end(from time.Time) {
	close(x.stop)
	x.wg.Wait()
	late := func(list []time.Time) int {
		n := 0
		for _, at := range list {
			if at.After(from) {
				n++
			}
		}
		return n
	}
	x.site.rec.printf("%d of %d sound bookings sent after the bound ended with neither a success nor a refusal", late(x.lost), late(x.sent))
}

// errNoCrash reports that the runners did not crash as often as the scenario needs.
var errNoCrash = errors.New("too few crashes")

// playDrill lets the store come back from a copy some seconds old after a request has crashed three runners.
func playDrill(s *site, trouble bool) (int, error) {
	s.setFaults("app", platformtest.Fault{CrashBody: poisonBody})
	sound := s.bookSound()
	before := s.store.Copy()
	s.rec.printf("the store is copied")
	s.repeat(s.gateways, crashingBody, 400*time.Millisecond, 2400*time.Millisecond)
	third, ok := s.crashAt(3)
	if !ok {
		return invalid, errNoCrash
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.store.SetFault(platformtest.StoreFault{Busy: true})
		s.proxy.cut()
		s.rec.printf("the store is away")
		time.Sleep(500 * time.Millisecond)
		s.store.Restore(before)
		s.store.SetFault(platformtest.StoreFault{})
		s.rec.printf("the store is back from the copy")
		s.configure()
		for _, r := range s.runners {
			r.rewrite()
		}
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	bound := third.Add(contact)
	if back := time.Now().Add(contact); trouble && back.After(bound) {
		bound = back
	}
	time.Sleep(time.Until(bound) + 200*time.Millisecond)
	s.repeat(s.gateways, crashingBody, 400*time.Millisecond, 12*time.Second)
	sound.end(bound)
	return s.judge("BUDGET", bound, s.reached(reachedWithBody)), nil
}

// poisoned returns a request with the part that crashes runners. No two are alike.
func poisoned(n int) call {
	return call{
		path: "/brief/1", body: fmt.Sprintf("prompt %d", n), tokens: "8000,50",
		prompt: fmt.Sprintf("5e1f:200,ab%02d:300,%s:300,0e%04d:7200", n%4, poisonPart, n),
	}
}

// playBurst sends two requests with a part that crashes runners, and some more together when the rule's time has passed.
func playBurst(s *site, trouble bool) (int, error) {
	if trouble {
		s.setFaults("models", platformtest.Fault{CrashPart: poisonPart})
	}
	for n := range 2 {
		s.send(s.gateways[n], poisoned(n))
		time.Sleep(2 * time.Second)
	}
	fifth, ok := s.crashAt(5)
	if !ok {
		if trouble {
			return invalid, errNoCrash
		}
		fifth = time.Now()
	}
	bound := fifth.Add(contact)
	time.Sleep(time.Until(bound) + 3*time.Second)
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() { s.send(s.gateways[n%len(s.gateways)], poisoned(10+n)) })
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	if !trouble {
		return held, nil // no part crashes runners, so that the rule permits all requests
	}
	return s.judge("BUDGET", bound, s.reached(reachedWithPart)), nil
}

// reconnectTime is the time in which the gateways have noticed that other channels to the store are silent.
const reconnectTime = 2200 * time.Millisecond

// playSilent makes the open channels to the store silent while a request crashes runners.
func playSilent(s *site, trouble bool) (int, error) {
	s.setFaults("app", platformtest.Fault{CrashBody: poisonBody})
	if !s.awaitFreshWatches() {
		return invalid, errors.New("no moment at which all watches of crashes are new")
	}
	sound, begun := s.bookSound(), time.Now()
	if trouble {
		s.rec.printf("%d open channels to the store fall silent", s.proxy.silence())
	}
	time.Sleep(reconnectTime)
	s.repeat(s.in(zones[0]), crashingBody, 200*time.Millisecond, time.Second)
	third, ok := s.crashAt(3)
	if !ok {
		return invalid, errNoCrash
	}
	bound := third.Add(contact)
	if at := begun.Add(contact); at.After(bound) {
		bound = at
	}
	time.Sleep(time.Until(bound) + 200*time.Millisecond)
	s.repeat(append(s.in(zones[1]), s.in(zones[2])...), crashingBody, 200*time.Millisecond, 6*time.Second)
	sound.end(bound)
	return s.judge("BUDGET", bound, s.reached(reachedWithBody)), nil
}

// deepParts is the number of sound parts before the one that crashes runners: the turns of a long conversation, or a list of
// documents.
const deepParts = 40

// deepPrompt returns the prompt of request n, with the part that crashes runners after many sound ones, or without it.
func deepPrompt(n int, poisonous bool) string {
	prompt := "5e1f:200"
	for i := range deepParts {
		prompt += fmt.Sprintf(",d%02d:100", i)
	}
	if poisonous {
		prompt += "," + poisonPart + ":300"
	}
	return prompt + fmt.Sprintf(",0e%05d:3500", n)
}

// playDeep sends requests with a part that crashes runners after many sound ones.
func playDeep(s *site, trouble bool) (int, error) {
	if trouble {
		s.setFaults("models", platformtest.Fault{CrashPart: poisonPart})
	}
	return s.judgePart(trouble, arrivals{times: 12, each: 1, interval: 3 * time.Second}, deepPrompt)
}

// arrivals is when requests come that crash runners: so many together, so many times.
type arrivals struct {
	times, each int
	interval    time.Duration
}

// judgePart sends requests now and then whose prompts have a part that crashes runners, beside sound requests that share all
// other parts. It counts those with the part that reach runners too late.
func (s *site) judgePart(trouble bool, at arrivals, prompt func(n int, poisonous bool) string) (int, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	stop := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(streamInterval):
			}
			wg.Go(func() {
				c := call{path: "/brief/1", body: fmt.Sprintf("sound %d", n), tokens: "7700,130", prompt: prompt(n, false)}
				status := s.exchange(s.gateways[n%len(s.gateways)], c, fmt.Sprintf("sound%d", n)).status
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	})
	for n := range at.times * at.each {
		if n%at.each == 0 {
			time.Sleep(at.interval)
		}
		wg.Go(func() {
			s.send(s.gateways[n%len(s.gateways)], call{path: "/brief/1", body: fmt.Sprintf("prompt %d", n), tokens: "8000,130", prompt: prompt(10000+n, true)})
		})
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	s.rec.printf("sound streams by status: %v", statuses)
	fifth, ok := s.crashAt(5)
	if trouble && !ok {
		return invalid, errNoCrash
	}
	if !trouble {
		return held, nil // no part crashes runners, so that the rule permits all requests
	}
	return s.judge("BUDGET", fifth.Add(contact), s.reached(reachedWithPart)), nil
}

// streamInterval is the time between two streams: nine a second, as on the sheet.
const streamInterval = 107 * time.Millisecond
