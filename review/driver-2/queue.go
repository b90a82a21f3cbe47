//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop-queue"] = playStopQueue }

// playStopQueue stops a host on which requests wait for targets that are busy with long ones.
func playStopQueue(rec *recorder, root string, trouble bool) (int, error) {
	f, err := newFleet(rec, root, nil, "a", "b")
	defer f.close()
	if err != nil {
		return 0, err
	}
	f.oneCore = true
	routes := []map[string]any{
		route("order", "gw.example", "/order/", "unsafe", "bulk", 10000, 9000, 2),
		route("range", "gw.example", "/range/", "unsafe", "bulk", 10000, 9000, 2),
	}
	f.store.put("op/config", config(12, routes, []map[string]any{service("bulk")}, nil))
	for i := range 4 {
		if _, err := f.addTarget(fmt.Sprintf("i-bulk%d", i+1), "bulk", "a", 4, func(r *http.Request) time.Duration {
			if strings.HasPrefix(r.URL.Path, "/range/") {
				return 8500 * time.Millisecond
			}
			return 100 * time.Millisecond
		}); err != nil {
			return 0, err
		}
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	const limit = 10 * time.Second
	a, b := f.hosts[0], f.hosts[1]
	var group sync.WaitGroup
	var mu sync.Mutex
	type sentAnswer struct {
		answer
		sent time.Time
	}
	var own []sentAnswer
	send := func(h *host, id, uri string) {
		group.Go(func() {
			sent := time.Now()
			result := f.send(h, attempt{id: id, method: "POST", host: "gw.example", uri: uri + id, timeout: limit, body: "x"})
			if h == a {
				mu.Lock()
				own = append(own, sentAnswer{result, sent})
				mu.Unlock()
			}
		})
	}
	// 110 requests a second go to the host all the time, until clients have other addresses. The targets can take 160.
	for i := range 330 {
		send(a, fmt.Sprintf("usual-%d", i), "/order/")
		time.Sleep(9 * time.Millisecond)
	}
	for i := range 24 {
		send(b, fmt.Sprintf("range-%d", i), "/range/")
	}
	start := time.Now()
	var stopped time.Time
	for i := 0; time.Since(start) < 4500*time.Millisecond; i++ {
		if stopped.IsZero() && time.Since(start) >= 2*time.Second {
			stopped = time.Now()
			if trouble {
				f.signal(a, syscall.SIGTERM)
			}
		}
		send(a, fmt.Sprintf("own-%d", i), "/order/")
		time.Sleep(9 * time.Millisecond)
	}
	group.Wait()
	breaks := 0
	for _, r := range own {
		ended := r.sent.Add(r.after)
		ran := 0
		for _, t := range f.targets {
			t.mu.Lock()
			ran += t.runs[r.id]
			t.mu.Unlock()
		}
		if r.err != nil && r.after > 0 && ran == 0 && r.after > 200*time.Millisecond && r.after < limit-100*time.Millisecond && ended.Sub(stopped) < 7*time.Second {
			f.rec.add("LOST: %s was sent %d ms after the stop began (below 0: before it), was not passed on, and its connection has ended without an answer after %d ms",
				r.id, r.sent.Sub(stopped).Milliseconds(), r.after.Milliseconds())
			breaks++
		}
	}
	return breaks, nil
}
