package admit

import (
	"math"
	"time"

	"quetzalhold/cost"
	"quetzalhold/engine"
)

// The target backlog of an engine: what it prefills and what waits there, on the way included. With less it
// is idle between two messages; what is more waits where its order can't change any more.
const (
	// targetBacklog is about 1.5 prompts of 8,200 tokens at 8 tokens a millisecond.
	targetBacklog = 1500 * time.Millisecond
	// minBacklog and maxBacklog bound the backlog in usual prompts: the rate is learned with other work at
	// the engines, and from prompts that are partly cached.
	minBacklog = 1.2
	maxBacklog = 1.5
)

// Window returns the number of prompt tokens that may be pending at so many engines with a prefill rate;
// usual is the length of a usual prompt. It returns 0 if that is unknown.
func Window(engines int, rate cost.Rate, usual engine.Tokens) engine.Tokens {
	if engines <= 0 || rate <= 0 || usual <= 0 {
		return 0
	}
	each := min(max(float64(rate)*targetBacklog.Seconds(), minBacklog*float64(usual)), maxBacklog*float64(usual))
	return engine.Tokens(min(float64(engines)*each, float64(MaxTokens)))
}

// flowTime is the time over which flows are averaged: some starts at each entry VM.
const flowTime = 3 * time.Second

// flow is an exponential average of tokens a second. The zero value is 0.
type flow struct {
	rate float64
	at   time.Time
}

func (f *flow) value(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.rate * math.Exp(-max(0, now.Sub(f.at).Seconds())/flowTime.Seconds())
}

func (f *flow) add(now time.Time, n engine.Tokens) {
	f.rate, f.at = max(0, f.value(now)+float64(n)/flowTime.Seconds()), now
}

// outcomes counts the streams of a rank that ended their wait or had their first event, and those among them
// that were in time. Older ones count less. The zero value has none.
type outcomes struct {
	ended, inTime float64
	at            time.Time
}

// outcomesFor is the time over which outcomes are averaged: an overload and what follows.
const outcomesFor = 30 * time.Second

func (o *outcomes) add(now time.Time, inTime bool) {
	o.ended, o.inTime = o.values(now)
	o.at = now
	o.ended++
	if inTime {
		o.inTime++
	}
}

func (o *outcomes) values(now time.Time) (ended, inTime float64) {
	if o.at.IsZero() {
		return 0, 0
	}
	f := math.Exp(-max(0, now.Sub(o.at).Seconds()) / outcomesFor.Seconds())
	return o.ended * f, o.inTime * f
}

// FirstEvents is how long streams that started lately took to their first event.
type FirstEvents struct {
	Count int           `json:"count"`
	Mean  time.Duration `json:"meanNs"`
}

// add adds the samples of o.
func (f *FirstEvents) add(o FirstEvents) {
	if n := f.Count + o.Count; n > 0 {
		f.Mean = time.Duration((float64(f.Mean)*float64(f.Count) + float64(o.Mean)*float64(o.Count)) / float64(n))
		f.Count = n
	}
}

// firstEvents holds the times to first events of the last streams. The zero value has none.
type firstEvents struct {
	ring [maxFirstEvents]firstEvent
	next int
}

type firstEvent struct {
	at   time.Time
	took time.Duration
}

const (
	maxFirstEvents = 32
	// firstEventsFor is how long a sample counts: the load changes within seconds, and all entry VMs
	// together have enough samples by then.
	firstEventsFor = 2 * time.Second
	// firstEventMargin is the time to a first event that is expected, as a multiple of the mean: the streams
	// that start are often those that can only just be in time.
	firstEventMargin = 1.25
)

func (f *firstEvents) add(now time.Time, took time.Duration) {
	f.ring[f.next%maxFirstEvents] = firstEvent{now, took}
	f.next++
}

func (f *firstEvents) recent(now time.Time) FirstEvents {
	var all FirstEvents
	for _, x := range f.ring {
		if !x.at.IsZero() && now.Sub(x.at) < firstEventsFor {
			all.add(FirstEvents{1, x.took})
		}
	}
	return all
}
