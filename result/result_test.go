package result

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/golden"
)

func TestTable(t *testing.T) {
	Convey("Every code has one entry, in ascending order", t, func() {
		last := Code(-1)
		for _, info := range Table() {
			So(info.Code, ShouldBeGreaterThan, last)
			So(info.Meaning, ShouldNotBeEmpty)
			So(info.Status, ShouldBeGreaterThan, 0)
			So(info.Code.String(), ShouldNotStartWith, "Code(")
			last = info.Code
		}
	})
	Convey("Every named code is in the table", t, func() {
		named := 0
		for c := range Code(10000) {
			if c.String() != fmt.Sprintf("Code(%d)", int(c)) {
				named++
			}
		}
		So(len(Table()), ShouldEqual, named)
	})
}

func TestErrorRoundTrip(t *testing.T) {
	Convey("An error keeps its code, field and notRun over JSON", t, func() {
		e := Wrap(OutcomeUnknown, errors.New("reset"), "server %s", "a").WithField("x.y").AsNotRun()
		b, err := json.Marshal(Envelope{Error: e})
		So(err, ShouldBeNil)
		var env Envelope
		So(json.Unmarshal(b, &env), ShouldBeNil)
		So(env.Error.Code, ShouldEqual, OutcomeUnknown)
		So(env.Error.Field, ShouldEqual, "x.y")
		So(env.Error.NotRun, ShouldBeTrue)
		So(CodeOf(fmt.Errorf("outer: %w", e)), ShouldEqual, OutcomeUnknown)
		So(CodeOf(errors.New("plain")), ShouldEqual, Internal)
		So(CodeOf(nil), ShouldEqual, OK)
	})
}

func TestDocs(t *testing.T) {
	Convey("docs/RESULT-CODES.md is up to date", t, func() {
		So(golden.Diff("../docs/RESULT-CODES.md", Markdown()), ShouldBeEmpty)
	})
}
