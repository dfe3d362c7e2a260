// Package golden compares the output of tests with golden files. Run a test with
// -update to rewrite its golden files.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

var update = flag.Bool("update", false, "write golden files anew")

// fileMode is the permission of golden files.
const fileMode = 0o644

// Diff compares got with the content of the file at path. It returns a description
// of the difference, or an empty string if there is none. With -update it first
// writes got to the file.
func Diff(path string, got []byte) string {
	path = filepath.Clean(path)
	if *update {
		if err := os.WriteFile(path, got, fileMode); err != nil {
			return err.Error()
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	if string(want) != string(got) {
		return fmt.Sprintf("%s differs; -update writes it anew.\nwant:\n%s\ngot:\n%s", path, want, got)
	}
	return ""
}

// seedFlag is the flag that sets the seed of randomised tests.
const seedFlag = "rapid.seed"

// FixSeed gives randomised tests the same seed in every run, unless the command
// line sets one. It must be called after the flags have been parsed.
func FixSeed() {
	f := flag.Lookup(seedFlag)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set("20261204"); err != nil {
		panic(err) // only if the flag did not accept a number
	}
}
