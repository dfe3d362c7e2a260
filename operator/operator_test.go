package operator

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/result"
)

// object returns a configuration object with the JSON encoding of value.
func object(k objects.Kind, n objects.Name, v objects.Version, value any) objects.Object {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return objects.Object{Kind: k, Name: n, Version: v, Value: raw}
}

var (
	orgA = Organisation{Names: names.Set{Code: "a", Title: "A Co.", Legacy: "1"}, Keys: []KeyDigest{DigestKey("ka")}}
	orgB = Organisation{Names: names.Set{Code: "b", Title: "B Co.", Legacy: "2"}, Keys: []KeyDigest{DigestKey("kb")}}
	day  = Preset{Name: "day", MaxAnswers: 1, MaxTokens: 1, NewAnswers: true}
	peak = Preset{Name: "peak", MaxAnswers: 2, MaxTokens: 1, NewAnswers: true}
)

func TestBuild(t *testing.T) {
	base := []objects.Object{
		object(KindDeployment, "d", 1, Deployment{Name: "d", Version: "v@1"}),
		object(KindOrganisation, "a", 1, orgA),
		object(KindRoute, "r", 1, Route{Name: "r", Model: "m", Deployment: "d"}),
		object(KindPreset, "day", 1, day),
		object(KindInForce, InForceName, 1, InForce{Preset: "day"}),
	}
	tests := []struct {
		name  string
		extra objects.Object
		want  result.Code
	}{
		{"a route to an unknown deployment", object(KindRoute, "x", 1, Route{Name: "x", Model: "x", Deployment: "none"}), result.BadReference},
		{"a route for an unknown organisation", object(KindRoute, "x", 1, Route{Name: "x", Model: "x", Deployment: "d", Organisations: []string{"none"}}), result.UnknownName},
		{"two routes for all organisations", object(KindRoute, "x", 1, Route{Name: "x", Model: "m", Deployment: "d"}), result.Duplicate},
		{"the same key in two organisations", object(KindOrganisation, "b", 1, Organisation{Names: orgB.Names, Keys: orgA.Keys}), result.Duplicate},
		{"the same name in two organisations", object(KindOrganisation, "b", 1, Organisation{Names: names.Set{Code: "b", Title: "1", Legacy: "2"}}), result.NameClash},
		{"an object whose value has another name", object(KindPreset, "night", 1, day), result.BadReference},
		{"an unknown field", objects.Object{Kind: KindPreset, Name: "x", Version: 1, Value: []byte(`{"name":"x","maxAnswers":1,"maxTokens":1,"newAnswers":true,"speed":9}`)}, result.UnknownField},
		{"a number out of range", object(KindPreset, "x", 1, Preset{Name: "x", MaxTokens: 1}), result.OutOfRange},
		{"a key that is not a digest", object(KindOrganisation, "b", 1, Organisation{Names: orgB.Names, Keys: []KeyDigest{"secret"}}), result.WrongType},
		{"a service without calls", object(KindService, "s", 1, Service{Names: orgB.Names}), result.MissingField},
		{"a call with an unknown method", object(KindService, "s", 1, Service{Names: orgB.Names, Calls: []Call{{Method: "FETCH", Path: "/"}}}), result.OutOfRange},
	}
	Convey("Valid objects with valid references make a configuration", t, func() {
		c, faults := Build(base)
		So(faults, ShouldBeEmpty)
		So(c.InForce().Name, ShouldEqual, PresetID("day"))
		o, err := c.Organisation("ka")
		So(err, ShouldBeNil)
		_, d, err := c.Route("m", o.Names.Code)
		So(err, ShouldBeNil)
		So(d.Version, ShouldEqual, engine.Version("v@1"))
	})
	Convey("An invalid object is left out with a numbered fault, the others stay", t, func() {
		for _, tt := range tests {
			c, faults := Build(append(base[:len(base):len(base)], tt.extra))
			_, _ = Printf("\n  %s", tt.name)
			So(len(faults), ShouldEqual, 1)
			So(faults[0].Code, ShouldEqual, tt.want)
			So(len(c.Objects()), ShouldEqual, len(base))
		}
	})
	Convey("A route that names the organisation takes precedence over one for all", t, func() {
		c, faults := Build(append(base[:len(base):len(base)],
			object(KindDeployment, "e", 1, Deployment{Name: "e", Version: "v@2"}),
			object(KindRoute, "s", 1, Route{Name: "s", Model: "m", Deployment: "e", Organisations: []string{"A Co."}})))
		So(faults, ShouldBeEmpty)
		r, d, err := c.Route("m", "a")
		So(err, ShouldBeNil)
		So(r.Name, ShouldEqual, objects.Name("s"))
		So(d.Version, ShouldEqual, engine.Version("v@2"))
	})
}

func TestStore(t *testing.T) {
	Convey("A store never replaces an object by an earlier version", t, func() {
		var s Store
		So(s.Empty(), ShouldBeTrue)
		s.Apply([]objects.Object{object(KindPreset, "day", 1, day), object(KindPreset, "peak", 1, peak)})
		s.Apply([]objects.Object{object(KindInForce, InForceName, 5, InForce{Preset: "peak"})})
		s.Apply([]objects.Object{object(KindInForce, InForceName, 4, InForce{Preset: "day"})})
		So(s.Current().InForce().Name, ShouldEqual, PresetID("peak"))
		deleted := object(KindInForce, InForceName, 6, InForce{Preset: "peak"})
		deleted.Deleted = true
		s.Apply([]objects.Object{deleted})
		s.Apply([]objects.Object{object(KindInForce, InForceName, 5, InForce{Preset: "peak"})})
		So(s.Current().InForce(), ShouldBeNil)
	})
	Convey("Validate returns the faults that a write would add", t, func() {
		var s Store
		s.Apply([]objects.Object{object(KindPreset, "day", 1, day)})
		So(s.Validate(object(KindInForce, InForceName, 1, InForce{Preset: "day"})), ShouldBeEmpty)
		So(s.Validate(object(KindInForce, InForceName, 1, InForce{Preset: "none"})), ShouldHaveLength, 1)
	})
}

func TestFiles(t *testing.T) {
	files, err := filepath.Glob("../examples/*/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	Convey("The example configurations are valid", t, func() {
		So(len(files), ShouldEqual, 3)
		for _, f := range files {
			raw, err := os.ReadFile(f)
			So(err, ShouldBeNil)
			So(IsFile(raw), ShouldBeTrue)
			_, err = ParseFile(raw)
			So(err, ShouldBeNil)
		}
	})
	Convey("All faults of a file are reported", t, func() {
		_, err := ParseFile([]byte(`{"objects":[{"kind":"x","name":"a","value":{}},{"kind":"preset","name":"b","value":{}},{"kind":"preset","name":"b","value":{}}]}`))
		So(err.Error(), ShouldContainSubstring, "5008")
		So(err.Error(), ShouldContainSubstring, "5010")
		So(err.Error(), ShouldContainSubstring, "5003")
	})
}

func FuzzParseFile(f *testing.F) {
	files, err := filepath.Glob("../examples/*/configuration.json")
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte(`{"objects":[{"kind":"preset","name":"day","value":{"name":"day","maxAnswers":1,"maxTokens":1,"newAnswers":true}}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, err := ParseFile(raw)
		if err != nil {
			return
		}
		var objs []objects.Object
		for _, o := range file.Objects {
			objs = append(objs, objects.Object{Kind: o.Kind, Name: o.Name, Version: 1, Value: o.Value})
		}
		if _, faults := Build(objs); len(faults) > 0 {
			t.Fatalf("ParseFile accepted a file with faults: %v", faults)
		}
	})
}
