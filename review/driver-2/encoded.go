//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["encoded"] = playEncoded }

// playEncoded has targets lose answers to requests of an unsafe route, in whose path an encoded slash follows the first part of the
// prefix of a safe route.
func playEncoded(rec *recorder, root string, trouble bool) (int, error) {
	f, err := newFleet(rec, root, nil, "a", "b")
	defer f.close()
	if err != nil {
		return 0, err
	}
	routes := []map[string]any{
		route("register", "mills.example", "/batch/", "unsafe", "batches", 1000, 400, 2),
		route("archive", "mills.example", "/batch/2026/", "safe", "batches", 1000, 400, 2),
	}
	f.store.put("op/config", config(12, routes, []map[string]any{service("batches")}, nil))
	for i, zone := range []string{"a", "b", "a", "b"} {
		t, err := f.addTarget(fmt.Sprintf("i-batches%d", i+1), "batches", zone, 4, func(*http.Request) time.Duration { return 60 * time.Millisecond })
		if err != nil {
			return 0, err
		}
		if i < 2 && trouble {
			// Half of the targets lose the answers of a quarter of their runs.
			runs, mu := 0, sync.Mutex{}
			t.loses = func(*http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				runs++
				return runs%4 == 0
			}
		}
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	var group sync.WaitGroup
	for i := range 240 {
		id, uri := fmt.Sprintf("plain-%d", i), fmt.Sprintf("/batch/%04d", i)
		if i%2 == 0 {
			id, uri = fmt.Sprintf("slash-%d", i), fmt.Sprintf("/batch/2026%%2F%04d", i)
		}
		h := f.hosts[i/2%len(f.hosts)]
		group.Go(func() {
			f.send(h, attempt{id: id, method: "POST", host: "mills.example", uri: uri, timeout: time.Second, body: "heat"})
		})
		if i%8 == 7 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	group.Wait()
	time.Sleep(time.Second)
	runs := map[string]int{}
	for _, t := range f.targets {
		t.mu.Lock()
		for id, n := range t.runs {
			runs[id] += n
		}
		t.mu.Unlock()
	}
	breaks := 0
	for id, n := range runs {
		if n > 1 {
			f.rec.add("TWICE: %s has run %d times, on an unsafe route", id, n)
			breaks++
		}
	}
	return breaks, nil
}
