// Command soak runs gateways as processes, injects random faults and checks what
// callers and backend servers observe. It ends only processes that it started.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"quetzalhold/soak"
)

func main() {
	var o struct {
		Seed     uint64        `long:"seed" default:"1" description:"first seed"`
		Seeds    int           `long:"seeds" default:"1" description:"number of seeds, one run each"`
		For      time.Duration `long:"for" default:"15s" description:"time with faults of one run"`
		Gateways int           `long:"gateways" default:"4" description:"gateways, each a process (at most 100)"`
		Engines  int           `long:"engines" default:"6" description:"model engines"`
		Plain    int           `long:"plain" default:"3" description:"plain servers"`
		Callers  int           `long:"callers" default:"12" description:"callers"`
		Binary   string        `long:"binary" default:"bin/quetzalhold" description:"program of the gateways"`
		Stops    bool          `long:"stops" description:"stop gateways in series as well, while servers are replaced"`
		Dir      string        `long:"dir" description:"folder for settings and logs; a new one if empty"`
	}
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	failed := 0
	for i := range o.Seeds {
		seed := o.Seed + uint64(i)
		dir, err := os.MkdirTemp(o.Dir, fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		rep, err := soak.Run(context.Background(), soak.Options{
			Seed: seed, FaultTime: o.For, Gateways: min(o.Gateways, 100), Engines: o.Engines, PlainServers: o.Plain, Callers: o.Callers, Stops: o.Stops, Binary: o.Binary, Dir: dir,
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Printf("seed %d: %d faults injected, %d crowds, priorities %t, pressure %t, streams resume %t, events %s: %d requests, %d served, %d streams whole, %d promises broken\n",
			seed, rep.Injected, rep.Crowds, rep.Priorities, rep.Pressure, rep.Resumes, rep.Numbering, rep.Requests, rep.Served, rep.CompleteStreams, len(rep.Violations))
		if len(rep.Violations) == 0 {
			_ = os.RemoveAll(dir) // a folder that cannot be removed does no harm
			continue
		}
		failed++
		for _, f := range rep.Violations[:min(len(rep.Violations), 20)] {
			fmt.Println("  " + f)
		}
		fmt.Println("  logs: " + dir)
	}
	if failed > 0 {
		os.Exit(1)
	}
}
