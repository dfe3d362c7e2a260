package move

// Allowance counts the requests of a service that pass one entry VM during a limited move, and bounds those that it
// sends to the new version: by a part of the requests that have reached servers so far, and a part of the
// slack. As each entry VM keeps to its own bound, all of them together keep to that of the move at any time,
// without messages and whatever the traffic is. The zero value has no slack.
type Allowance struct {
	// Slack is this entry VM's part of the slack, in requests.
	Slack float64

	reached int
	sent    map[Route]int
}

// slackPart is the part of the slack that is shared out. The rest allows for the rounding of the parts.
const slackPart = 0.9

// SlackPart returns the part of a slack for entry VM number rank of n, counted from 0. The parts differ by less
// than a request, so that the sum of the rounded bounds of all entry VMs is close to the bound.
func SlackPart(slack float64, rank, n int) float64 {
	if slack <= 0 || n <= 0 {
		return 0
	}
	return slackPart*slack/float64(n) + (float64(rank)+0.5)/float64(n)
}

// Left returns how many more requests the new version may get now, at an exposure as in [Plan].
func (a *Allowance) Left(exposure float64) int {
	return int(exposure*float64(a.reached)+a.Slack) - a.Sent()
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
func (a *Allowance) Return(r Route) { a.sent[r]-- }

// Reach counts a request that has reached a server of either version.
func (a *Allowance) Reach() { a.reached++ }
