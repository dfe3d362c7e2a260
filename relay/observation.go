package relay

import (
	"sync"
	"time"

	"quetzalhold/backend"
	"quetzalhold/telemetry"
)

// observation reports to Relay.Answered what is known of the answer to one request that was sent to a server. While
// a version move is judged by the service's answers, a request that takes longer than usual is reported as soon as that is known,
// and again with its outcome: the answer may never come, or not be waited for.
type observation struct {
	job    *job
	by     backend.Choice
	sentAt time.Time
	lostAt time.Time // zero unless its answer was lost; guarded by the lock of the exchanges

	timer *time.Timer // nil if no move is judged

	mu       sync.Mutex
	started  bool   // the first event of a stream has come
	late     bool   // it was reported as one that takes longer than usual
	losing   bool   // its answer was lost, and it is being found out what that tells
	reported bool   // it has ended
	then     func() // called when either is known; nil for nothing
}

// observe begins the observation of a request that is sent to a server now. What another entry VM is sent is observed there.
func (j *job) observe(to backend.Choice) *observation {
	o := &observation{job: j, by: to, sentAt: time.Now()}
	if to.Peer || j.relay.Answered == nil {
		o.reported = true
		return o
	}
	j.relay.exchanges.add(o)
	if limit, ok := j.relay.slowAfter(j); ok {
		o.mu.Lock() // the timer may be due at once
		defer o.mu.Unlock()
		o.timer = time.AfterFunc(limit, func() { telemetry.Run(j.relay.Log, "late answer", o.checkLate) })
	}
	return o
}

// slowAfter returns the time after which an answer counts as slow, while a version move is judged by the service's answers.
func (r *Relay) slowAfter(j *job) (time.Duration, bool) {
	if r.SlowAfter == nil {
		return 0, false
	}
	return r.SlowAfter(j.service, j.route.Name)
}

// checkLate reports a request that has been waiting for the time after which an answer counts as slow, which may have
// changed.
func (o *observation) checkLate() {
	limit, ok := o.job.relay.slowAfter(o.job)
	waited := time.Since(o.sentAt)
	o.mu.Lock()
	late := !o.started && !o.reported && !o.losing && ok
	if late && waited <= limit {
		o.timer.Reset(limit - waited + time.Millisecond)
		late = false
	}
	o.late = late
	then := o.then
	o.mu.Unlock()
	if !late {
		return
	}
	o.call(ServerAnswer{Partial: true, First: waited})
	if then != nil {
		then()
	}
}

// judged reports whether a version move is judged by the answer.
func (o *observation) judged() bool { return o.timer != nil }

// begun records that a stream has begun: its first event is not late any more.
func (o *observation) begun() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started = true
}

// report reports the outcome, unless that was done before.
func (o *observation) report(a ServerAnswer) {
	if late, ok := o.end(); ok {
		a.Late = late
		o.call(a)
	}
}

// call calls Relay.Answered, with what identifies the request.
func (o *observation) call(a ServerAnswer) {
	a.Service, a.Route, a.Server, a.Version = o.job.service, o.job.route.Name, o.by.ID, o.by.Version
	o.job.relay.Answered(a)
}

// cut reports a request that is given up before its answer has come.
func (o *observation) cut() { o.report(ServerAnswer{Partial: true, First: time.Since(o.sentAt)}) }

// drop ends the observation of a request of whose answer nothing is known: it was refused, or its server was lost.
func (o *observation) drop() { o.end() }

// end ends the observation. It reports whether the request was late, and whether the observation had not ended before.
func (o *observation) end() (late, ok bool) {
	o.mu.Lock()
	late, ok = o.late, !o.reported && !o.losing
	if ok {
		o.reported = true
		o.job.relay.exchanges.remove(o)
	}
	then := o.stop()
	o.mu.Unlock()
	if then != nil {
		then()
	}
	return late, ok
}

// stop stops the timer, and returns what to call. The caller holds o.mu.
func (o *observation) stop() (then func()) {
	then, o.then = o.then, nil
	if o.timer != nil {
		o.timer.Stop()
	}
	return then
}

// beginLoss records that the answer was lost. It reports false if the observation has ended before.
func (o *observation) beginLoss() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reported || o.losing {
		return false
	}
	o.losing = true
	if then := o.stop(); then != nil {
		defer then()
	}
	return true
}

// endLoss ends the observation of a lost answer, which counts as a failure or tells nothing.
func (o *observation) endLoss(failed bool) {
	o.mu.Lock()
	o.losing = false
	o.mu.Unlock()
	if failed {
		o.report(ServerAnswer{Failed: true})
	} else {
		o.drop()
	}
}

// whenKnown calls f once the request is late or has an outcome. It may be called again after that.
func (o *observation) whenKnown(f func()) {
	o.mu.Lock()
	known := o.reported || o.losing || o.late
	if !known {
		o.then = f
	}
	o.mu.Unlock()
	if known {
		f()
	}
}
