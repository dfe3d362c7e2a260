package gateway_test

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/names"
)

// TestSpeedsShared guards against speeds that do not reach the other entry VMs of the failure domain, against tables for
// entry VMs that do not report here, and against messages while no server differs.
func TestSpeedsShared(t *testing.T) {
	inWorld(t, "The issuer merges the samples that are reported to it and answers with the servers that differ", func(w *world) {
		issuer := w.vm("e1", "cn-a", 1)
		time.Sleep(5 * time.Second)
		client := feed.NewClient(w.net.Dialer(callerHost))
		defer client.CloseIdle()
		send := func(domain names.ID, list []cost.Sample) []cost.ServiceSpeeds {
			a, err := client.Fetch(context.Background(), feed.Member{ID: "e1", Address: issuer.host + ":82"}, feed.Request{
				From: feed.Member{ID: "x", Address: "10.1.0.9:82", Domain: domain}, Brief: true, Samples: list,
				Usage: []backend.Usage{{Service: "app", Requests: 5}},
			})
			So(err, ShouldBeNil)
			time.Sleep(500 * time.Millisecond)
			return a.Speeds
		}
		sample := func(id engine.ServerID, rate cost.Rate) cost.Sample {
			return cost.Sample{Service: "models", Server: id, Start: 7, Kind: cost.Gap, Rate: rate, Least: rate, Count: 3}
		}
		even := slices.Repeat([]cost.Sample{sample("s1", 33)}, 10)
		So(send("cn-a", even), ShouldBeEmpty)
		So(send("wv-a", []cost.Sample{sample("s2", 15)}), ShouldBeEmpty)
		speeds := send("cn-a", nil)
		So(speeds, ShouldHaveLength, 1)
		So(speeds[0].Servers, ShouldHaveLength, 1)
		So(speeds[0].Servers[0].ID, ShouldEqual, engine.ServerID("s2"))
		So(speeds[0].Servers[0].Speed, ShouldBeLessThan, 0.6)
		So(send("wv-a", nil), ShouldBeEmpty)
		So(issuer.log.String(), ShouldContainSubstring, `"event":"speed of a server"`)
	})
}
