package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"

	"quetzalhold/demo"
	"quetzalhold/entry"
	"quetzalhold/operator"
	"quetzalhold/result"
	"quetzalhold/settings"
)

// entryCommand runs the daemon of an entry VM.
type entryCommand struct {
	ctx      context.Context
	Settings string `long:"settings" value-name:"FILE" description:"settings file" required:"true"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	d, err := entry.New(s, entry.WithLog(os.Stderr))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return d.Serve(c.ctx, l)
}

// checkCommand checks settings and configuration files without connecting to
// anything.
type checkCommand struct {
	JSON bool `long:"json" description:"print the faults as JSON"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// fileFaults lists the faults found in one file.
type fileFaults struct {
	File   string          `json:"file"`
	Faults []*result.Error `json:"faults"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	found := 0
	var all []fileFaults
	for _, f := range c.Args.Files {
		faults := flattenErrors(checkFile(f))
		found += len(faults)
		all = append(all, fileFaults{File: f, Faults: faults})
	}
	if c.JSON {
		if err := printJSON(all); err != nil {
			return err
		}
	} else {
		printFaults(all)
	}
	if found > 0 {
		return result.New(result.BadRequest, "%d faults", found)
	}
	return nil
}

func printFaults(all []fileFaults) {
	for _, f := range all {
		if len(f.Faults) == 0 {
			fmt.Printf("%s: good\n", f.File)
		}
		for _, e := range f.Faults {
			fmt.Printf("%s: %s\n", f.File, e)
		}
	}
}

// checkFile checks a settings file of either daemon or a configuration file. It
// recognises the kind of the file by its content.
func checkFile(path string) error {
	raw, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return result.Wrap(result.SettingsUnreadable, err, "read")
	}
	if operator.IsFile(raw) {
		_, err = operator.ParseFile(raw)
		return err
	}
	if settings.IsGateway(raw) {
		_, err = settings.ParseGateway(raw)
		return err
	}
	_, err = settings.Parse(raw)
	return err
}

// flattenErrors returns the errors that err joins, at any depth.
func flattenErrors(err error) []*result.Error {
	if err == nil {
		return []*result.Error{}
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []*result.Error{result.FromError(err)}
	}
	var all []*result.Error
	for _, e := range joined.Unwrap() {
		all = append(all, flattenErrors(e)...)
	}
	return all
}

// demoCommand runs the demonstration.
type demoCommand struct {
	ctx context.Context
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error { return demo.Run(c.ctx, os.Stdout) }

// versionCommand prints the version.
type versionCommand struct {
	JSON bool `long:"json" description:"print as JSON"`
}

// versionInfo is what the version command prints.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	v := versionInfo{Version: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		v.Version = info.Main.Version
	}
	if c.JSON {
		return printJSON(v)
	}
	fmt.Printf("quetzalhold %s, %s\n", v.Version, v.Go)
	return nil
}

// completionCommand prints a completion script.
type completionCommand struct{}

// bashCompletion makes bash run the program for its completions, which go-flags
// prints if GO_FLAGS_COMPLETION is set.
const bashCompletion = `_quetzalhold() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _quetzalhold quetzalhold
`

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	fmt.Print(bashCompletion)
	return nil
}
