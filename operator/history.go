package operator

import (
	"fmt"
	"io"
	"slices"
	"time"

	"quetzalhold/engine"
)

// History is an entry VM's record of the steps of a request.
type History struct {
	Entry engine.ServerID `json:"entry"`
	Steps []engine.Step   `json:"steps"`
}

// WriteHistory writes the merged histories of a request from several entry VMs,
// one step per line, ordered by time.
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
	var start time.Time
	for _, l := range lines {
		if start.IsZero() {
			start = l.step.At
		}
		fmt.Fprintf(w, "  %8s  %-8s %-10s %-10s token %-5d %s\n",
			l.step.At.Sub(start).Round(time.Millisecond), l.entry, l.step.Event, l.step.Server, l.step.Offset, l.step.Reason)
	}
}
