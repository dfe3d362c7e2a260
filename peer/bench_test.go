package peer

import (
	"fmt"
	"testing"

	"quetzalhold/engine"
)

// BenchmarkMerge merges the updates of a heartbeat at several sizes of a failure
// domain.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{7, 28, 112} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := NewMembership(member("self", 1, Alive))
			var all []Member
			for i := range n {
				all = append(all, member(Address(fmt.Sprint("10.0.0.", i)), 1, Alive))
			}
			m.Seed(begin, all)
			inc := engine.Incarnation(1)
			for b.Loop() {
				inc++
				m.Merge(begin, []Member{member("10.0.0.1", inc, Alive)})
				m.Updates()
			}
		})
	}
}
