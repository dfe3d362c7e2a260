package gateway_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/platform"
	"quetzalhold/platform/platformtest"
)

// oddEntries returns entries that no server writes, made from a sound one.
func oddEntries(sound map[string]any) map[string]string {
	with := func(field string, value any) string {
		e := maps.Clone(sound)
		e[field] = value
		b := must(json.Marshal(e))
		return strings.ReplaceAll(string(b), `"HUGE"`, "1e999")
	}
	nested := func(depth int) string {
		return strings.Repeat(`{"a":[`, depth/2) + "1" + strings.Repeat(`]}`, depth/2)
	}
	return map[string]string{
		"nested 9,000 deep":         nested(9_000),
		"nested 20,000 deep":        nested(20_000),
		"a field nested":            strings.Replace(with("slots", "NESTED"), `"NESTED"`, nested(20_000), 1),
		"a number out of range":     with("slots", "HUGE"),
		"an integer out of range":   with("slots", 1e30),
		"a start out of range":      with("born", 1e30),
		"a start in the far future": with("born", 9e15),
		"a negative start":          with("born", -5),
		"heartbeats out of range":   with("sequence", 1e30),
		"a time out of range":       with("cold_left_ms", 1e300),
		"a negative time":           with("cold_left_ms", -1e300),
		"a port out of range":       with("address", "10.3.64.10:99999"),
		"a negative port":           with("address", "10.3.64.10:-1"),
		"no port":                   with("address", "10.3.64.10"),
		"null":                      "null",
		"a text":                    `"x"`,
		"a list":                    `[[],{}]`,
	}
}

// TestOddEntries guards against entry VMs that stop following the store because of one object that they can't
// decode.
func TestOddEntries(t *testing.T) {
	sound := (&platformtest.Server{ID: "a0", Address: "10.3.64.10:80", Service: "app", Domain: "cn-a", Version: "v1", Born: 1010}).Entry("ready")
	entries := oddEntries(sound)
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		inWorld(t, name+" beside the servers'", func(w *world) {
			w.checkBeside(platform.Servers, entries[name])
		})
		inWorld(t, name+" in the place of a server's", func(w *world) {
			w.startThree()
			w.store.PutRaw("servers", w.app.ID, []byte(entries[name]))
			time.Sleep(time.Second)
			w.app.Heartbeats++
			w.store.Put("servers", w.app.ID, w.app.Entry("ready"))
			w.checkFollowed()
			w.replaceServer()
			w.store.PutRaw("servers", w.app.ID, []byte(entries[name]))
			w.replaceServer()
		})
	}
	for _, kind := range []platform.Kind{platform.Configuration, platform.Moves, platform.EntryVMs, platform.Crashes} {
		for _, name := range []string{"nested 9,000 deep", "nested 20,000 deep", "a list", "null"} {
			inWorld(t, fmt.Sprintf("%s in %s", name, kind), func(w *world) { w.checkBeside(kind, entries[name]) })
		}
	}
}

// checkBeside checks that entry VMs follow the store while one odd object of a kind is there as they start,
// comes while they run, and is removed.
func (w *world) checkBeside(kind platform.Kind, entry string) {
	w.store.PutRaw(string(kind), "odd", []byte(entry))
	w.startThree()
	w.checkFollowed()
	w.replaceServer()
	w.store.Remove(string(kind), "odd")
	w.replaceServer()
	w.store.PutRaw(string(kind), "odd", []byte(entry))
	w.replaceServer()
}

// startThree starts three entry VMs in two failure domains.
func (w *world) startThree() {
	for i := range 3 {
		w.vm(fmt.Sprintf("vm-%d", i), domainOf(i), 10+i)
	}
	time.Sleep(settle)
}

// replaceServer replaces the server and the configuration, and checks that the entry VMs have followed.
func (w *world) replaceServer() {
	w.version++
	w.configure(w.version, fmt.Sprintf("key-%d", w.version))
	next := w.server(fmt.Sprintf("a%d", w.version), "app", "cn-a", 10+w.version)
	w.app.SetFault(platformtest.Fault{Refuse: true})
	w.store.Remove("servers", w.app.ID)
	w.app = next
	w.checkFollowed()
}

// checkFollowed checks that all entry VMs run and serve calls.
func (w *world) checkFollowed() {
	time.Sleep(configBound)
	w.app.Heartbeats++
	w.store.Put("servers", w.app.ID, w.app.Entry("ready"))
	time.Sleep(time.Second)
	for _, v := range w.vms {
		So(w.postBooking(v, fmt.Sprintf("key-%d", w.version)), ShouldEqual, 200)
		select {
		case <-v.done:
			So("entry VM "+v.id, ShouldEqual, "running")
		default:
		}
	}
}
