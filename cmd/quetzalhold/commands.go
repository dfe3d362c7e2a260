package main

import (
	"context"

	"github.com/jessevdk/go-flags"
)

// newParser returns the parser of the command line with all commands.
func newParser(ctx context.Context) *flags.Parser {
	p := flags.NewNamedParser("quetzalhold", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Serves long model generations on engines that fail, and says what it did."
	remote := remoteOptions{ctx: ctx}
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"entry", "run the daemon of an entry VM", "Runs until a signal ends it, then finishes what is under way.", &entryCommand{ctx: ctx}},
		{"gateway", "run the daemon of an entry VM on the users' platform", "Runs until a signal ends it, then finishes what is under way.", &gatewayCommand{ctx: ctx}},
		{"check", "check settings and configuration files", "Reports every fault at once, without talking to anything.", &checkCommand{}},
		{"apply", "write configuration objects from files", "Each write names the version it replaces; of racing operators one wins.", &applyCommand{remoteOptions: remote}},
		{"get", "read configuration objects", "Names of services and organisations may be in any scheme.", &getCommand{remoteOptions: remote}},
		{"use-preset", "put a preset in force", "Exactly one preset is in force at a time.", &usePresetCommand{remoteOptions: remote}},
		{"status", "show the entry VMs", "Shows for each entry VM its domain, preset, engines and object versions.", &statusCommand{remoteOptions: remote}},
		{"explain", "tell what happened to a request", "Asks every entry VM and shows the steps in order.", &explainCommand{remoteOptions: remote}},
		{"where", "tell where a request would go", "Asks a running gateway, which sends nothing but requests for load reports.", &whereCommand{ctx: ctx}},
		{"call", "ask for an answer", "Takes the answer up again at another entry VM when one is lost.", &callCommand{ctx: ctx}},
		{"demo", "run the demonstration", "Runs entry VMs and stand-ins in this process and kills some of them.", &demoCommand{ctx: ctx}},
		{"move", "move a deployment between versions", "The system ends each move as finished or taken back, and says why.", &moveCommand{
			Start:    moveStart{remoteOptions: remote},
			Show:     moveShow{remoteOptions: remote},
			TakeBack: moveTakeBack{remoteOptions: remote},
		}},
		{"measure", "run a measurement", "Loopback only, bounded in count and time.", &measureCommand{
			Resume: measureResume{ctx: ctx},
			Load:   measureLoad{ctx: ctx},
		}},
		{"completion", "print a shell's completion script", "Prints a script for bash to source.", &completionCommand{}},
		{"version", "print the version", "Prints the version of the module and of Go.", &versionCommand{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // only for a malformed tag
		}
	}
	return p
}
