package relay_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/relay"
	"quetzalhold/routing"
)

// TestAttemptsOfLostHelpers guards against attempts that stay lent to another entry VM whose answer was lost, though
// it can state what it has spent, and against more than were permitted.
func TestAttemptsOfLostHelpers(t *testing.T) {
	for _, c := range []struct {
		name     string
		recalled string
		lent     int // of five attempts: 3, 1 and 1 before any is known to be left
		handed   int
	}{
		{"they have spent none", `{"attempts":0}`, 5 + 3, 4},
		{"they have spent one each", `{"attempts":1,"servers":["a0"]}`, 5 + 1, 4},
		{"they have spent all", `{"attempts":3}`, 5, 3},
		{"they are of an earlier version", "", 5, 3},
		{"what they state can't be read", `{"attempts":`, 5, 3},
		{"they state less than none", `{"attempts":-1}`, 5, 3},
	} {
		withHarness(t, c.name, func(w *harness) {
			config := testConfig()
			for i := range config.Routes {
				config.Routes[i].MaxAttempts = 5
			}
			w.setTable(routing.NewTable(config))
			h := newHelpers(w, func(int, http.ResponseWriter) { panic(http.ErrAbortHandler) })
			defer h.stop()
			h.recalled = c.recalled
			h.request(context.Background(), http.MethodPost, "/status/1", "body")
			So(h.admissions, ShouldHaveLength, c.handed)
			So(h.lentAttempts(), ShouldEqual, c.lent)
			h.request(context.Background(), http.MethodPost, "/book/1", "body")
			So(h.admissions, ShouldHaveLength, c.handed+1) // it may have run
		})
	}
}

// TestRecall checks that an entry VM sends a request no more that was taken back from it, and states what it has
// spent.
func TestRecall(t *testing.T) {
	recall := func(w *harness, id string) (status int, spent relay.Spent) {
		a := w.request(context.Background(), http.MethodPost, "/", "", relay.RecallHeader, id)
		if a.status == http.StatusNoContent {
			So(json.Unmarshal([]byte(a.header.Get("Quetzalhold-Attempts")), &spent), ShouldBeNil)
		}
		return a.status, spent
	}
	for _, x := range []struct {
		name, path string
		route      int
	}{{"a call", "/status/1", 3}, {"a stream", "/brief/1", 0}} {
		withHarness(t, x.name, func(w *harness) {
			w.addEngines()
			for i := range 3 {
				w.add(string(rune('a'+i)), "app", i, 900*time.Millisecond)
			}
			w.frontend.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(relay.RecallHeader) != "" {
					w.relay.ServeRecall(rw, r)
					return
				}
				w.relay.ServeAdmitted(rw, r)
			})
			c := testConfig()
			route := &c.Routes[x.route]
			a := relay.Admission{From: "vm-0", Route: *route, Attempts: 3, Service: route.Splits[0].Service, Handover: "h1"}
			if a.Service == "models" {
				a.Model = c.Services[0].Model
			}
			admission, err := json.Marshal(&a)
			So(err, ShouldBeNil)
			done := make(chan answer)
			go func() { done <- w.stream(context.Background(), x.path, relay.AdmissionHeader, string(admission)) }()
			time.Sleep(150 * time.Millisecond)
			status, _ := recall(w, "h2")
			So(status, ShouldEqual, http.StatusNotFound)
			status, spent := recall(w, "h1")
			So(status, ShouldEqual, http.StatusNoContent)
			So(spent.Attempts, ShouldBeBetweenOrEqual, 1, 2) // a call may be hedged by then
			So((<-done).err, ShouldNotBeNil)
			time.Sleep(5 * time.Second)
			So(len(w.book.Runs("r1")), ShouldBeLessThanOrEqualTo, spent.Attempts)
			status, again := recall(w, "h1")
			So(status, ShouldEqual, http.StatusNoContent)
			So(again, ShouldResemble, spent)
			time.Sleep(10 * time.Second)
			w.stream(context.Background(), x.path, "X-Request-Id", "r2", relay.AdmissionHeader, string(admission[:len(admission)-len(`"h1"}`)])+`"h3"}`)
			status, _ = recall(w, "h1")
			So(status, ShouldEqual, http.StatusNotFound)
		})
	}
}
