//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Sizes and times of the case pipeline.
const (
	pipelineHosts   = 6
	pipelineClients = 10
	pipelineDepth   = 4
	// packBytes is the mean size of an answer.
	packBytes = 3 << 20
	// troubleLength is for how long targets break off answers each time, troubleTimes how often, and troubleGap the time between.
	troubleLength = 5500 * time.Millisecond
	troubleGap    = 1500 * time.Millisecond
	troubleTimes  = 14
	// faultyTargets of the six targets break off brokenShare of their answers.
	faultyTargets = 2
	brokenShare   = 0.02
)

// playPipeline: clients send several requests for large answers ahead on one connection, while targets break off some answers.
func playPipeline(f *fleet, trouble bool) error {
	var mu sync.Mutex
	broken := map[string]bool{}
	answer := func(t *target, c *call) {
		size := packBytes/2 + rand.IntN(packBytes)
		body := fill(c.id, size)
		mu.Lock()
		breaks := broken[t.name] && rand.Float64() < brokenShare
		mu.Unlock()
		if breaks {
			f.record.count("answers broken off", 1)
			t.breakOff(c, http.StatusOK, body, rand.IntN(size))
			return
		}
		t.reply(c, http.StatusOK, body)
	}
	f.writeConfig([]route{
		{Name: "packs", Host: "shop.example", Prefix: "/packs/", Kind: "download", Goal: 300, Priority: 2, Service: "planodepot", Attempts: 2},
		{Name: "views", Host: "shop.example", Prefix: "/views/", Kind: "safe", Goal: 300, Priority: 2, Service: "planodepot", Attempts: 2},
	}, []string{"planodepot"})
	for i := range 6 {
		if err := f.addTarget(fmt.Sprintf("i-%04x", 0x1000+i), "planodepot", zones[i%3], 72*time.Millisecond, answer); err != nil {
			return err
		}
	}
	if err := f.addHosts(pipelineHosts); err != nil {
		return err
	}
	end := time.Now().Add(troubleTimes * (troubleLength + troubleGap))
	var clients sync.WaitGroup
	for n := range pipelineClients {
		clients.Go(func() { f.pipelineClient(zones[n%3], []string{"packs", "views"}[n%2], end) })
	}
	for range troubleTimes {
		time.Sleep(troubleGap)
		mu.Lock()
		for _, t := range f.targets[:faultyTargets] {
			broken[t.name] = trouble
		}
		mu.Unlock()
		f.record.add("garble begins: %v", trouble)
		time.Sleep(troubleLength)
		mu.Lock()
		clear(broken)
		mu.Unlock()
		f.record.add("garble ends")
	}
	clients.Wait()
	return nil
}

// pipelineClient sends requests ahead on one connection until the end, and opens a new one whenever it is closed.
func (f *fleet) pipelineClient(zone, prefix string, end time.Time) {
	for time.Now().Before(end) {
		hosts := f.resolve(f.hosts[rand.IntN(len(f.hosts))], zone)
		if len(hosts) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c, err := connect(hosts[rand.IntN(len(hosts))].front)
		if err != nil {
			continue
		}
		for time.Now().Before(end) && f.pipeline(c, prefix) {
			time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
		}
		_ = c.Close()
	}
}

// pipeline sends some requests ahead and reads their answers in order. It returns false if the connection has ended.
func (f *fleet) pipeline(c *connection, prefix string) bool {
	var asks []ask
	for range pipelineDepth {
		a := ask{id: newID(), method: http.MethodGet, host: "shop.example", path: fmt.Sprintf("/%s/%x", prefix, rand.Uint32()), deadline: 4 * time.Second}
		asks = append(asks, a)
		f.record.add("client: sends %s", a.id)
		if _, err := c.Write(a.bytes()); err != nil {
			return false
		}
	}
	f.record.count("requests", len(asks))
	until := time.Now().Add(4 * time.Second)
	for _, a := range asks {
		r := c.read(a.method, until)
		f.record.add("client: %s gets status %d, %d bytes, error %v", a.id, r.status, len(r.body), r.err)
		if r.err == nil && r.status == http.StatusOK {
			f.record.count("whole answers", 1)
		}
		f.checkMixed(a, r)
		if r.closes() {
			return false
		}
	}
	return true
}
