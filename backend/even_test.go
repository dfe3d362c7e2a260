package backend_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/routing"
)

// choices returns a digest of what 500 requests are given: candidates, placements and servers of calls. change may change
// the criteria.
func choices(change func(*backend.Criteria)) uint64 {
	digest := fnv.New64a()
	r := rand.New(rand.NewPCG(7, 7))
	for i := range 500 {
		p := backend.Pool{Seed: fmt.Sprint("vm", i%3)}
		for j := range 14 {
			s := server(fmt.Sprint("e", j), names.ID([]string{"cn-a", "wv-a", "ks-a"}[r.IntN(3)]), fmt.Sprintf("10.0.0.%d:1", j+1), 5, 10)
			s.Slots = 1 + r.IntN(6)
			p.Apply(s)
			p.Begin(s.ID, backend.Load{Requests: r.IntN(8), Pending: r.IntN(3), Tokens: engine.Tokens(r.IntN(90000))})
		}
		n := need()
		n.AffinityKey = fmt.Sprint(i)
		n.Region = func(d names.ID) names.ID { return d[:1] }
		change(&n)
		var list []backend.Engine
		for j, c := range p.Candidates(n, 8) {
			e := backend.Engine{Choice: c, Rank: j}
			if r.IntN(8) > 0 {
				e.Report = &backend.Report{Ready: true, Waiting: r.IntN(2), Prefilling: r.IntN(3), Generating: r.IntN(5), Used: engine.Tokens(r.IntN(90000)), Total: 88000}
			}
			list = append(list, e)
		}
		placed, _ := backend.Place(n, list)
		run, _ := p.Choose(n)
		n.Model = nil
		call, _ := p.Choose(n)
		n.Model = &routing.Model{Slots: 3, KVTokens: 50000}
		small, _ := p.Choose(n)
		_, _ = fmt.Fprintln(digest, ids(p.Candidates(n.Nearby(), 6)), placed.Run.ID, placed.Replica.ID, placed.Run.Idle(n), placed.LightlyLoaded(n), run.ID, call.ID, small.ID)
	}
	return digest.Sum64()
}

// digestBefore is the digest of the choices of commit 49ee48e, before servers had speeds.
const digestBefore = 3177228251255335003

// TestEvenServers guards against a change of placement where no server is known to differ by 1.5 or more.
func TestEvenServers(t *testing.T) {
	Convey("Choices are those of the version before speeds were learned", t, func() {
		table := func(speeds ...cost.Speed) []cost.ServiceSpeeds {
			s := cost.ServiceSpeeds{Service: "models", Prefill: 9000}
			for i, x := range speeds {
				s.Servers = append(s.Servers, cost.ServerSpeed{ID: engine.ServerID(fmt.Sprint("e", i)), Start: 5, Speed: x})
			}
			return []cost.ServiceSpeeds{s}
		}
		for _, known := range [][]cost.ServiceSpeeds{nil, table(0.7, 1.4), table(0.68)} {
			var b cost.Book
			b.SetTable(start, known)
			So(choices(func(n *backend.Criteria) { n.Cost = b.Basis(start, n.Service) }), ShouldEqual, uint64(digestBefore))
		}
		var b cost.Book
		b.SetTable(start, table(0.46))
		So(choices(func(n *backend.Criteria) { n.Cost = b.Basis(start, n.Service) }), ShouldNotEqual, uint64(digestBefore))
	})
}
