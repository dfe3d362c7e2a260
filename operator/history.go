package operator

import (
	"fmt"
	"io"
	"slices"
	"time"

	"quetzalhold/engine"
)

// History is what an entry VM knows of a request.
type History struct {
	Entry engine.ServerID `json:"entry"`
	Steps []engine.Step   `json:"steps"`
}

// WriteHistory writes what entry VMs know of a request, one step a line in the
// order of time.
func WriteHistory(w io.Writer, all []History) {
	type line struct {
		entry engine.ServerID
		step  engine.Step
	}
	var lines []line
	for _, h := range all {
		for _, st := range h.Steps {
			lines = append(lines, line{h.Entry, st})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.step.At.Compare(b.step.At) })
	var begin time.Time
	for _, l := range lines {
		if begin.IsZero() {
			begin = l.step.At
		}
		fmt.Fprintf(w, "  %8s  %-8s %-10s %-10s token %-5d %s\n",
			l.step.At.Sub(begin).Round(time.Millisecond), l.entry, l.step.Event, l.step.Server, l.step.Offset, l.step.Reason)
	}
}
