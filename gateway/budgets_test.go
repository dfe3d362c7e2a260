package gateway_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/feed"
	"quetzalhold/names"
	"quetzalhold/platform/platformtest"
)

// TestLimitsGranted checks who is granted limits of the retry budgets.
func TestLimitsGranted(t *testing.T) {
	inWorld(t, "Limits are granted to entry VMs of the failure domain that know this start of the issuer", func(w *world) {
		issuer := w.vm("e1", "cn-a", 1)
		time.Sleep(5 * time.Second)
		client := feed.NewClient(w.net.Dialer(callerHost))
		report := func(domain names.ID, epoch feed.Epoch) feed.Response {
			a, err := client.Fetch(context.Background(), feed.Member{ID: "e1", Address: issuer.host + ":82"}, feed.Request{
				From: feed.Member{ID: "x", Address: "10.1.0.9:82", Domain: domain}, Epoch: epoch, Brief: true,
				Usage: []backend.Usage{{Service: "app", Requests: 5, Retries: 2, Earned: 10, Limit: 10}},
			})
			So(err, ShouldBeNil)
			return a
		}
		first := report("cn-a", "")
		So(first.Limits, ShouldBeEmpty)
		So(report("cn-a", "another"+first.Epoch).Limits, ShouldBeEmpty)
		So(report("wv-a", first.Epoch).Limits, ShouldBeEmpty)
		So(report("cn-a", first.Epoch).Limits, ShouldResemble, []backend.Limit{{Service: "app", Retries: 10}})
	})
	inWorld(t, "Entry VMs report to the next one when the best-ranked one fails, also while the store is silent", func(w *world) {
		all := []*vm{w.vm("e1", "cn-a", 1), w.vm("e2", "cn-a", 2), w.vm("e3", "cn-a", 3)}
		time.Sleep(5 * time.Second)
		reports := func(v *vm) int { return strings.Count(v.log.String(), "retry budgets reported to another entry VM") }
		var issuers []*vm
		for _, v := range all {
			if reports(v) == 0 {
				issuers = append(issuers, v)
			}
		}
		So(issuers, ShouldHaveLength, 1)
		before := 0
		for _, v := range all {
			before += reports(v)
		}
		w.store.SetFault(platformtest.StoreFault{Silent: true})
		issuers[0].stop()
		<-issuers[0].done
		time.Sleep(5 * time.Second)
		after := 0
		for _, v := range all {
			after += reports(v)
		}
		So(after, ShouldEqual, before+1)
	})
}
