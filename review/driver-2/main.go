//go:build review

// Command driver-2 plays the cases of the second review that are scripts. It starts entry hosts as separate processes, and has the
// clients, the targets and the platform's store as stand-ins in this process.
//
// Use: driver-2 CASE FOLDER, in the root of the repository. The environment variable TROUBLE=0 leaves out the disruption. The exit
// code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// cases are the cases by name. Each returns the number of breaks of its rule.
var cases = map[string]func(rec *recorder, root string, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: driver-2 CASE FOLDER")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %v", os.Args[1], trouble)
	type outcome struct {
		breaks int
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		breaks, err := cases[os.Args[1]](rec, root, trouble)
		done <- outcome{breaks, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	code := 0
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.add("the case could not run: %v", o.err)
			code = 2
		case o.breaks > 0:
			rec.add("the rule was broken %d times", o.breaks)
			code = 1
		default:
			rec.add("the rule held")
		}
	case <-time.After(limit):
		rec.add("the case could not run: it took too long")
		endAll()
		code = 2
	case s := <-signals:
		rec.add("the case could not run: %v", s)
		endAll()
		code = 2
	}
	_ = rec.file.Close()
	os.Exit(code)
}
