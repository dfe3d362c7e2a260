package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/golden"
	"quetzalhold/platform/platformtest"
	"quetzalhold/relay"
	"quetzalhold/routing"
)

// helpers are stand-ins for the other entry VMs of one that is cut off from all servers.
type helpers struct {
	*harness
	// answer answers a request that was handed to the nth helper.
	answer func(n int, w http.ResponseWriter)
	stop   context.CancelFunc

	mu         sync.Mutex
	admissions []string
	recalled   string // what helpers state of a request that is recalled; empty if they are of an earlier version
}

func (h *helpers) recall(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := slices.ContainsFunc(h.admissions, func(text string) bool {
		var a relay.Admission
		return json.Unmarshal([]byte(text), &a) == nil && string(a.Handover) == r.Header.Get(relay.RecallHeader)
	})
	if !known || h.recalled == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Quetzalhold-Attempts", h.recalled)
	w.WriteHeader(http.StatusNoContent)
}

// newHelpers cuts the harness off from its servers and lets others help it.
func newHelpers(w *harness, answer func(n int, w http.ResponseWriter)) *helpers {
	h := &helpers{harness: w, answer: answer}
	for i := range 3 {
		w.blackhole(w.add(fmt.Sprintf("a%d", i), "app", i, time.Millisecond))
	}
	for n := range 4 {
		s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(relay.RecallHeader) != "" {
				h.recall(rw, r)
				return
			}
			h.mu.Lock()
			h.admissions = append(h.admissions, r.Header.Get(relay.AdmissionHeader))
			h.mu.Unlock()
			rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			h.answer(n, rw)
		})}
		w.running[helperAddress(n)] = s
		w.serve(helperAddress(n), s)
	}
	w.relay.ID = "vm-0"
	w.relay.Helper = func(tried []engine.ServerID) (backend.Choice, bool) {
		for n := range 4 {
			if id := engine.ServerID(fmt.Sprintf("vm-%d", n+1)); !slices.Contains(tried, id) {
				return backend.Choice{Server: backend.Server{ID: id, Address: helperAddress(n), Domain: "cn-a"}}, true
			}
		}
		return backend.Choice{}, false
	}
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	go w.relay.WatchReach(ctx)
	w.request(ctx, http.MethodPost, "/status/0", "body") // it finds out that it is cut off
	time.Sleep(time.Second)
	So(w.relay.CutOff(), ShouldBeTrue)
	h.admissions = nil
	return h
}

func helperAddress(n int) string { return fmt.Sprintf("10.1.0.%d:80", n+2) }

// fail answers as a server does that failed.
func fail(w http.ResponseWriter) {
	w.Header().Set("X-Server-Stamp", "stamp.a0")
	w.Header().Set("Quetzalhold-Server", "a0 1002")
	w.WriteHeader(http.StatusInternalServerError)
}

// lentAttempts returns how many attempts the admissions permit together.
func (h *helpers) lentAttempts() int {
	n := 0
	for _, text := range h.admissions {
		var a relay.Admission
		So(json.Unmarshal([]byte(text), &a), ShouldBeNil)
		n += a.Route.MaxAttempts
	}
	return n
}

// TestEarlierEntryVMs checks that requests keep to the attempts that their route permits while entry VMs of an
// earlier version take part, and that these can read what they are sent.
func TestEarlierEntryVMs(t *testing.T) {
	withHarness(t, "a helper of an earlier version does not state what it has spent", func(w *harness) {
		h := newHelpers(w, func(_ int, w http.ResponseWriter) { fail(w) })
		defer h.stop()
		a := h.request(context.Background(), http.MethodPost, "/status/1", "body")
		So(a.status, ShouldEqual, http.StatusInternalServerError)
		So(h.lentAttempts(), ShouldEqual, 2)
		So(a.header, ShouldNotContainKey, "Quetzalhold-Attempts")
	})
	withHarness(t, "a request of an entry VM of an earlier version runs on one server", func(w *harness) {
		for i := range 3 {
			w.add(fmt.Sprintf("a%d", i), "app", i, time.Millisecond).SetFault(platformtest.Fault{Status: http.StatusInternalServerError})
		}
		w.frontend.Handler = http.HandlerFunc(w.relay.ServeAdmitted)
		sent, err := os.ReadFile("testdata/admission-earlier.golden")
		So(err, ShouldBeNil)
		var admission bytes.Buffer
		So(json.Compact(&admission, sent), ShouldBeNil)
		a := w.request(context.Background(), http.MethodPost, "/status/1", "body", relay.AdmissionHeader, admission.String())
		So(a.status, ShouldEqual, http.StatusInternalServerError)
		So(w.book.Runs("r1"), ShouldHaveLength, 1)
		So(a.header, ShouldNotContainKey, "Quetzalhold-Attempts")
	})
	withHarness(t, "what is sent has all that an earlier version reads", func(w *harness) {
		h := newHelpers(w, func(_ int, w http.ResponseWriter) { fail(w) })
		defer h.stop()
		h.request(context.Background(), http.MethodPost, "/status/1", "body")
		var now bytes.Buffer
		named := regexp.MustCompile(`"handover":"[0-9a-f-]{36}"`).ReplaceAllString(h.admissions[0], `"handover":"h"`)
		So(json.Indent(&now, []byte(named), "", "\t"), ShouldBeNil)
		So(golden.Diff("testdata/admission.golden", now.Bytes()), ShouldBeEmpty)
		earlier, err := os.ReadFile("testdata/admission-earlier.golden")
		So(err, ShouldBeNil)
		var old, read relay.Admission
		So(json.Unmarshal(earlier, &old), ShouldBeNil)
		So(json.Unmarshal(now.Bytes(), &read), ShouldBeNil)
		// Half of the attempts are lent, and one server was tried.
		old.Route.MaxAttempts, old.Attempts, old.Tried, old.Handover = read.Route.MaxAttempts, read.Attempts, read.Tried, read.Handover
		So(read, ShouldResemble, old)
	})
}

// TestAttemptsLent checks that attempts which another entry VM has not used can be used again, and that all
// others count as used, whatever becomes of the answer.
func TestAttemptsLent(t *testing.T) {
	spent := func(text string) func(int, http.ResponseWriter) {
		return func(_ int, w http.ResponseWriter) {
			w.Header().Set("Quetzalhold-Attempts", text)
			fail(w)
		}
	}
	for _, c := range []struct {
		name   string
		answer func(n int, w http.ResponseWriter)
		lent   int // of five attempts: at most 3, then half of what is left
		handed int
	}{
		{"all are spent", spent(`{"attempts":3}`), 5, 3},
		{"one is spent at a time", spent(`{"attempts":1,"servers":["a0"]}`), 3 + 2 + 2 + 1, 4},
		{"the answer states nothing", spent(""), 5, 3},
		{"the answer states more than was lent", spent(`{"attempts":9}`), 5, 3},
		{"the answer states none", spent(`{"attempts":0}`), 5, 3},
		{"the answer can't be read", spent(`{"attempts":`), 5, 3},
		{"the answer is lost", func(int, http.ResponseWriter) { panic(http.ErrAbortHandler) }, 5, 3},
		{"nothing has run", func(_ int, w http.ResponseWriter) {
			w.Header().Set("Quetzalhold-Error", "2000 true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 4 * 3, 4},
	} {
		withHarness(t, c.name, func(w *harness) {
			config := testConfig()
			for i := range config.Routes {
				config.Routes[i].MaxAttempts = 5
			}
			w.setTable(routing.NewTable(config))
			h := newHelpers(w, c.answer)
			defer h.stop()
			h.request(context.Background(), http.MethodPost, "/status/1", "body")
			So(h.admissions, ShouldHaveLength, c.handed)
			So(h.lentAttempts(), ShouldEqual, c.lent)
		})
	}
}
