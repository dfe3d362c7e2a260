package names

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/result"
)

func TestRegistry(t *testing.T) {
	north := Set{Code: "cn-a", Title: "Cascadia North A", Legacy: "COAST-01"}
	Convey("A registry", t, func() {
		var r Registry
		So(r.Add(Domain, north), ShouldBeNil)
		Convey("resolves a name in any scheme", func() {
			for _, s := range []Scheme{ByCode, ByTitle, ByLegacy} {
				id, err := r.Resolve(Domain, north.In(s))
				So(err, ShouldBeNil)
				So(id, ShouldEqual, north.Code)
				So(r.Name(Domain, id, s), ShouldEqual, north.In(s))
			}
		})
		Convey("keeps the kinds apart", func() {
			_, err := r.Resolve(Service, "cn-a")
			So(result.CodeOf(err), ShouldEqual, result.UnknownName)
			So(r.Add(Service, north), ShouldBeNil)
		})
		Convey("rejects a name that another object has in a different scheme, and changes nothing", func() {
			err := r.Add(Domain, Set{Code: "wv-a", Title: "Willamette", Legacy: "cn-a"})
			So(result.CodeOf(err), ShouldEqual, result.NameClash)
			_, err = r.Resolve(Domain, "Willamette")
			So(result.CodeOf(err), ShouldEqual, result.UnknownName)
		})
		Convey("rejects an object that is already registered", func() {
			So(result.CodeOf(r.Add(Domain, north)), ShouldEqual, result.Duplicate)
		})
		Convey("returns the id as the name of an unknown object", func() {
			So(r.Name(Domain, "x", ByTitle), ShouldEqual, "x")
			So(r.Names(Domain, "x"), ShouldResemble, Set{Code: "x"})
		})
	})
	Convey("Each scheme needs a name without spaces around it", t, func() {
		faults := Set{Code: "a", Title: " b"}.Check("names")
		So(len(faults), ShouldEqual, 2)
		So(faults[0].Field, ShouldEqual, "names.title")
		So(faults[1].Code, ShouldEqual, result.MissingField)
	})
}
