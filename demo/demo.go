package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"quetzalhold/caller"
	"quetzalhold/clock"
	"quetzalhold/engine"
	"quetzalhold/operator"
	"quetzalhold/result"
	"quetzalhold/standin"
)

// The parameters of the demonstration.
const (
	demoTokens     engine.Tokens = 160
	demoTokenGap                 = 40 * time.Millisecond
	killEngineAt                 = 40  // tokens received
	killEntryAt                  = 100 // tokens received
	demoLimit                    = 60 * time.Second
	readyLimit                   = 10 * time.Second      // for the entry VMs to become ready
	readyPause                   = 20 * time.Millisecond // between checks of readiness
	demoSeed       uint64        = 7
	demoBookingKey               = "pickup-4711"
)

const demoPrompt = "Summarise the intake log of bin 4711 at the wine shop on Harbour Street: " +
	"corks by kind, contamination found, who emptied it and when the next pickup is due."

// Run runs the demonstration and describes it on w. It returns an error if the
// answer is wrong or the booking did not run exactly once.
func Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	s, err := startDemo(ctx, w)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := showAnswer(ctx, w, s); err != nil {
		return err
	}
	return showBooking(ctx, w, s)
}

// startDemo starts two entry VMs, three engines and a booking service.
func startDemo(ctx context.Context, w io.Writer) (*Site, error) {
	s, err := NewSite(Loopback())
	if err != nil {
		return nil, err
	}
	for i, p := range s.Places {
		cfg := standin.EngineConfig{ID: engine.ServerID(fmt.Sprintf("engine-%d", i+1)), TokenGap: demoTokenGap}
		e, err := s.AddEngine(p.Names.Code, cfg)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "engine   %s in %s (%s) at %s\n", cfg.ID, p.Names.Code, p.Names.Title, e.Address)
	}
	if _, err := s.AddService(s.Places[0].Names.Code, "pickup-1"); err != nil {
		return nil, err
	}
	for i := range 2 {
		id := engine.ServerID(fmt.Sprintf("entry-%d", i+1))
		e, err := s.AddEntry(s.Places[i].Names.Code, id, nil)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "entry VM %s in %s at %s\n", id, s.Places[i].Names.Code, e.Address)
	}
	return s, s.AwaitReady(ctx)
}

// AwaitReady waits until every entry VM accepts requests and has received a message
// from every engine.
func (s *Site) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, e := range s.Entries() {
		for !s.seesAllEngines(ctx, e) {
			if err := clock.Sleep(ctx, readyPause); err != nil {
				return fmt.Errorf("entry VM %s is not ready: %w", e.Host, err)
			}
		}
	}
	return nil
}

// seesAllEngines reports whether the entry VM is ready and has received a message
// from every engine.
func (s *Site) seesAllEngines(ctx context.Context, e *EntryProcess) bool {
	var st operator.Status
	if s.operatorGet(ctx, e, operator.PathStatus, &st) != nil || !st.Ready {
		return false
	}
	s.mu.Lock()
	want := len(s.engines)
	s.mu.Unlock()
	seen := 0
	for _, en := range st.Engines {
		if !en.LastSeen.IsZero() {
			seen++
		}
	}
	return seen == want
}

// Entries returns the entry VMs of the site.
func (s *Site) Entries() []*EntryProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.entries)
}

// operatorGet reads a path of an entry VM's operator API and decodes the response
// into a value.
func (s *Site) operatorGet(ctx context.Context, e *EntryProcess, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+path, nil)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	t := &http.Transport{DialContext: engine.TimeoutDialer(s.Network.Dialer("operator")), DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: t}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return result.Read(resp, result.Internal)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}

// Explain returns the histories of a request at all entry VMs that have one.
func (s *Site) Explain(id engine.RequestID) []operator.History {
	var all []operator.History
	for _, e := range s.Entries() {
		// The history of a killed entry VM can still be read: its daemon runs in
		// this process, only its connections are closed.
		if h := e.History(id); len(h.Steps) > 0 {
			all = append(all, h)
		}
	}
	return all
}

// showAnswer streams an answer, kills its engine and its entry VM on the way and
// checks that the answer is still complete and correct.
func showAnswer(ctx context.Context, w io.Writer, s *Site) error {
	entries := s.Entries()
	got := 0
	var lossAt time.Time
	onPiece := func(text string) {
		if !lossAt.IsZero() {
			fmt.Fprintf(w, "\n-- output goes on after %s\n", time.Since(lossAt).Round(time.Millisecond))
			lossAt = time.Time{}
		}
		fmt.Fprint(w, text)
		got++
		switch got {
		case killEngineAt:
			fmt.Fprintf(w, "\n-- killing %s\n", killRunningEngine(s))
			lossAt = time.Now()
		case killEntryAt:
			fmt.Fprintf(w, "\n-- killing %s\n", entries[0].Host)
			entries[0].Kill()
			lossAt = time.Now()
		}
	}
	c := caller.NewClient([]string{entries[0].Address, entries[1].Address}, CallerKey, caller.OnPiece(onPiece))
	seed := demoSeed
	fmt.Fprintln(w, "\nanswer:")
	a, err := c.Stream(ctx, caller.StyleCompletion, caller.CompletionRequest{
		Model: DemoModel, Prompt: demoPrompt, MaxTokens: demoTokens, Seed: &seed,
	})
	if err != nil {
		return fmt.Errorf("answer broke off after %d tokens: %w", len(a.Tokens), err)
	}
	want := standin.ExpectedAnswer(engine.Start{Version: DemoVersion, Prompt: demoPrompt, Seed: demoSeed, MaxTokens: demoTokens}, 0)
	if !slices.Equal(a.Tokens, want.Tokens) {
		return result.New(result.InvariantBroken, "the answer is not the one that an engine without failures gives")
	}
	fmt.Fprintf(w, "\n\nThe answer is whole: %d tokens, each once, as an engine without failures gives it.\n", len(a.Tokens))
	fmt.Fprintf(w, "\nexplain %s:\n", a.Request)
	operator.WriteHistory(w, s.Explain(a.Request))
	return nil
}

// killRunningEngine kills an engine that is generating and returns its id.
func killRunningEngine(s *Site) engine.ServerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.engines {
		if e.Counts().Running > 0 {
			e.Kill()
			return id
		}
	}
	return "nothing"
}

// showBooking makes a booking whose response from the service is lost, shows the
// caller's result and checks that the booking ran once.
func showBooking(ctx context.Context, w io.Writer, s *Site) error {
	s.mu.Lock()
	sv := s.services[0]
	s.mu.Unlock()
	sv.SetFault(standin.ServiceFault{LoseAnswer: 1})
	fmt.Fprintf(w, "\nbooking %s, whose answer is lost on the way:\n", demoBookingKey)
	code, err := s.book(ctx, demoBookingKey)
	if err != nil {
		return err
	}
	runs := s.Ledger.Runs()[demoBookingKey]
	fmt.Fprintf(w, "the caller is told %d %s; the service ran it %d time(s)\n", int(code), code, runs)
	if runs != 1 || code != result.OutcomeUnknown {
		return result.New(result.InvariantBroken, "booking ran %d times", runs)
	}
	return nil
}

// book sends a booking to the last entry VM and returns the code of its result.
func (s *Site) book(ctx context.Context, key string) (result.Code, error) {
	entries := s.Entries()
	url := "http://" + entries[len(entries)-1].Address + "/v1/services/" + string(DemoService) + "/bookings"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("{}")))
	if err != nil {
		return result.Internal, fmt.Errorf("build booking: %w", err)
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	req.Header.Set(caller.HeaderIdempotency, key)
	t := &http.Transport{DialContext: engine.TimeoutDialer(s.Network.Dialer("caller")), DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: t}).Do(req)
	if err != nil {
		return result.Internal, fmt.Errorf("book: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return result.OK, nil
	}
	return result.Read(resp, result.Internal).Code, nil
}
