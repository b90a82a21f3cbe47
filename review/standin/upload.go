//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case upload.
const (
	uploadHosts = 3
	// uploadClients send uploads all the time, and burstClients in addition during a burst of 1.7 times that traffic.
	uploadClients = 81
	burstClients  = 56
	// uploadBytes is the size of a body, sent in chunks during uploadTime; uploadPause is the mean pause between two uploads.
	uploadBytes    = 4 << 20
	uploadTime     = 2 * time.Second
	uploadPause    = 300 * time.Millisecond
	uploadDeadline = 2500 * time.Millisecond
	orderClients   = 30
	burstLength    = 3 * time.Second
	burstGap       = 5 * time.Second
	burstTimes     = 11
)

// playUpload: clients upload batches in chunks, within the limits of the config, while others place orders on kept connections. In a
// burst more clients upload. The platform kills a process that exceeds its memory, and starts it again.
func playUpload(f *fleet, trouble bool) error {
	f.writeConfig([]route{
		{Name: "batches", Host: "shop.example", Prefix: "/batches/", Kind: "unsafe", Timeout: int(uploadDeadline.Milliseconds()), Goal: 4000, Priority: 2, Service: "mottak", Attempts: 2},
		{Name: "orders", Host: "shop.example", Prefix: "/orders/", Kind: "unsafe", Timeout: 2500, Goal: 300, Priority: 1, Service: "ordrecaisse", Attempts: 2},
	}, []string{"mottak", "ordrecaisse"})
	for i := range 13 {
		service, work := "mottak", 130*time.Millisecond
		if i >= 6 {
			service, work = "ordrecaisse", 120*time.Millisecond
		}
		if err := f.addTarget(fmt.Sprintf("i-%04x", 0x1000+i), service, zones[i%3], work, nil); err != nil {
			return err
		}
	}
	if err := f.addHosts(uploadHosts); err != nil {
		return err
	}
	end := time.Now().Add(burstTimes * (burstGap + burstLength))
	var clients, platform sync.WaitGroup
	for _, h := range f.hosts {
		platform.Go(func() { h.limitMemory(end) })
	}
	for range orderClients {
		clients.Go(func() { f.orderClient(end) })
	}
	for range uploadClients {
		clients.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(uploadTime))))
			f.uploadClient(end)
		})
	}
	for range burstTimes {
		time.Sleep(burstGap)
		if trouble {
			f.record.add("burst begins")
			for range burstClients {
				clients.Go(func() { f.uploadClient(time.Now().Add(burstLength)) })
			}
		}
		time.Sleep(burstLength)
	}
	clients.Wait()
	platform.Wait()
	for _, h := range f.hosts {
		f.record.count("most memory of "+h.name+" in MiB", int(h.mostMemory>>20))
	}
	f.record.mu.Lock()
	lost := f.record.counts["orders lost"]
	f.record.mu.Unlock()
	if lost > 3 {
		f.record.breaks("LOST: %d orders on kept connections were passed on to sound targets, and their connections closed without an answer", lost)
	}
	return nil
}

// limitMemory does what the platform does with a process that exceeds memory-mb: it kills it, and starts it again after a short delay.
func (h *host) limitMemory(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
		used := h.memory()
		h.mostMemory = max(h.mostMemory, used)
		if used <= memoryLimit {
			continue
		}
		h.fleet.record.add("platform: host %s has %d MiB, over the limit of %d MiB, and is killed", h.name, used>>20, memoryLimit>>20)
		h.fleet.record.count("processes over their memory", 1)
		h.signal(syscall.SIGKILL)
		<-h.exited
		time.Sleep(time.Second)
		if h.start() != nil || h.waitReady(10*time.Second) != nil {
			return
		}
	}
}

// findHost returns a host that a directory names to a client, or nil.
func (f *fleet) findHost() *host {
	hosts := f.resolve(f.hosts[rand.IntN(len(f.hosts))], zones[rand.IntN(len(zones))])
	if len(hosts) == 0 {
		time.Sleep(100 * time.Millisecond)
		return nil
	}
	return hosts[rand.IntN(len(hosts))]
}

// uploadClient uploads one batch after the other until the end, each on a new connection.
func (f *fleet) uploadClient(end time.Time) {
	chunk := bytes.Repeat([]byte("batch "), 16<<10/6)
	time.Sleep(time.Duration(rand.Int64N(int64(uploadPause))))
	for time.Now().Before(end) {
		h := f.findHost()
		if h == nil {
			continue
		}
		c, err := connect(h.front)
		if err != nil {
			continue
		}
		id, start, n := newID(), time.Now(), 0
		f.record.add("client: uploads %s at %s", id, h.name)
		_, err = fmt.Fprintf(c, "POST /batches/%x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", rand.Uint32(), id, uploadDeadline.Milliseconds())
		for ; err == nil && n < uploadBytes; n += len(chunk) {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk)
			time.Sleep(time.Until(start.Add(time.Duration(float64(n) / uploadBytes * float64(uploadTime)))))
		}
		if err == nil {
			_, err = fmt.Fprintf(c, "0\r\n\r\n")
		}
		r := reply{err: err}
		if err == nil {
			r = c.read(http.MethodPost, start.Add(uploadDeadline))
		}
		f.record.count("uploads", 1)
		f.record.add("client: upload %s ends with status %d, error %v", id, r.status, r.err)
		if r.status == http.StatusOK {
			f.record.count("uploads answered", 1)
		}
		_ = c.Close()
		time.Sleep(time.Duration(rand.Int64N(int64(2 * uploadPause))))
	}
}

// orderClient places one order after the other on a kept connection, and asks a directory again each second.
func (f *fleet) orderClient(end time.Time) {
	for time.Now().Before(end) {
		h := f.findHost()
		if h == nil {
			continue
		}
		c, err := connect(h.front)
		if err != nil {
			continue
		}
		resolved := time.Now()
		for kept := false; time.Now().Before(end); kept = true {
			if time.Since(resolved) > time.Second {
				if hosts := f.resolve(f.hosts[rand.IntN(len(f.hosts))], zones[0]); len(hosts) > 0 && !slices.Contains(hosts, h) {
					break
				}
				resolved = time.Now()
			}
			if !f.order(c, h, kept) {
				break
			}
			time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
		}
		_ = c.Close()
	}
}

// order places one order and returns false if the connection has ended.
func (f *fleet) order(c *connection, h *host, kept bool) bool {
	a := ask{id: newID(), method: http.MethodPost, host: "shop.example", path: fmt.Sprintf("/orders/%x", rand.Uint32()), body: bytes.Repeat([]byte("o"), 1200), deadline: 2500 * time.Millisecond}
	until := time.Now().Add(a.deadline)
	f.record.add("client: orders %s at %s, connection kept: %v", a.id, h.name, kept)
	if _, err := c.Write(a.bytes()); err != nil {
		return false
	}
	r := c.read(a.method, until)
	f.record.count("orders", 1)
	f.record.add("client: order %s ends with status %d, error %v", a.id, r.status, r.err)
	switch runs := f.record.runsOf(a.id); {
	case r.err == nil:
		f.record.count("orders answered", 1)
	case kept && len(runs) > 0 && time.Now().Before(until):
		f.record.add("client: order %s was passed on to %v and its connection closed without an answer", a.id, runs)
		f.record.count("orders lost", 1)
	}
	return !r.closes()
}
