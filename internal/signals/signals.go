// Package signals holds the signals that a process has received. An entry host receives them from the initialization of
// this package until its process ends, so that none of them ends the process by its default action. The package imports
// little, because the packages that it imports are initialized before it.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// terminations and hangups hold the signals that were not handled yet.
var (
	terminations = make(chan os.Signal, 8)
	hangups      = make(chan os.Signal, 1)
)

func init() {
	// Other commands end by these signals, as users expect of a command at a terminal or in a pipeline.
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		Hangups()
		Terminations()
		IgnoreBrokenPipes()
	}
}

// Terminations returns SIGINT and SIGTERM from the first call on until the process ends.
func Terminations() <-chan os.Signal {
	signal.Notify(terminations, syscall.SIGINT, syscall.SIGTERM)
	return terminations
}

// Hangups returns SIGHUP from the first call on until the process ends. Several that were not handled yet count as one.
func Hangups() <-chan os.Signal {
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// IgnoreBrokenPipes makes a write to a standard output or error stream that nobody reads return an error. By default
// SIGPIPE ends the process then.
func IgnoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }
