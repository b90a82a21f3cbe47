//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// answer is an answer that a target made.
type answer struct {
	target, seal, hash string
	status             int
	whole              bool
}

// record holds what was sent, answered and run, and the broken rules.
type record struct {
	mu      sync.Mutex
	start   time.Time
	file    *os.File
	runs    map[string][]string
	answers map[string][]answer
	broken  []string
	counts  map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, runs: map[string][]string{}, answers: map[string][]answer{}, counts: map[string]int{}}, nil
}

// add writes a line.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, arguments...)
}

func (r *record) line(format string, arguments ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// count adds to a counter.
func (r *record) count(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name] += n
}

// breaks records that a rule was broken.
func (r *record) breaks(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, arguments...))
	r.line("BROKEN "+format, arguments...)
}

// ran records that a target began to work on a request.
func (r *record) ran(t *target, c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[c.id] = append(r.runs[c.id], t.name)
	r.line("target %s: runs %s %s %s (%d bytes)", t.name, c.id, c.method, c.uri, len(c.body))
}

// answered records an answer of a target.
func (r *record) answered(t *target, c *call, status int, seal string, body []byte, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[c.id] = append(r.answers[c.id], answer{t.name, seal, hashOf(body), status, whole})
	r.line("target %s: answers %s with %d, %d bytes, whole %v", t.name, c.id, status, len(body), whole)
}

// answersOf returns the answers of targets to a request.
func (r *record) answersOf(id string) []answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]answer{}, r.answers[id]...)
}

// runsOf returns the targets that ran a request.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.runs[id]...)
}

// finish writes the summary and returns the exit status.
func (r *record) finish(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, n := range r.counts {
		r.line("count %s: %d", name, n)
		fmt.Printf("%s: %d\n", name, n)
	}
	fmt.Printf("%s: broken %d times\n", rule, len(r.broken))
	r.line("%s: broken %d times", rule, len(r.broken))
	for _, b := range r.broken[:min(5, len(r.broken))] {
		fmt.Println(" ", b)
	}
	_ = r.file.Close()
	if len(r.broken) > 0 {
		return 1
	}
	return 0
}
