package move

// Allowance counts the requests of a service that pass one entry VM during a limited move, and bounds those that it
// sends to the new version: by a part of the requests that have reached servers so far, and a part of the
// slack. As each entry VM keeps to its own bound, all of them together keep to that of the move at any time,
// without messages and whatever the traffic is. The zero value has no slack.
type Allowance struct {
	// Entries is the number of entry VMs that pass on requests of the service; 1 if 0.
	Entries int
	// slack is this entry VM's part of the slack, in requests.
	slack float64

	reached int
	sent    map[Route]int
}

// slackPart is the part of the slack that is shared out. The rest allows for the rounding of the parts.
const slackPart = 0.95

// SetSlack gives entry VM number rank, counted from 0, its part of a slack. The parts differ by less than a request, so that
// the sum of the rounded bounds of all entry VMs is close to the bound.
func (a *Allowance) SetSlack(slack float64, rank int) {
	if slack > 0 {
		n := float64(a.entries())
		a.slack = slackPart*slack/n + (float64(rank)+0.5)/n
	}
}

func (a *Allowance) entries() int { return max(1, a.Entries) }

// Left returns how many more requests the new version may get now, at an exposure as in [Plan]. A part of all of them
// is kept for later.
func (a *Allowance) Left(exposure, kept float64) int {
	return int((1-kept)*(exposure*float64(a.reached)+a.slack)) - a.Sent()
}

// Sent returns how many requests were sent to the new version.
func (a *Allowance) Sent() int {
	n := 0
	for _, of := range a.sent {
		n += of
	}
	return n
}

// Reached returns how many requests have reached servers of either version.
func (a *Allowance) Reached() int { return a.reached }

// Take counts a request that is sent to the new version.
func (a *Allowance) Take(r Route) {
	if a.sent == nil {
		a.sent = make(map[Route]int)
	}
	a.sent[r]++
}

// Return takes back a request that could not be sent.
func (a *Allowance) Return(r Route) {
	if a.sent[r] > 0 {
		a.sent[r]--
	}
}

// Reach counts a request that has reached a server of either version.
func (a *Allowance) Reach() { a.reached++ }
