// Command scenario3 plays one case of the third review against gateways that run as separate
// processes. Clients, servers and the platform's store are stand-ins in this process.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	name := flag.String("case", "", "case to play")
	gateway := flag.String("gateway", "target/quetzalhold", "program of the gateway")
	record := flag.String("record", "record.txt", "file that gets the record")
	dir := flag.String("dir", "", "temporary folder")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *gateway, *record, *dir, *trouble))
}

// play plays a case and returns the exit code.
func play(name, gateway, record, dir string, trouble bool) int {
	cases := map[string]func(*world) error{
		"kept-crash":   keptCrash,
		"uneven-ids":   unevenIDs,
		"encoded-path": encodedPaths,
		"from-zero":    fromZero,
		"overlaps":     overlaps,
		"groups":       groups,
		"comments":     comments,
		"refusal":      refusal,
	}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	w, err := newWorld(gateway, record, dir, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		w.close()
		os.Exit(exitFailed)
	}()
	switch err := run(w); {
	case errors.Is(err, errBroken):
		w.note("result", "%v", err)
		return exitBroken
	case err != nil:
		w.note("result", "the case could not run: %v", err)
		return exitFailed
	}
	w.note("result", "the rule held")
	return exitHeld
}
