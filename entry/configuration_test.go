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

// newConfigSite returns a site with four entry VMs in two failure domains.
func newConfigSite() (*testSite, error) {
	ts, err := newReadySite(1, 0, standin.EngineConfig{})
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		id := engine.ServerID(fmt.Sprintf("entry-%d", i+1))
		if _, err := ts.AddEntry(ts.Places[i%2].Names.Code, id, nil); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second)
	return ts, nil
}

// versionAt returns the version of an object that is in force on an entry VM.
func (ts *testSite) versionAt(i int, k objects.Kind, n objects.Name) objects.Version {
	o, _ := ts.Entries()[i].Object(k, n)
	return o.Version
}

// putObject writes an object through an entry VM's operator API.
func (ts *testSite) putObject(i int, k objects.Kind, n objects.Name, expect objects.Version, value any) (objects.Object, *result.Error) {
	raw, err := json.Marshal(value)
	So(err, ShouldBeNil)
	path := fmt.Sprintf("/operator/objects/%s/%s", k, n)
	r := rawClient{site: ts, entry: i, key: demo.OperatorKey}.do(http.MethodPut, path, operator.Change{Expect: expect, Value: raw}, nil, nil)
	var o objects.Object
	if r.status == http.StatusOK {
		So(json.Unmarshal([]byte(r.body), &o), ShouldBeNil)
		return o, nil
	}
	return o, r.err
}

// configFaults are the rows of the configuration matrix. unreachable is the
// index of the entry VM that the others cannot reach, or -1.
var configFaults = []struct {
	name        string
	inject      func(ts *testSite)
	unreachable int
	accepted    []bool // whether the write may be accepted
}{
	{"no fault", func(*testSite) {}, -1, []bool{true}},
	{"platform down before", func(ts *testSite) { ts.Platform.SetFault(standin.PlatformFault{Down: true}) }, -1, []bool{false}},
	{"platform's answer lost after the effect", func(ts *testSite) {
		ts.Platform.SetFault(standin.PlatformFault{LoseAnswers: 1})
	}, -1, []bool{true}},
	{"platform slow", func(ts *testSite) { ts.Platform.SetFault(standin.PlatformFault{Delay: 300 * time.Millisecond}) }, -1, []bool{true}},
	{"entry VMs cut off from the platform", func(ts *testSite) {
		for i := 2; i <= 4; i++ {
			ts.net.Partition(ts.host(fmt.Sprintf("entry-%d", i)), ts.host("platform"))
		}
	}, -1, []bool{true}},
	{"an entry VM cut off from all others", func(ts *testSite) {
		for i := 1; i <= 3; i++ {
			ts.net.Partition(ts.host("entry-4"), ts.host(fmt.Sprintf("entry-%d", i)))
		}
		ts.net.Partition(ts.host("entry-4"), ts.host("platform"))
	}, 3, []bool{true}},
	{"domains cut off from each other", func(ts *testSite) {
		for _, a := range []string{"entry-1", "entry-3"} {
			for _, b := range []string{"entry-2", "entry-4"} {
				ts.net.Partition(ts.host(a), ts.host(b))
			}
		}
	}, -1, []bool{true}},
	{"watches silent", func(ts *testSite) {
		for i := 1; i <= 4; i++ {
			ts.net.Blackhole(ts.host(fmt.Sprintf("entry-%d", i)), ts.host("platform"))
		}
	}, -1, []bool{true, false}},
	{"another entry VM dies", func(ts *testSite) { ts.killEntry(1) }, 1, []bool{true}},
	{"another entry VM vanishes", func(ts *testSite) { ts.net.Disconnect(ts.host("entry-2")) }, 1, []bool{true}},
}

// configWrites are the columns: a configuration write and a preset change.
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
			runInSynctest(t, f.name+"/"+c.name, func() {
				ts, err := newConfigSite()
				So(err, ShouldBeNil)
				defer ts.closeAndWait()
				peak := operator.Preset{Name: "peak", MaxAnswers: 9, MaxTokens: 9, NewAnswers: true}
				_, werr := ts.putObject(0, operator.KindPreset, "peak", 0, peak)
				So(werr, ShouldBeNil)
				time.Sleep(configurationTimeout)
				expect := ts.versionAt(0, c.kind, c.obj)
				decreased := ts.watchVersions(c.kind, c.obj)
				f.inject(ts)
				o, werr := ts.putObject(0, c.kind, c.obj, expect, c.value)
				So(werr == nil, ShouldBeIn, f.accepted)
				if werr == nil {
					So(o.Version, ShouldEqual, expect+1)
					time.Sleep(configurationTimeout)
					for i := range ts.Entries() {
						if i != f.unreachable {
							So(ts.versionAt(i, c.kind, c.obj), ShouldEqual, o.Version)
						}
					}
				}
				ts.Platform.SetFault(standin.PlatformFault{})
				time.Sleep(time.Minute)
				So(decreased(), ShouldBeFalse)
			})
		}
	}
}

// watchVersions samples the version of an object at every entry VM in the
// background. The returned function stops the sampling and reports whether a
// version ever decreased.
func (ts *testSite) watchVersions(k objects.Kind, n objects.Name) func() bool {
	var mu sync.Mutex
	decreased, stop := false, false
	last := make([]objects.Version, len(ts.Entries()))
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			mu.Lock()
			for i := range last {
				v := ts.versionAt(i, k, n)
				decreased = decreased || v < last[i]
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
		return decreased
	}
}

func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Of two concurrent operators one wins and the other gets a conflict with the current object; one preset is in force", t, func() {
			ts, err := newConfigSite()
			So(err, ShouldBeNil)
			defer ts.closeAndWait()
			for _, name := range []operator.PresetID{"peak", "quiet"} {
				_, werr := ts.putObject(0, operator.KindPreset, objects.Name(name), 0,
					operator.Preset{Name: name, MaxAnswers: 9, MaxTokens: 9, NewAnswers: true})
				So(werr, ShouldBeNil)
			}
			time.Sleep(configurationTimeout)
			expect := ts.versionAt(0, operator.KindInForce, operator.InForceName)
			_, first := ts.putObject(0, operator.KindInForce, operator.InForceName, expect, operator.InForce{Preset: "peak"})
			So(first, ShouldBeNil)
			raw, err := json.Marshal(operator.InForce{Preset: "quiet"})
			So(err, ShouldBeNil)
			r := rawClient{site: ts, entry: 1, key: demo.OperatorKey}.do(http.MethodPut, "/operator/objects/inForce/preset",
				operator.Change{Expect: expect, Value: raw}, nil, nil)
			So(r.status, ShouldEqual, http.StatusConflict)
			var c operator.Conflict
			So(json.Unmarshal([]byte(r.body), &c), ShouldBeNil)
			So(c.Error.Code, ShouldEqual, result.VersionConflict)
			So(string(c.Current.Value), ShouldEqual, `{"preset":"peak"}`)
			time.Sleep(configurationTimeout)
			for i := range ts.Entries() {
				So(ts.versionAt(i, operator.KindInForce, operator.InForceName), ShouldEqual, expect+1)
			}
		})
	})
}
