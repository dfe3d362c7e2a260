package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/golden"
	"quetzalhold/names"
	"quetzalhold/result"
)

// errorLines formats joined errors, one per line.
func errorLines(err error) []byte {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []byte(result.FromError(err).Error() + "\n")
	}
	var all strings.Builder
	for _, e := range joined.Unwrap() {
		all.Write(errorLines(e))
	}
	return []byte(all.String())
}

func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/bad-*.json")
	if err != nil {
		t.Fatal(err)
	}
	Convey("All faults of an invalid file are reported together", t, func() {
		So(len(files), ShouldBeGreaterThan, 3)
		for _, f := range files {
			_, err := Load(f)
			So(err, ShouldNotBeNil)
			So(golden.Diff(strings.TrimSuffix(f, ".json")+".golden", errorLines(err)), ShouldBeEmpty)
		}
	})
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/entry-*.json")
	if err != nil {
		t.Fatal(err)
	}
	Convey("The examples are valid", t, func() {
		So(len(files), ShouldBeGreaterThan, 1)
		for _, f := range files {
			e, err := Load(f)
			So(err, ShouldBeNil)
			So(e.RegionOf(e.DomainID()), ShouldNotBeEmpty)
			for _, s := range []names.Scheme{names.ByCode, names.ByTitle, names.ByLegacy} {
				id, err := e.Registry().Resolve(names.Domain, e.Registry().Name(names.Domain, e.DomainID(), s))
				So(err, ShouldBeNil)
				So(id, ShouldEqual, e.DomainID())
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/bad-*.json", "../examples/*/entry-*.json"} {
		files, err := filepath.Glob(pattern)
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
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := Parse(b)
		if (e == nil) == (err == nil) {
			t.Fatal("want either settings or an error")
		}
	})
}
