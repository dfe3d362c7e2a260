package main

import (
	"context"
	"io"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"quetzalhold/golden"
)

// capture runs the command line and returns its exit code and its combined output
// to standard output and standard error.
func capture(args ...string) (int, string) {
	r, w, err := os.Pipe()
	So(err, ShouldBeNil)
	stdout, stderr := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = w, w
	code := run(context.Background(), args)
	os.Stdout, os.Stderr = stdout, stderr
	So(w.Close(), ShouldBeNil)
	b, err := io.ReadAll(r)
	So(err, ShouldBeNil)
	return code, string(b)
}

func TestCommandLine(t *testing.T) {
	Convey("Help texts are as documented", t, func() {
		var all strings.Builder
		for _, args := range [][]string{{"--help"}, {"call", "--help"}, {"apply", "--help"}, {"entry", "--help"}} {
			code, out := capture(args...)
			So(code, ShouldEqual, exitOK)
			all.WriteString(out)
		}
		So(golden.Diff("testdata/help.golden", []byte(all.String())), ShouldBeEmpty)
	})
	Convey("Exit codes", t, func() {
		tests := []struct {
			args []string
			code int
			out  string
		}{
			{[]string{"version"}, exitOK, "quetzalhold"},
			{[]string{"version", "--json"}, exitOK, `"go"`},
			{[]string{"completion"}, exitOK, "complete -F"},
			{[]string{"nothing"}, exitUsage, "Unknown command"},
			{[]string{"call"}, exitUsage, "required"},
			{[]string{"check", "../../examples/tour/entry-1.json", "../../examples/tour/configuration.json"}, exitOK, "good"},
			{[]string{"check", "../../settings/testdata/bad-many.json"}, exitFailure, "5001 UnknownField at colour"},
			{[]string{"check", "--json", "../../settings/testdata/bad-units.json"}, exitFailure, `"code": 5002`},
			{[]string{"check", "no-such-file"}, exitFailure, "5000 SettingsUnreadable"},
			{[]string{"status", "--entry", "127.0.0.1:1", "--operator-key", "k"}, exitOK, "refused"},
			{[]string{"get", "preset", "--entry", "127.0.0.1:1", "--operator-key", "k"}, exitFailure, "refused"},
			{[]string{"where", "--at", "127.0.0.1:1", "--key", "k-1"}, exitFailure, "refused"},
			{[]string{"entry", "--settings", "../../settings/testdata/bad-clash.json"}, exitFailure, "5007 NameClash"},
		}
		for _, tt := range tests {
			code, out := capture(tt.args...)
			So(out, ShouldContainSubstring, tt.out)
			So(code, ShouldEqual, tt.code)
		}
	})
}
