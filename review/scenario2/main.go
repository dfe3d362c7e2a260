// Command scenario2 plays the scenarios of the second independent review: gateways as separate processes, with the
// project's own stand-ins for the store and the runners.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses.
const (
	held    = 0
	broken  = 1
	invalid = 2 // the scenario could not run
)

// scenario is a case. trouble is whether the disruption happens.
type scenario struct {
	sizes sizes
	play  func(s *site, trouble bool) (int, error)
}

var scenarios = map[string]scenario{
	"drill":    {sizes{gateways: 6, engines: 3, apps: 6}, playDrill},
	"burst":    {sizes{gateways: 6, engines: 30, apps: 3}, playBurst},
	"limit":    {sizes{gateways: 6, engines: 3, apps: 3}, playLimit},
	"late":     {sizes{gateways: 6, engines: 3, apps: 3}, slowFailures.play},
	"broken":   {sizes{gateways: 6, engines: 3, apps: 3}, brokenOff.play},
	"deep":     {sizes{gateways: 6, engines: 30, apps: 3}, playDeep},
	"unframed": {sizes{gateways: 6, engines: 12, apps: 3}, playUnframed},
	"retry":    {sizes{gateways: 6, engines: 3, apps: 3}, playRetry},
	"early":    {sizes{gateways: 6, engines: 30, apps: 3}, playEarly},
	"silent":   {sizes{gateways: 6, engines: 3, apps: 9}, playSilent},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: scenario2 NAME PROGRAM FOLDER")
		os.Exit(invalid)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, folder string) int {
	x, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return invalid
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }() // what remains is in the folder for temporary files
	} else {
		fmt.Println("logs:", dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("scenario %s, trouble %v", name, trouble)
	s := newSite(rec, dir, binary)
	s.stopOnSignal()
	defer s.stop()
	status := invalid
	if err = s.start(x.sizes); err == nil {
		status, err = x.play(s, trouble)
	}
	if err != nil {
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken"}[status]
	rec.printf("%s", text)
	fmt.Println(text)
	return status
}
