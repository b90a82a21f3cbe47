//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["behind"] = playBehind }

// playBehind has clients send safe requests behind a download, of which targets break off a few.
func playBehind(rec *recorder, root string, trouble bool) (int, error) {
	f, err := newFleet(rec, root, nil, "a", "b")
	defer f.close()
	if err != nil {
		return 0, err
	}
	f.oneCore = true
	routes := []map[string]any{
		route("pack", "gw.example", "/pack/", "download", "packs", 3000, 1000, 2),
		route("stock", "gw.example", "/stock/", "safe", "stock", 3000, 1000, 2),
	}
	f.store.put("op/config", config(12, routes, []map[string]any{service("packs"), service("stock")}, nil))
	for i, zone := range []string{"a", "b", "a"} {
		t, err := f.addTarget(fmt.Sprintf("i-packs%d", i+1), "packs", zone, 4, func(*http.Request) time.Duration { return 70 * time.Millisecond })
		if err != nil {
			return 0, err
		}
		t.large = 1536 << 10
		if trouble && i == 0 {
			// One of three targets breaks off a fiftieth of its answers.
			runs, mu := 0, sync.Mutex{}
			t.breaksOff = func(*http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				runs++
				return runs%50 == 0
			}
		}
		if _, err := f.addTarget(fmt.Sprintf("i-stock%d", i+1), "stock", zone, 4, func(*http.Request) time.Duration { return 200 * time.Millisecond }); err != nil {
			return 0, err
		}
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	breaks := 0
	play := func(h *host, n int) {
		conn, err := net.DialTimeout("tcp", h.front, time.Second)
		if err != nil {
			return
		}
		defer conn.Close()
		attempts := []attempt{{id: fmt.Sprintf("pack-%d", n), method: "GET", host: "gw.example", uri: fmt.Sprintf("/pack/%d", n), timeout: 3 * time.Second}}
		for i := range 3 {
			attempts = append(attempts, attempt{id: fmt.Sprintf("stock-%d-%d", n, i), method: "GET", host: "gw.example", uri: fmt.Sprintf("/stock/%d-%d", n, i), timeout: 3 * time.Second})
		}
		// A first request shows that the connection is kept.
		reader := bufio.NewReaderSize(conn, 64<<10)
		first := attempt{id: fmt.Sprintf("first-%d", n), method: "GET", host: "gw.example", uri: fmt.Sprintf("/stock/first-%d", n), timeout: 3 * time.Second}
		if _, err := conn.Write(first.bytes()); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		kept := answer{id: first.id}
		if f.readAnswer(&kept, reader, "GET", time.Now()); kept.err != nil || kept.header.Get("Connection") == "close" {
			return
		}
		sent := time.Now()
		for _, a := range attempts {
			if _, err := conn.Write(a.bytes()); err != nil {
				return
			}
			f.rec.add("client: %s sent to %s: %s %s", a.id, h.name, a.method, a.uri)
		}
		_ = conn.SetReadDeadline(sent.Add(3 * time.Second))
		for _, a := range attempts {
			result := answer{id: a.id}
			f.readAnswer(&result, reader, "GET", sent)
			if result.err != nil && result.after < 3*time.Second && strings.HasPrefix(a.id, "stock") && f.run(a.id) != nil {
				f.rec.add("LOST: %s was passed on to a target that is sound, and its connection has ended without an answer", a.id)
				mu.Lock()
				breaks++
				mu.Unlock()
			}
		}
	}
	var group sync.WaitGroup
	for n := range 1150 {
		group.Go(func() { play(f.hosts[n%2], n) })
		time.Sleep(80 * time.Millisecond)
	}
	group.Wait()
	f.rec.add("%d requests were lost in this way; the rule allows three", breaks)
	if breaks <= 3 {
		breaks = 0
	}
	return breaks, nil
}
