// Command quetzalhold is the daemon of an entry VM and the command-line tool for
// operators and callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"quetzalhold/result"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1 // the command failed; the numbered error is on standard error
	exitUsage   = 2 // the command line is wrong
	exitAddress = 3 // an address could not be bound; a log line names it
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// run parses the command line, runs the command and returns the exit code.
func run(ctx context.Context, args []string) int {
	p := newParser(ctx)
	_, err := p.ParseArgs(args)
	var fe *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(fe.Message)
		return exitOK
	case errors.As(err, &fe):
		fmt.Fprintln(os.Stderr, fe.Message)
		return exitUsage
	case result.CodeOf(err) == result.AddressNotBound:
		return exitAddress
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}
