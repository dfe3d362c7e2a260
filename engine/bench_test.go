package engine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose chooses among 36 engines (the fleet of today's users), 323 (one
// failure domain at the target size) and 4200 (the whole fleet).
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{36, 323, 4200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var p Pool
			now := time.Now()
			v := LoadedModel{Version: "m@1"}
			var list []Server
			for i := range n {
				list = append(list, Server{ID: ServerID(fmt.Sprintf("engine-%d", i)), Domain: "d", Incarnation: 1})
			}
			p.SetServers(list)
			for _, s := range list {
				p.ApplyReport(LoadReport{Server: s.ID, Incarnation: 1, Versions: []LoadedModel{v}}, now)
			}
			blocks := BlockHashes("a prompt of a few words")
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := (Chooser{}).Choose(Requirements{Now: now, Domain: "d", Prefill: 400}, p.Candidates(v, blocks)); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}

// BenchmarkDecide decides about a stream that delivers tokens in time.
func BenchmarkDecide(b *testing.B) {
	p := Policy{}.WithDefaults()
	now := time.Now()
	c := ConnectionView{StartedAt: now, OpenedAt: now, LastReceived: now, ServerLastSeen: now}
	v := View{Now: now, ProgressAt: now, Started: true, Newest: &c}
	for b.Loop() {
		if p.Decide(v).Action != Wait {
			b.Fatal("not waiting")
		}
	}
}
