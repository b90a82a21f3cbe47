//go:build review

// Command standin plays the cases of the review: it runs a small deployment of entry hosts as processes, with the platform's store,
// targets and clients in its own process, and judges what clients, targets and the platform see.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the cases by name, each with the rule that it checks.
var cases = map[string]struct {
	rule string
	play func(f *fleet, trouble bool) error
}{
	"pipeline": {"MIXED", playPipeline},
	"upload":   {"LOST", playUpload},
	"divide":   {"QUOTA", playDivide},
}

func main() {
	program := flag.String("program", "", "the program of the deploy file")
	template := flag.String("template", "", "the template of the settings")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*program, *template, *path, flag.Arg(0)))
}

func run(program, template, path, name string) int {
	c, found := cases[name]
	if !found {
		fmt.Println("no such case:", name)
		return 2
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	f, err := newFleet(program, template, r)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	err = c.play(f, os.Getenv("TROUBLE") != "0")
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(f.dir))
	}
	f.close()
	if err != nil {
		fmt.Println("the case cannot run:", err)
		return 2
	}
	return r.finish(c.rule)
}
