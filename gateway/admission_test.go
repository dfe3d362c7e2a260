package gateway_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/admit"
	"quetzalhold/backend"
	"quetzalhold/feed"
	"quetzalhold/names"
)

// TestSharesGranted guards against shares for entry VMs of other failure domains, and against an issuer that does
// not exchange its sums.
func TestSharesGranted(t *testing.T) {
	inWorld(t, "Shares are granted in the failure domain, and sums are exchanged with others", func(w *world) {
		issuer := w.vm("e1", "cn-a", 1)
		time.Sleep(5 * time.Second)
		client := feed.NewClient(w.net.Dialer(callerHost))
		need := admit.Demand{Service: "models", Window: 80000, Ranks: []admit.RankDemand{{Rank: 1, Waiting: 160000}}}
		send := func(domain names.ID, q feed.Request) feed.Response {
			q.From, q.Brief, q.Epoch = feed.Member{ID: "x-" + feed.MemberID(domain), Address: "10.1.0.9:82", Domain: domain}, true, "e"
			a, err := client.Fetch(context.Background(), feed.Member{ID: "e1", Address: issuer.host + ":82"}, q)
			So(err, ShouldBeNil)
			return a
		}
		So(send("wv-a", feed.Request{Needs: []admit.Demand{need}}).Grants, ShouldBeEmpty)
		So(send("cn-a", feed.Request{Usage: []backend.Usage{{Service: "app"}}}).Grants, ShouldBeEmpty)
		grants := send("cn-a", feed.Request{Needs: []admit.Demand{need}}).Grants
		So(grants, ShouldHaveLength, 1)
		So(grants[0].Pressure, ShouldBeTrue)
		sums := send("wv-a", feed.Request{Sums: []admit.Sum{{Demand: need}}}).Sums
		So(sums, ShouldHaveLength, 1)
		So(sums[0].Window, ShouldEqual, 80000)
		So(sums[0].Ranks, ShouldHaveLength, 1)
		So(sums[0].Ranks[0].Waiting, ShouldEqual, 160000)
	})
	inWorld(t, "Issuers of two failure domains hear of each other's streams", func(w *world) {
		w.urgent = true
		w.version++
		w.configure(w.version, "key-1")
		w.server("m0", "models", "cn-a", 20)
		a, b := w.vm("e1", "cn-a", 1), w.vm("e2", "wv-a", 2)
		time.Sleep(5 * time.Second)
		client := feed.NewClient(w.net.Dialer(callerHost))
		// The issuer in wv-a passes on that it has one entry VM with this demand of its own.
		q := feed.Request{From: feed.Member{ID: "x", Address: "10.1.0.9:82", Domain: "wv-a"}, Brief: true, Epoch: "e", Needs: []admit.Demand{
			{Service: "models", Window: 80000, Ranks: []admit.RankDemand{{Rank: 1, Waiting: 160000}}},
		}}
		_, err := client.Fetch(context.Background(), feed.Member{ID: "e2", Address: b.host + ":82"}, q)
		So(err, ShouldBeNil)
		time.Sleep(time.Second)
		q.From.Domain, q.From.ID = "cn-a", "y"
		q.Needs[0].Ranks[0].Waiting = 8000
		got, err := client.Fetch(context.Background(), feed.Member{ID: "e1", Address: a.host + ":82"}, q)
		So(err, ShouldBeNil)
		So(got.Grants[0].Pressure, ShouldBeTrue)
		So(got.Grants[0].Shares[0].Tokens, ShouldBeLessThan, 8000)
	})
}
