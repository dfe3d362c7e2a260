package main

import (
	"fmt"
	"sync"
	"time"

	"quetzalhold/platform/platformtest"
)

const (
	// largestLimit is the largest number of 32 bits. A runner names it that takes as many requests as come.
	largestLimit = "4294967295"
	// endsCounted is how often the processes of a machine end by themselves in a day that counts 0, and endsMachines on
	// how many machines at least.
	endsCounted, endsMachines = 3, 2
)

// playLimit lets a runner name a limit in its answers that is far above what comes, while bookings are made.
func playLimit(s *site, trouble bool) (int, error) {
	for _, g := range s.gateways {
		go s.supervise(g)
	}
	if trouble {
		s.runners[len(s.runners)-1].setFault(platformtest.Fault{Limit: largestLimit})
		s.rec.printf("a runner names the limit %s", largestLimit)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	unanswered := 0
	end := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			if s.send(s.gateways[i%len(s.gateways)], call{path: "/book/1", body: fmt.Sprintf("booking %d", i)}) == 0 {
				mu.Lock()
				unanswered++
				mu.Unlock()
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	machines := 0
	for _, g := range s.gateways {
		n := s.ends(g)
		s.rec.printf("the process of %s has ended by itself %d times", g.name, n)
		if n >= endsCounted {
			machines++
		}
	}
	s.rec.printf("Fault: on %d machines processes have ended by themselves %d times or more; %d bookings without an answer", machines, endsCounted, unanswered)
	fmt.Printf("Fault: on %d machines processes have ended by themselves %d times or more; %d bookings without an answer\n", machines, endsCounted, unanswered)
	if machines >= endsMachines {
		return broken, nil
	}
	return held, nil
}
