// Package golden compares what tests make with files that are kept beside
// them. Run the tests with -update to write the files anew.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

var update = flag.Bool("update", false, "write golden files anew")

// fileMode is the mode of golden files.
const fileMode = 0o644

// Check returns why got is not what the file at path holds; empty if it is.
// With -update it writes the file first.
func Check(path string, got []byte) string {
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

// seedFlag is the flag by which randomised tests take their seed.
const seedFlag = "rapid.seed"

// FixSeed gives randomised tests the same seed at every run, unless the command
// line names one. It must come after the flags were parsed.
func FixSeed() {
	f := flag.Lookup(seedFlag)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set("20261204"); err != nil {
		panic(err) // only if the flag were no number
	}
}
