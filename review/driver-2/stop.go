//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// Times of the case, after SIGTERM. The grace time is that of the settings; the rule excuses a target that is still at work in its last
// sixth only for requests that were sent no later than excused.
const (
	stopGrace = 6 * time.Second
	excused   = 3 * time.Second
	stopWork  = 2900 * time.Millisecond
	// lookUp is when clients look up the addresses, and keepFactor how many times its ttl they keep a response.
	lookUp     = 200 * time.Millisecond
	keepFactor = 3
	// connect is when they open the connection, and send when they use it: within keepFactor times the ttl of one second.
	connect = 2400 * time.Millisecond
	send    = 3080 * time.Millisecond
)

// names reports whether the directory of a host names another host, and for how long clients may keep the response that do so for
// longest.
func (f *fleet) names(directory, h *host) (keep time.Duration, named bool) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + directory.directory + "/api/resolve?name=gw.example&region=region&zone=a")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl-s"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil || !slices.Contains(body.Addresses, h.front) {
		return 0, false
	}
	return time.Duration(keepFactor * body.TTL * float64(time.Second)), true
}

// playStop stops a host while clients use its address from a look-up that still named it: some send the first request on a connection
// that they have opened before, and some send one behind another that is still being answered.
func playStop(rec *recorder, root string, trouble bool) (int, error) {
	f, err := newFleet(rec, root, nil, "a", "a", "a", "a", "a", "b", "b", "b", "b", "b", "c", "c", "c")
	defer f.close()
	if err != nil {
		return 0, err
	}
	f.oneCore = true
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
	for i, zone := range []string{"a", "b", "c", "a", "b", "c", "a", "b"} {
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
	// mayUse looks up the addresses for a client, and reports whether it may still use the host when it sends.
	mayUse := func(client string, directory *host) bool {
		sleepUntil(lookUp)
		asked := time.Now()
		keep, named := f.names(directory, h)
		f.rec.add("client %s: the directory of %s names %s: %v, to be kept for %d ms at most", client, directory.name, h.name, named, keep.Milliseconds())
		return named && asked.Add(keep).After(stopAt.Add(send+50*time.Millisecond))
	}
	for i, directory := range f.hosts[1:] {
		group.Go(func() {
			id := fmt.Sprintf("first-%d", i+1)
			if !mayUse(id, directory) {
				return
			}
			sleepUntil(connect)
			conn, err := net.DialTimeout("tcp", h.front, time.Second)
			if err != nil {
				f.rec.add("client: no connection: %v", err)
				return
			}
			defer conn.Close()
			sleepUntil(send)
			a := attempt{id: id, method: "POST", host: "gw.example", uri: fmt.Sprintf("/command/long%d", i), timeout: 6 * time.Second, body: "threshold"}
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
			ahead := attempt{id: fmt.Sprintf("ahead-%d", i+1), method: "GET", host: "gw.example", uri: fmt.Sprintf("/reading/%d", i), timeout: 6 * time.Second}
			behind := attempt{id: fmt.Sprintf("behind-%d", i+1), method: "GET", host: "gw.example", uri: fmt.Sprintf("/reading/long%d", i), timeout: 6 * time.Second}
			if !mayUse(behind.id, directory) {
				return
			}
			sleepUntil(connect)
			conn, err := net.DialTimeout("tcp", h.front, time.Second)
			if err != nil {
				f.rec.add("client: no connection: %v", err)
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			first, second := answer{id: ahead.id}, answer{id: behind.id}
			sentFirst := time.Now()
			if _, err := conn.Write(ahead.bytes()); err != nil {
				return
			}
			f.rec.add("client: %s sent to %s: %s %s", ahead.id, h.name, ahead.method, ahead.uri)
			sleepUntil(send)
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
