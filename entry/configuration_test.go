package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/demo"
	"quetzalhold/engine"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/result"
	"quetzalhold/standin"
)

// configWorld returns a site with four entry VMs in two failure domains.
func configWorld() (*world, error) {
	w, err := newBuiltWorld(1, 0, standin.EngineConfig{})
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		id := engine.ServerID(fmt.Sprintf("entry-%d", i+1))
		if _, err := w.AddEntry(w.Places[i%2].Names.Code, id, nil); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second)
	return w, nil
}

// versionAt returns an object's version at an entry VM, as its operators see it.
func (w *world) versionAt(i int, k objects.Kind, n objects.Name) objects.Version {
	o, _ := w.Entries()[i].Object(k, n)
	return o.Version
}

// write writes an object through an entry VM as an operator.
func (w *world) write(i int, k objects.Kind, n objects.Name, expect objects.Version, value any) (objects.Object, *result.Error) {
	raw, err := json.Marshal(value)
	So(err, ShouldBeNil)
	path := fmt.Sprintf("/operator/objects/%s/%s", k, n)
	r := plain{w: w, entry: i, key: demo.OperatorKey}.do(http.MethodPut, path, operator.Change{Expect: expect, Value: raw}, nil, nil)
	var o objects.Object
	if r.status == http.StatusOK {
		So(json.Unmarshal([]byte(r.body), &o), ShouldBeNil)
		return o, nil
	}
	return o, r.err
}

// configFaults are the rows of the matrix of configuration. unreachable is the
// entry VM that cannot be reached by others, if there is one.
var configFaults = []struct {
	name        string
	strike      func(w *world)
	unreachable int
	accepted    []bool // whether the write may be accepted
}{
	{"no fault", func(*world) {}, -1, []bool{true}},
	{"platform down before", func(w *world) { w.Platform.SetFault(standin.PlatformFault{Down: true}) }, -1, []bool{false}},
	{"platform's answer lost after the effect", func(w *world) {
		w.Platform.SetFault(standin.PlatformFault{LoseAnswers: 1})
	}, -1, []bool{true}},
	{"platform slow", func(w *world) { w.Platform.SetFault(standin.PlatformFault{Delay: 300 * time.Millisecond}) }, -1, []bool{true}},
	{"entry VMs cut off from the platform", func(w *world) {
		for i := 2; i <= 4; i++ {
			w.net.Partition(w.host(fmt.Sprintf("entry-%d", i)), w.host("platform"))
		}
	}, -1, []bool{true}},
	{"an entry VM cut off from all others", func(w *world) {
		for i := 1; i <= 3; i++ {
			w.net.Partition(w.host("entry-4"), w.host(fmt.Sprintf("entry-%d", i)))
		}
		w.net.Partition(w.host("entry-4"), w.host("platform"))
	}, 3, []bool{true}},
	{"domains cut off from each other", func(w *world) {
		for _, a := range []string{"entry-1", "entry-3"} {
			for _, b := range []string{"entry-2", "entry-4"} {
				w.net.Partition(w.host(a), w.host(b))
			}
		}
	}, -1, []bool{true}},
	{"watches silent", func(w *world) {
		for i := 1; i <= 4; i++ {
			w.net.Blackhole(w.host(fmt.Sprintf("entry-%d", i)), w.host("platform"))
		}
	}, -1, []bool{true, false}},
	{"another entry VM dies", func(w *world) { w.killEntry(1) }, 1, []bool{true}},
	{"another entry VM vanishes", func(w *world) { w.net.Disconnect(w.host("entry-2")) }, 1, []bool{true}},
}

// configWrites are the columns: a configuration write and a change of preset.
var configWrites = []struct {
	name  string
	kind  objects.Kind
	obj   objects.Name
	value any
}{
	{"configuration write", operator.KindDeployment, "brief", operator.Deployment{Name: "brief", Version: "brief-7b@2"}},
	{"preset change", operator.KindInForce, operator.InForceName, operator.InForce{Preset: "peak"}},
}

func TestConfigurationMatrix(t *testing.T) {
	for _, f := range configFaults {
		for _, c := range configWrites {
			inBubble(t, f.name+"/"+c.name, func() {
				w, err := configWorld()
				So(err, ShouldBeNil)
				defer w.end()
				peak := operator.Preset{Name: "peak", MaxAnswers: 9, MaxTokens: 9, NewAnswers: true}
				_, werr := w.write(0, operator.KindPreset, "peak", 0, peak)
				So(werr, ShouldBeNil)
				time.Sleep(configurationLimit)
				expect := w.versionAt(0, c.kind, c.obj)
				fell := w.watchVersions(c.kind, c.obj)
				f.strike(w)
				o, werr := w.write(0, c.kind, c.obj, expect, c.value)
				So(werr == nil, ShouldBeIn, f.accepted)
				if werr == nil {
					So(o.Version, ShouldEqual, expect+1)
					time.Sleep(configurationLimit)
					for i := range w.Entries() {
						if i != f.unreachable {
							So(w.versionAt(i, c.kind, c.obj), ShouldEqual, o.Version)
						}
					}
				}
				w.Platform.SetFault(standin.PlatformFault{})
				time.Sleep(time.Minute)
				So(fell(), ShouldBeFalse)
			})
		}
	}
}

// watchVersions samples an object's version at every entry VM; the function it
// returns stops that and reports whether one ever fell.
func (w *world) watchVersions(k objects.Kind, n objects.Name) func() bool {
	var mu sync.Mutex
	fell, stop := false, false
	last := make([]objects.Version, len(w.Entries()))
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			mu.Lock()
			for i := range last {
				v := w.versionAt(i, k, n)
				fell = fell || v < last[i]
				last[i] = v
			}
			done := stop
			mu.Unlock()
			if done {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	return func() bool {
		mu.Lock()
		stop = true
		mu.Unlock()
		wg.Wait()
		return fell
	}
}

func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Of two operators at once one wins, the other gets the difference; one preset is in force", t, func() {
			w, err := configWorld()
			So(err, ShouldBeNil)
			defer w.end()
			for _, name := range []operator.PresetID{"peak", "quiet"} {
				_, werr := w.write(0, operator.KindPreset, objects.Name(name), 0,
					operator.Preset{Name: name, MaxAnswers: 9, MaxTokens: 9, NewAnswers: true})
				So(werr, ShouldBeNil)
			}
			time.Sleep(configurationLimit)
			expect := w.versionAt(0, operator.KindInForce, operator.InForceName)
			_, first := w.write(0, operator.KindInForce, operator.InForceName, expect, operator.InForce{Preset: "peak"})
			So(first, ShouldBeNil)
			raw, err := json.Marshal(operator.InForce{Preset: "quiet"})
			So(err, ShouldBeNil)
			r := plain{w: w, entry: 1, key: demo.OperatorKey}.do(http.MethodPut, "/operator/objects/inForce/preset",
				operator.Change{Expect: expect, Value: raw}, nil, nil)
			So(r.status, ShouldEqual, http.StatusConflict)
			var c operator.Conflict
			So(json.Unmarshal([]byte(r.body), &c), ShouldBeNil)
			So(c.Error.Code, ShouldEqual, result.VersionConflict)
			So(string(c.Current.Value), ShouldEqual, `{"preset":"peak"}`)
			time.Sleep(configurationLimit)
			for i := range w.Entries() {
				So(w.versionAt(i, operator.KindInForce, operator.InForceName), ShouldEqual, expect+1)
			}
		})
	})
}
