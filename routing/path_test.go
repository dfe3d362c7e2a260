package routing

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// lots is a configuration in which one prefix begins another and their kinds differ.
func lots() *Table {
	to := []Split{{Service: "awards", Weight: 1}}
	return NewTable(Config{Routes: []Route{
		{Name: "award", Host: "h", Prefix: "/lots/", Splits: to},
		{Name: "lookup", Host: "h", Prefix: "/lots/norte/", Kind: Idempotent, MaxAttempts: 2, Splits: to},
		{Name: "draft", Host: "h", Prefix: "/lots/norte/draft/", Kind: Stream, Resumable: true, MaxAttempts: 2, Splits: to},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: Idempotent, Public: true, MaxAttempts: 2, Splits: to},
		{Name: "closed", Host: "h", Prefix: "/open/in/", Kind: Idempotent, MaxAttempts: 2, Splits: to},
		{Name: "user", Host: "h", Prefix: "/~user/", Kind: Idempotent, Splits: to},
	}})
}

// TestSelect guards against requests that run on a route that their path does not begin with, or more than once though a server may
// read their path as that of a request which may not.
func TestSelect(t *testing.T) {
	for _, x := range []struct {
		path       string
		route      RouteName // empty for none
		repeatable bool
	}{
		{"/lots/norte/1", "lookup", true},
		{"/lots/norte-1", "award", false},
		{"/lots/norte%2F1", "award", false},
		{"/lots/norte%2f1", "award", false},
		{"/lots/norte%252F1", "award", false},
		{"/lots%2Fnorte/1", "", false},
		{"%2Flots/norte/1", "", false},
		{"/%6Cots/norte/1", "lookup", true},
		{"/lots/norte/%7E1", "lookup", true},
		{"/lots/norte/a%20b", "lookup", true},
		{"/lots/norte/a%2Fb", "lookup", true},
		{"/lots/norte/100%", "lookup", true},
		{"/%7Euser/1", "user", true},
		{"/lots/norte/../1", "lookup", false},
		{"/lots/norte/%2E%2E/1", "lookup", false},
		{"/lots/norte/%2e%2e%2f1", "lookup", false},
		{"/lots/norte/./1", "lookup", true},
		{"/lots/norte/a/../1", "lookup", true},
		{"/lots/norte/a/..", "lookup", true},
		{"/lots/norte/..;v=1/1", "lookup", false},
		{"/lots/norte;v=1/1", "award", false},
		{"/lots/norte/1;v=1", "lookup", true},
		{"/lots//norte/1", "award", false},
		{"/lots/norte//1", "lookup", true},
		{"//lots/norte/1", "", false},
		{`/lots/norte/..\1`, "lookup", false},
		{`/lots/norte\1`, "award", false},
		{"/lots/norte/draft/1", "draft", true},
		{"/lots/norte/draft/../1", "draft", true},
		{"/lots/norte/draft/../../1", "draft", false},
		{"/lots", "", false},
	} {
		Convey(x.path, t, func() {
			r, ok := lots().Select("h", x.path)
			So(ok, ShouldEqual, x.route != "")
			if ok {
				So(r.Name, ShouldEqual, x.route)
				So(r.Repeatable(), ShouldEqual, x.repeatable)
			}
		})
	}
	Convey("A path that may be read as one that requires a key requires it", t, func() {
		for path, public := range map[string]bool{"/open/1": true, "/open/in%2F1": false, "/open/x;/../in/1": false, "/open/in/1": false} {
			r, ok := lots().Select("h", path)
			So(ok, ShouldBeTrue)
			So(r.Public, ShouldEqual, public)
		}
	})
	Convey("The configuration stays as it was", t, func() {
		table := lots()
		_, _ = table.Select("h", "/lots/norte/../1")
		r, _ := table.Select("h", "/lots/norte/1")
		So(r.Repeatable(), ShouldBeTrue)
	})
}
