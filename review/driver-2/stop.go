//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// Times of the case after SIGTERM. The grace time is that of the settings; the rule excuses a target that is still at work in its last
// sixth only for requests that were sent no later than excused.
const (
	stopGrace = 6 * time.Second
	excused   = 3 * time.Second
	stopWork  = 2900 * time.Millisecond
)

// playStop stops a host while clients use connections to it that they have opened before: some send their first request after
// three seconds, and some send one behind another that is still being answered.
func playStop(rec *recorder, root string, trouble bool) (int, error) {
	f, err := newFleet(rec, root, nil, "a", "b", "c")
	defer f.close()
	if err != nil {
		return 0, err
	}
	routes := []map[string]any{
		route("command", "gw.example", "/command/", "unsafe", "commands", 6000, 4000, 2),
		route("reading", "gw.example", "/reading/", "safe", "commands", 6000, 4000, 2),
	}
	f.store.put("op/config", config(12, routes, []map[string]any{service("commands")}, nil))
	work := func(r *http.Request) time.Duration {
		if strings.Contains(r.URL.Path, "long") {
			return stopWork
		}
		return 900 * time.Millisecond
	}
	for i, zone := range []string{"a", "b", "c", "a"} {
		if _, err := f.addTarget(fmt.Sprintf("i-commands%d", i+1), "commands", zone, 4, work); err != nil {
			return 0, err
		}
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	h := f.hosts[0]
	stopAt := time.Now().Add(500 * time.Millisecond)
	sleepUntil := func(after time.Duration) { time.Sleep(time.Until(stopAt.Add(after))) }
	var mu sync.Mutex
	breaks := 0
	judge := func(a answer, sentAfter time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		ended := sentAfter + a.after
		f.rec.add("%s was sent %d ms after the stop began, and the answer or the end came at %d ms", a.id, sentAfter.Milliseconds(), ended.Milliseconds())
		ran := 0
		for _, t := range f.targets {
			t.mu.Lock()
			ran += t.runs[a.id]
			t.mu.Unlock()
		}
		switch own := a.err == nil && a.header.Get("X-Response-Seal") == ""; {
		case ran == 0 || sentAfter <= excused || ended > stopGrace+time.Second || a.after >= 6*time.Second:
			// The rule excuses it, or says nothing of it.
		case a.err != nil:
			f.rec.add("LOST: %s was passed on to a target, and its connection has ended without an answer", a.id)
			breaks++
		case own:
			f.rec.add("LOST: %s was broken off while its target was at work, and the host has answered %d in its place", a.id, a.status)
			breaks++
		}
	}
	var group sync.WaitGroup
	for i := range 3 {
		group.Go(func() {
			// The client has the address from before the stop, and connects within three times ttl_max of it. It has its first
			// request a little later.
			sleepUntil(2500 * time.Millisecond)
			conn, err := net.DialTimeout("tcp", h.front, time.Second)
			if err != nil {
				f.rec.add("client: no connection: %v", err)
				return
			}
			defer conn.Close()
			sleepUntil(3150 * time.Millisecond)
			a := attempt{id: fmt.Sprintf("first-%d", i+1), method: "POST", host: "gw.example", uri: fmt.Sprintf("/command/long%d", i), timeout: 6 * time.Second, body: "threshold"}
			result := answer{id: a.id}
			sent := time.Now()
			if _, err := conn.Write(a.bytes()); err != nil {
				f.rec.add("client: %s could not be sent, as the connection was closed: %v", a.id, err)
				return
			}
			f.rec.add("client: %s sent to %s: %s %s", a.id, h.name, a.method, a.uri)
			_ = conn.SetReadDeadline(sent.Add(6 * time.Second))
			f.readAnswer(&result, bufio.NewReader(conn), a.method, sent)
			judge(result, sent.Sub(stopAt))
		})
		group.Go(func() {
			sleepUntil(2300 * time.Millisecond)
			conn, err := net.DialTimeout("tcp", h.front, time.Second)
			if err != nil {
				f.rec.add("client: no connection: %v", err)
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			ahead := attempt{id: fmt.Sprintf("ahead-%d", i+1), method: "GET", host: "gw.example", uri: fmt.Sprintf("/reading/%d", i), timeout: 6 * time.Second}
			behind := attempt{id: fmt.Sprintf("behind-%d", i+1), method: "GET", host: "gw.example", uri: fmt.Sprintf("/reading/long%d", i), timeout: 6 * time.Second}
			first, second := answer{id: ahead.id}, answer{id: behind.id}
			sentFirst := time.Now()
			if _, err := conn.Write(ahead.bytes()); err != nil {
				return
			}
			f.rec.add("client: %s sent to %s: %s %s", ahead.id, h.name, ahead.method, ahead.uri)
			sleepUntil(3100 * time.Millisecond)
			sentSecond := time.Now()
			if _, err := conn.Write(behind.bytes()); err != nil {
				f.rec.add("client: %s could not be sent, as the connection was closed: %v", behind.id, err)
				return
			}
			f.rec.add("client: %s sent to %s behind %s: %s %s", behind.id, h.name, ahead.id, behind.method, behind.uri)
			_ = conn.SetReadDeadline(sentSecond.Add(6 * time.Second))
			f.readAnswer(&first, reader, "GET", sentFirst)
			judge(first, sentFirst.Sub(stopAt))
			f.readAnswer(&second, reader, "GET", sentSecond)
			judge(second, sentSecond.Sub(stopAt))
		})
	}
	sleepUntil(0)
	if trouble {
		f.signal(h, syscall.SIGTERM)
	}
	group.Wait()
	return breaks, nil
}
