package move

import "math"

// A version's failures on a route have several explanations. Each is a model of how often the old version failed
// before the move, and both did during it, and has a prior probability relative to that of a version as good as the
// old one. A model gives the probability of the answers, all parameters averaged out.
const (
	// worsePrior is for a version that fails more often. It is shared among the routes, as each is one more
	// chance for an unusual sequence.
	worsePrior = 0.05
	// serverPrior is for a fault of a single server of a good version.
	serverPrior = 0.15
	// changePrior is for what makes both versions fail from about the beginning of the move on.
	changePrior = 0.02
)

// The excess failures of a worse version, as a part of the requests that the old version answers well: minExcess and
// more, in steps of excessStep.
const minExcess, excessStep = 0.2, 0.05

// badOdds returns the natural logarithm of the odds that the new version fails more often than the old one on one of
// so many routes, against all other explanations together.
func (r *routeEvidence) badOdds(routes int) float64 {
	all := tally{r.newRequests, r.newFailed}
	old, known := r.old, r.oldAnswers()
	explained := sequence(all, known) // as good as the old one
	if n := len(r.failTallies); n >= minServers {
		for _, t := range r.failTallies {
			others := sequence(tally{all.n - t.n, all.hits - t.hits}, known)
			explained = logSum(explained, math.Log(serverPrior/float64(n))+others+sequence(t, rates{}))
		}
	}
	// Both versions have changed: the old one's answers from before tell nothing of those during the move.
	during := tally{int(math.Round(old.n)), int(math.Round(old.failed))}
	changed := sequence(during, rates{}) + sequence(all, old) - sequence(during, r.before)
	explained = logSum(explained, math.Log(changePrior)+changed)
	return math.Log(worsePrior/float64(max(1, routes))) + worse(all, known.meanRate()) - explained
}

// worse returns the logarithm of the probability of a sequence of answers of a version that fails more often than one
// with a rate of failures, all excesses being as likely.
func worse(t tally, p0 float64) float64 {
	sum, n := math.Inf(-1), 0.0
	for x := minExcess; x < 1; x += excessStep {
		p := p0 + (1-p0)*x
		sum = logSum(sum, float64(t.hits)*math.Log(p)+float64(t.n-t.hits)*math.Log(1-p))
		n++
	}
	return sum - math.Log(n)
}

// meanRate returns the mean rate of failures, given the answers.
func (o *rates) meanRate() float64 { return (o.failed + 0.5) / (o.n + 1) }

// sequence returns the logarithm of the probability of a sequence of answers, of a version of which others are known.
func sequence(t tally, known rates) float64 {
	a, b := known.failed+0.5, known.n-known.failed+0.5
	return logBeta(a+float64(t.hits), b+float64(t.n-t.hits)) - logBeta(a, b)
}

func logBeta(x, y float64) float64 {
	lx, _ := math.Lgamma(x)
	ly, _ := math.Lgamma(y)
	lxy, _ := math.Lgamma(x + y)
	return lx + ly - lxy
}

// logSum returns log(exp(a) + exp(b)).
func logSum(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// failuresByChance returns the probability of as many failures as in t of a version that fails as often as
// the old one, of which only its answers are known: the tail of a beta-binomial distribution.
func failuresByChance(t tally, old rates) float64 {
	a, b, n := old.failed+0.5, old.n-old.failed+0.5, float64(t.n)
	tail := 0.0
	for k := t.hits; k <= t.n; k++ {
		x := float64(k)
		choose := -math.Log(n+1) - logBeta(x+1, n-x+1)
		tail += math.Exp(choose + logBeta(x+a, n-x+b) - logBeta(a, b))
	}
	return min(1, tail)
}
