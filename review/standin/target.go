//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// target is a server of a service. It speaks HTTP/1.1 as PROTOCOL.md tells, one request at a time on a connection.
type target struct {
	fleet                        *fleet
	name, service, zone, address string
	slots, queue                 int
	work                         time.Duration
	// answer makes the answer to a request that has run; nil means a short one.
	answer   func(t *target, c *call)
	listener net.Listener
	free     chan struct{}
	mu       sync.Mutex
	running  int
	waiting  int
	sequence int
	born     int64
	conns    map[net.Conn]bool
}

// call is one request at a target.
type call struct {
	id     string
	method string
	uri    string
	header http.Header
	body   []byte
	conn   net.Conn
	// keep is cleared if the connection ends with the answer.
	keep bool
	// arrived is when the request had arrived.
	arrived time.Time
}

// addTarget starts a target and registers it in the store.
func (f *fleet) addTarget(name, service, zone string, work time.Duration, answer func(*target, *call)) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t := &target{fleet: f, name: name, service: service, zone: zone, address: l.Addr().String(), slots: 3, queue: 6, work: work, answer: answer, listener: l,
		free: make(chan struct{}, 3), born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	f.targets = append(f.targets, t)
	go t.serve()
	t.register("ready")
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				t.register("ready")
			case <-f.ctx.Done():
				return
			}
		}
	}()
	return nil
}

// register writes the entry of the target, as it does with each heartbeat.
func (t *target) register(state string) {
	t.mu.Lock()
	t.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": t.slots, "state": state, "warmup-left-ms": 0, "sequence": t.sequence, "born": t.born,
	})
	t.mu.Unlock()
	t.fleet.store.Put("servers/"+t.name, value)
}

func (t *target) close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *target) serve() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		go func() {
			if p := t.fleet.partition; p == nil || p.admits(conn, t.zone) {
				t.serveConn(conn)
				if p != nil {
					p.forget(conn)
				}
			}
			_ = conn.Close()
			t.mu.Lock()
			delete(t.conns, conn)
			t.mu.Unlock()
		}()
	}
}

// load returns the value of the load header.
func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, t.slots)
}

func (t *target) serveConn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", t.name, t.load()); err != nil {
				return
			}
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c := &call{id: r.Header.Get("X-Attempt-Id"), method: r.Method, uri: r.RequestURI, header: r.Header, body: body, conn: conn, keep: true, arrived: time.Now()}
		switch expected := r.Header.Get("X-Expect-Instance"); {
		case c.id == "":
			fmt.Fprintf(conn, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		case expected != "" && expected != t.name:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", c.id, t.name)
			continue
		}
		if !t.begin() {
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", c.id, t.load())
			t.fleet.record.add("target %s: %s not run, full", t.name, c.id)
			continue
		}
		t.fleet.record.ran(t, c)
		time.Sleep(t.work)
		t.end()
		if t.answer != nil {
			t.answer(t, c)
		} else {
			t.reply(c, http.StatusOK, []byte("done "+c.id+"\n"))
		}
		if !c.keep {
			return
		}
	}
}

// begin waits for a slot; it returns false if the queue is full.
func (t *target) begin() bool {
	t.mu.Lock()
	if t.waiting >= t.queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	t.free <- struct{}{}
	t.mu.Lock()
	t.waiting--
	t.running++
	t.mu.Unlock()
	return true
}

func (t *target) end() {
	<-t.free
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
}

// hashOf returns a short hash.
func hashOf(data []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}

// head returns the head of an answer with a body of known length, and its seal.
func (t *target) head(c *call, status int, body []byte) (head, seal string) {
	seal = fmt.Sprintf("%s.%d.%s", t.name, len(body), hashOf(body))
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\nX-Server-Load: %s\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), c.id, seal, t.load(), len(body)), seal
}

// reply sends a whole answer.
func (t *target) reply(c *call, status int, body []byte) {
	head, seal := t.head(c, status, body)
	t.fleet.record.answered(t, c, status, seal, body, true)
	buffers := net.Buffers{[]byte(head), body}
	if _, err := buffers.WriteTo(c.conn); err != nil {
		c.keep = false
	}
}

// breakOff sends the head and the first n bytes of an answer, and ends the connection.
func (t *target) breakOff(c *call, status int, body []byte, n int) {
	head, seal := t.head(c, status, body)
	t.fleet.record.answered(t, c, status, seal, body, false)
	t.fleet.record.add("target %s: breaks off its answer to %s after %d of %d bytes", t.name, c.id, n, len(body))
	buffers := net.Buffers{[]byte(head), body[:n]}
	_, _ = buffers.WriteTo(c.conn)
	c.keep = false
}

// pattern is what large bodies are made of.
var pattern = func() []byte {
	random := rand.NewChaCha8([32]byte{1})
	p := make([]byte, 8<<20)
	_, _ = random.Read(p)
	return p
}()

// fill returns a body of n bytes that begins with the ID and differs from that of any other request.
func fill(id string, n int) []byte {
	body := make([]byte, 0, n)
	body = append(body, id[:min(n, len(id))]...)
	start := int(xxhash.Sum64String(id) % uint64(len(pattern)))
	for len(body) < n {
		part := pattern[start:min(len(pattern), start+n-len(body))]
		body = append(body, part...)
		start = 0
	}
	return body
}
