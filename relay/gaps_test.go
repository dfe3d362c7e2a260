package relay

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/cost"
)

// TestGaps guards against engines that look slow, or fast, by jitter, pauses of the entry VM, bursts, or prompts that they
// prefill meanwhile.
func TestGaps(t *testing.T) {
	for _, x := range []struct {
		name        string
		gapsMs      []int
		rate, least float64 // 0 for no sample
	}{
		{"equal", []int{50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50}, 20, 20},
		{"with jitter", []int{50, 40, 60, 45, 55, 50, 50, 62, 38, 50, 41, 59}, 20, 20},
		{"with a pause of the entry VM", []int{50, 50, 140, 5, 5, 50, 50, 50, 50, 50, 50, 50}, 20, 20},
		{"stretched by a prompt for a while", []int{50, 50, 50, 50, 250, 250, 250, 250, 250, 250, 250, 250}, 20, 4},
		{"in bursts", []int{600, 0, 0, 0, 0, 0, 600, 0, 0, 0, 0, 0}, 0, 0},
	} {
		Convey("Gaps "+x.name, t, func() {
			m := &meter{costs: &cost.Book{}, sample: cost.Sample{Service: "models", Server: "e", Start: 5, Count: 1}}
			now, data := time.Unix(1_000_000, 0), []byte("data: x\n\n")
			m.event(now, &event{raw: data, id: parseEventID("1")}, 0)
			for i, gap := range x.gapsMs {
				now = now.Add(time.Duration(gap) * time.Millisecond)
				m.event(now, &event{raw: data, id: parseEventID(fmt.Sprint(i + 2))}, 0)
			}
			list := m.costs.Drain(now)
			if x.rate == 0 {
				So(list, ShouldBeEmpty)
				return
			}
			So(list, ShouldHaveLength, 1)
			So(float64(list[0].Rate), ShouldAlmostEqual, x.rate, 0.01)
			So(float64(list[0].Least), ShouldAlmostEqual, x.least, 0.01)
		})
	}
}
