package admit

import (
	"maps"
	"slices"
	"time"
)

// Preview is what a queue would do with a stream that comes now.
type Preview struct {
	Decision // its Action and Reason apply unless Waits is set
	Waits    bool
	Status   Status
}

// Preview returns what the queue would do with a stream that comes now. It decides on a copy, so the queue does not
// change.
func (q *Queue) Preview(now time.Time, s Stream) Preview {
	c := *q
	c.Random = func() float64 { return 0 }
	c.served = maps.Clone(q.served)
	c.waiting = make([]*Ticket, 0, len(q.waiting)+1)
	for _, t := range q.waiting {
		x := *t
		c.waiting = append(c.waiting, &x)
	}
	t, list := c.Add(now, s)
	p := Preview{Status: q.Status(now)}
	i := slices.IndexFunc(list, func(d Decision) bool { return d.Ticket == t })
	if p.Waits = i < 0; p.Waits {
		p.Ticket = t
		p.ExpectedWait, p.Ahead, p.Rate = c.expectedWait(now, t)
		return p
	}
	p.Decision = list[i]
	return p
}
