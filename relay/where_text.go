package relay

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the answer as text.
func (a *WhereAnswer) WriteText(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	version := ""
	if a.Configuration > 0 {
		version = fmt.Sprintf(", configuration %d", a.Configuration)
	}
	fmt.Fprintf(w, "entry VM\t%s (%s) at %s%s\n", a.Entry, a.Domain, a.At.UTC().Format(time.RFC3339Nano), version)
	if a.Route != "" {
		fmt.Fprintf(w, "route\t%s (%s)\n", a.Route, a.Kind)
	}
	if a.Service != "" {
		fmt.Fprintf(w, "service\t%s\n", a.Service)
		fmt.Fprintf(w, "organisation\t%s, priority %d\n", cmp.Or(a.Organisation, "none"), a.Priority)
	}
	if q := a.Queue; q != nil && q.Waits {
		fmt.Fprintf(w, "queue\twaits at position %d of its organisation, expected for %v\n", q.Position, time.Duration(q.ExpectedWaitMs)*time.Millisecond)
	} else if q != nil {
		fmt.Fprint(w, "queue\tadmitted at once\n")
	}
	if a.Admission != nil {
		fmt.Fprintf(w, "admission\t%s\n", a.Admission.text())
	}
	switch {
	case a.Refusal != nil:
		fmt.Fprintf(w, "refused\t%s%s\n", a.Refusal.Error(), a.until("; retry after", a.Refusal.RetryAt))
	case a.Helper:
		fmt.Fprintf(w, "handed to\tentry VM %s: %s\n", a.Chosen, a.Why)
	case a.Admission != nil && a.Admission.Waits:
		fmt.Fprintf(w, "then sent to\t%s, as of now: %s\n", a.Chosen, a.Why)
	case a.Chosen == "":
	default:
		fmt.Fprintf(w, "sent to\t%s: %s\n", a.Chosen, a.Why)
	}
	if a.Replica != "" {
		fmt.Fprintf(w, "replica at\t%s\n", a.Replica)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return a.writeServers(to)
}

// until returns the time until an instant after some words; nothing if there is no instant.
func (a *WhereAnswer) until(words string, at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return fmt.Sprintf("%s %v", words, at.Sub(a.At).Round(time.Millisecond))
}

// text returns the decision as text.
func (x *WhereAdmission) text() string {
	s := fmt.Sprintf("rank %d, ", x.Rank)
	switch {
	case x.Waits:
		s += fmt.Sprintf("waits at position %d, expected for %v", x.Position, time.Duration(x.ExpectedWaitMs)*time.Millisecond)
	case x.Why == "":
		s += "does not start"
	default:
		s += "starts at once"
	}
	if x.Why != "" {
		s += ": " + x.Why
	}
	return s + fmt.Sprintf("; tokens pending %d, share %d, window %d", x.Pending, x.Share, x.Window)
}

// writeServers writes the tables of servers.
func (a *WhereAnswer) writeServers(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	if len(a.Candidates) > 0 {
		fmt.Fprintln(w, "\nCANDIDATE\tDOMAIN\tVERSION\tOWN\tPENDING\tSPEED\tEXPECTED\tREPORT")
	}
	for i := range a.Candidates {
		c := &a.Candidates[i]
		expected := "-"
		if c.ExpectedMs != nil {
			expected = (time.Duration(*c.ExpectedMs) * time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f\t%s\t%s\n", c.Server, c.Domain, c.Version, c.Requests, c.Pending, c.Speed, expected, c.remarks())
	}
	if len(a.LeftOut) > 0 {
		fmt.Fprintln(w, "\nLEFT OUT\tDOMAIN\tVERSION\tWHY")
	}
	for i := range a.LeftOut {
		x := &a.LeftOut[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s%s\n", x.Server, x.Domain, x.Version, x.Why, a.until(", for", x.Until))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// remarks returns the report and what else is known of the server.
func (c *WhereCandidate) remarks() string {
	var list []string
	switch {
	case c.Report != nil:
		list = append(list, fmt.Sprintf("waiting %d, prefilling %d, generating %d, KV cache %d of %d",
			c.Report.Waiting, c.Report.Prefilling, c.Report.Generating, c.Report.Used, c.Report.Total))
	case c.Polled:
		list = append(list, "no report")
	}
	for _, x := range []struct {
		set  bool
		text string
	}{{c.NoRoom, "no room"}, {c.Suspect, "suspect"}, {c.Limited, "needs a permit"}} {
		if x.set {
			list = append(list, x.text)
		}
	}
	return cmp.Or(strings.Join(list, "; "), "-")
}
