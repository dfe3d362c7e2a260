package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/cost"
	"quetzalhold/engine"
	"quetzalhold/feed"
	"quetzalhold/names"
)

// sendSamples reports samples to an entry VM as another one of a failure domain does, and returns its answer.
func sendSamples(w *world, to *vm, domain names.ID, list []cost.Sample) []cost.ServiceSpeeds {
	client := feed.NewClient(w.net.Dialer(callerHost))
	defer client.CloseIdle()
	a, err := client.Fetch(context.Background(), feed.Member{ID: feed.MemberID(to.id), Address: to.host + ":82"}, feed.Request{
		From: feed.Member{ID: "x", Address: "10.1.0.9:82", Domain: domain}, Brief: true, Samples: list,
		Usage: []backend.Usage{{Service: "app", Requests: 5}},
	})
	So(err, ShouldBeNil)
	time.Sleep(500 * time.Millisecond)
	return a.Speeds
}

// gapSamples are those of ten servers of the usual speed and a slow one.
func gapSamples() (even, slow []cost.Sample) {
	sample := func(id engine.ServerID, rate cost.Rate) cost.Sample {
		return cost.Sample{Service: "models", Server: id, Start: 7, Kind: cost.Gap, Rate: rate, Least: rate, Count: 3}
	}
	return slices.Repeat([]cost.Sample{sample("s1", 33)}, 10), []cost.Sample{sample("s2", 15)}
}

// TestSpeedsShared guards against speeds that do not reach the other entry VMs of the failure domain, against tables for
// entry VMs that do not report here, and against messages while no server differs.
func TestSpeedsShared(t *testing.T) {
	inWorld(t, "The issuer merges the samples that are reported to it and answers with the servers that differ", func(w *world) {
		issuer := w.vm("e1", "cn-a", 1)
		time.Sleep(5 * time.Second)
		send := func(domain names.ID, list []cost.Sample) []cost.ServiceSpeeds {
			return sendSamples(w, issuer, domain, list)
		}
		even, slow := gapSamples()
		So(send("cn-a", even), ShouldBeEmpty)
		So(send("wv-a", slow), ShouldBeEmpty)
		speeds := send("cn-a", nil)
		So(speeds, ShouldHaveLength, 1)
		So(speeds[0].Servers, ShouldHaveLength, 1)
		So(speeds[0].Servers[0].ID, ShouldEqual, engine.ServerID("s2"))
		So(speeds[0].Servers[0].Speed, ShouldBeLessThan, 0.6)
		So(send("wv-a", nil), ShouldBeEmpty)
		So(issuer.log.String(), ShouldContainSubstring, `"event":"speed of a server"`)
	})
	inWorld(t, "An entry VM follows the issuer's table, and forgets it when the issuer is lost", func(w *world) {
		all := []*vm{w.vm("e1", "cn-a", 1), w.vm("e2", "cn-a", 2)}
		time.Sleep(5 * time.Second)
		issuer, other := all[0], all[1]
		if strings.Contains(issuer.log.String(), "retry budgets reported to another entry VM") {
			issuer, other = other, issuer
		}
		known := func(n int) bool {
			resp, err := w.transport().RoundTrip(must(http.NewRequest(http.MethodGet, "http://"+other.host+":83/metrics", http.NoBody)))
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			return regexp.MustCompile(fmt.Sprintf(`(?m)^quetzalhold_gateway_servers_slow\{.*\} %d$`, n)).Match(body)
		}
		So(known(0), ShouldBeTrue)
		even, slow := gapSamples()
		sendSamples(w, issuer, "cn-a", append(even, slow...))
		time.Sleep(time.Second)
		So(known(1), ShouldBeTrue)
		issuer.stop()
		<-issuer.done
		time.Sleep(5 * time.Second)
		So(known(0), ShouldBeTrue)
	})
}
