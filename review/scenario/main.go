// Command scenario runs the cases of the review that can't be put as a day of the bench. It runs in
// the repository's root, starts gateways as the deploy file says, and plays the store, the servers,
// the operator and the callers itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"one-route":  oneRoute,
	"next-order": nextOrder,
	"silent":     silentChannels,
	"under-load": underLoad,
	"kept-run":   keptRun,
	"early-end":  earlyEnd,
	"bad-part":   badPart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenario CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// longest bounds the time of a case.
const longest = 110 * time.Second

func run(f func(*record, bool) (bool, error), path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	defer rec.endSites()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	type outcome struct {
		held bool
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		held, err := f(rec, os.Getenv("TROUBLE") != "0")
		done <- outcome{held, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-ctx.Done():
		o.err = ctx.Err()
	}
	switch {
	case o.err != nil:
		rec.say("the case could not run: %v", o.err)
		return exitFailed
	case !o.held:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// settle is the time from the start of the machines to the order: the traffic starts 10 s after the
// machines, and all are in touch.
const settle = 12 * time.Second

// rolloutLength is the time budget of a rollout.
const rolloutLength = 12 * time.Second

func (x *rollouts) rule(version string, order time.Time, length time.Duration) exposure {
	return exposure{
		service: service, version: version, order: order, length: length, share: exposeShare, slack: exposeSlack, rollback: rollbackMs * time.Millisecond,
	}
}

// oneRoute orders a version that fails two fifths of the requests of one route.
func oneRoute(rec *record, trouble bool) (bool, error) {
	r, err := startRollouts(rec)
	if err != nil {
		return false, err
	}
	time.Sleep(settle)
	failure := same(baseFailure)
	if trouble {
		failure = same(failing(0.4, status))
	}
	at, err := r.order("v2", rolloutLength, failure)
	if err != nil {
		return false, err
	}
	time.Sleep(rolloutLength + 3*time.Second)
	if !trouble {
		rec.say("version v2 is as good as v1: the rule does not bound its requests")
		return true, nil
	}
	return rec.check(r.rule("v2", at, rolloutLength)), nil
}

// nextOrder orders a good version while the servers of a bad one, which was rolled back, drain.
func nextOrder(rec *record, trouble bool) (bool, error) {
	r, err := startRollouts(rec)
	if err != nil {
		return false, err
	}
	time.Sleep(settle)
	at, err := r.order("v2", rolloutLength, same(failing(0.5, booking, status)))
	if err != nil {
		return false, err
	}
	select {
	case x := <-r.ended:
		if x.state != "rolled_back" {
			return false, fmt.Errorf("the bad version was not rolled back: %v", x)
		}
	case <-time.After(rolloutLength):
		return false, fmt.Errorf("the rollout did not end")
	}
	time.Sleep(time.Second)
	if trouble {
		if _, err := r.order("v3", 30*time.Second, same(baseFailure)); err != nil {
			return false, err
		}
	}
	time.Sleep(15 * time.Second)
	return rec.check(r.rule("v2", at, rolloutLength)), nil
}

// silentChannels lets the open channels to the store go silent some seconds before an order.
func silentChannels(rec *record, trouble bool) (bool, error) {
	r, err := startRollouts(rec)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, m := range r.site.machines {
			rec.say("%d channels of %s to the store go silent", m.toStore.silence(), m.name)
		}
	}
	time.Sleep(contactMs*time.Millisecond + 2*time.Second)
	at, err := r.order("v2", rolloutLength, same(failing(0.5, booking, status)))
	if err != nil {
		return false, err
	}
	time.Sleep(watchTime)
	return rec.check(r.rule("v2", at, rolloutLength)), nil
}

// watchTime is how long a rollout is watched after its order: until the call that waits for orders
// has ended at the latest.
const watchTime = 26 * time.Second

// underLoad orders a version that fails half of its requests once its servers get more than a few.
func underLoad(rec *record, trouble bool) (bool, error) {
	r, err := startRollouts(rec)
	if err != nil {
		return false, err
	}
	time.Sleep(settle)
	failure := func() func(string) float64 { return baseFailure }
	if trouble {
		failure = func() func(string) float64 { return overloaded(6) }
	}
	at, err := r.order("v2", rolloutLength, failure)
	if err != nil {
		return false, err
	}
	time.Sleep(rolloutLength + 3*time.Second)
	if !trouble {
		rec.say("version v2 is as good as v1: the rule does not bound its requests")
		return true, nil
	}
	return rec.check(r.rule("v2", at, rolloutLength)), nil
}

// overloaded returns the failures of a server that fails half of its requests while it gets more than
// some in a second.
func overloaded(most int) func(string) float64 {
	var mu sync.Mutex
	var lately []time.Time
	return func(path string) float64 {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		lately = append(slices.DeleteFunc(lately, func(at time.Time) bool { return now.Sub(at) > time.Second }), now)
		if len(lately) > most {
			return 0.5
		}
		return baseFailure(path)
	}
}
