//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCannotRun marks failures of the case itself, which end it with exit code 2.
var errCannotRun = errors.New("the case cannot run")

// recorder writes record.txt: what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(name string) (*recorder, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// store is a stand-in of the platform's metadata store, by PROTOCOL.md, for one prefix of all keys.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key and returns when the store has accepted it, which is the ack.
func (s *store) put(key string, value any) time.Time {
	encoded, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, encoded)
	return time.Now()
}

func (s *store) write(key string, value []byte) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

func (s *store) delete(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.mu.Lock()
		i, found := s.items[q.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": 0, "as-of": asOf})
	case "/api/kv-range":
		s.mu.Lock()
		items := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				items = append(items, i)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		reply(w, map[string]any{"items": items, "has-more": false, "as-of": asOf})
	case "/api/kv-watch":
		s.watch(w, r)
	case "/api/kv-txn":
		var t struct {
			Precondition []struct {
				Key      string `json:"key"`
				Revision int64  `json:"revision"`
			} `json:"precondition"`
			SetKeys []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"set-keys"`
			DeleteKeys []string `json:"delete-keys"`
		}
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, p := range t.Precondition {
			if s.items[p.Key].Revision != p.Revision {
				w.WriteHeader(http.StatusPreconditionFailed)
				reply(w, map[string]any{"items": []item{}})
				return
			}
		}
		for _, k := range t.SetKeys {
			if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
				w.WriteHeader(http.StatusForbidden)
				return
			}
			s.write(k.Key, k.Value)
		}
		for _, k := range t.DeleteKeys {
			s.delete(k)
		}
		reply(w, map[string]any{"revision": s.revision})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": events, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// started holds the processes that were started, to be ended if the case is broken off.
var started struct {
	mu        sync.Mutex
	processes []*os.Process
}

// endAll ends the processes that are still there.
func endAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		// One that has ended already gives an error.
		_ = p.Kill()
	}
}

// host is one entry host, a process of the program.
type host struct {
	name, ip, front, ready, control, directory, boot string
	command                                          *exec.Cmd
	ended                                            chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *recorder
	dir      string
	root     string
	store    *store
	url      string
	hosts    []*host
	targets  []*target
	closers  []func()
	settings map[string]string
	oneCore  bool
}

// placeholder matches what the template of the settings contains.
var section = regexp.MustCompile(`(?s)\{\{#([a-z.-]+)\}\}(.*?)\{\{/([a-z.-]+)\}\}`)
var field = regexp.MustCompile(`\{\{([a-z.-]+)\}\}`)

// render fills in the template of the settings as DEPLOY.md describes.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(match string) string {
		parts := section.FindStringSubmatch(match)
		if v, found := values[parts[1]]; !found || v == "false" {
			return ""
		}
		return parts[2]
	})
	return field.ReplaceAllStringFunc(template, func(match string) string {
		return values[strings.Trim(match, "{}")]
	})
}

// freeAddress returns an address on an IP that nothing listens on.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newFleet starts a store and prepares hosts with the settings that the pages show.
func newFleet(rec *recorder, root string, settings map[string]string, zones ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, root: root, store: newStore(), settings: settings}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(dir) })
	net2, net3 := 64+rand.IntN(100), rand.IntN(250)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.250:0", net2, net3))
	if err != nil {
		return f, err
	}
	server := &http.Server{Handler: f.store}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	f.url = l.Addr().String()
	var seeds []string
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, 10+i)}
		for _, a := range []*string{&h.front, &h.ready, &h.control, &h.directory} {
			if *a, err = freeAddress(h.ip); err != nil {
				return f, err
			}
		}
		seeds = append(seeds, h.control)
		f.hosts = append(f.hosts, h)
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.ini"))
	if err != nil {
		return f, err
	}
	for i, h := range f.hosts {
		values := map[string]string{
			"node": h.name, "zone": zones[i], "region": "region", "listen.front": h.front, "listen.control": h.control, "listen.ready": h.ready,
			"listen.directory": h.directory, "ip": h.ip, "limits.cores": "1", "limits.cpu-share": "0.32", "limits.link-mbps": "1000.0",
			"limits.memory-mb": "284", "limits.max-fds": "4100", "platform.address": f.url, "seeds": strings.Join(seeds[:min(3, len(seeds))], ","),
			"bounds.grace-s": "6", "bounds.retry-budget-ratio": "0.2", "bounds.retry-window-s": "10", "bounds.retry-slack": "56", "bounds.probes-per-s": "60",
		}
		for k, v := range settings {
			values[k] = v
		}
		h.boot = filepath.Join(dir, h.name+".ini")
		if err := os.WriteFile(h.boot, []byte(render(string(template), values)), 0o600); err != nil {
			return f, err
		}
	}
	return f, nil
}

// start starts the process of a host with the command of the deploy file.
func (f *fleet) start(h *host) error {
	h.command = exec.Command(filepath.Join(f.root, "target", "briarcroft"), "serve")
	h.command.Dir = f.root
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "BRIARCROFT_BOOT=" + h.boot}
	if f.oneCore {
		// The machines of the pages have one core, and this one has more.
		h.command.Env = append(h.command.Env, "GOMAXPROCS=1")
	}
	log, err := os.Create(filepath.Join(f.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	started.mu.Lock()
	started.processes = append(started.processes, h.command.Process)
	started.mu.Unlock()
	h.ended = make(chan struct{})
	f.rec.add("%s started", h.name)
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		f.rec.add("the process of %s has ended: %v", h.name, c.ProcessState)
		_ = log.Close()
		close(ended)
	}(h.command, h.ended)
	return nil
}

// startAll starts all hosts and waits until they are ready.
func (f *fleet) startAll() error {
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := f.awaitReady(h, 15*time.Second); err != nil {
			return err
		}
	}
	// The hosts have to find each other.
	time.Sleep(5 * time.Second)
	return nil
}

func (f *fleet) awaitReady(h *host, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r, err := client.Get("http://" + h.ready + "/api/readiness"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%w: %s is not ready", errCannotRun, h.name)
}

// signal sends a signal to the process of a host.
func (f *fleet) signal(h *host, s syscall.Signal) {
	f.rec.add("%v is sent to %s", s, h.name)
	_ = h.command.Process.Signal(s)
}

// close ends everything that was started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Kill()
		<-h.ended
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range f.hosts {
			content, _ := os.ReadFile(filepath.Join(f.dir, h.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, h.name+".log"), content, 0o600)
		}
	}
	for _, c := range f.closers {
		c()
	}
}

// target is a stand-in of a backend server: it has slots and a queue, and answers as PROTOCOL.md describes.
type target struct {
	rec                        *recorder
	id, service, address, zone string
	slots                      chan struct{}
	work                       func(*http.Request) time.Duration
	// loses reports whether the answer of a run is lost; nil means never.
	loses func(*http.Request) bool
	// large is the size of answers in bytes; 0 means short ones. breaksOff reports whether the answer of a run is broken off.
	large     int
	breaksOff func(*http.Request) bool
	mu        sync.Mutex
	runs      map[string]int
	// heads holds the header of each request that ran, by its attempt.
	heads                      map[string]http.Header
	uris                       map[string]string
	running, waiting, sequence int
	born                       int64
}

// addTarget starts a target and registers it.
func (f *fleet) addTarget(id, service, zone string, slots int, work func(*http.Request) time.Duration) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{
		rec: f.rec, id: id, service: service, zone: zone, address: l.Addr().String(), slots: make(chan struct{}, slots), work: work, runs: map[string]int{},
		heads: map[string]http.Header{}, uris: map[string]string{}, born: time.Now().UnixMilli(),
	}
	server := &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	f.targets = append(f.targets, t)
	t.register(f.store, "ready")
	return t, nil
}

// register writes the target's entry.
func (t *target) register(s *store, state string) {
	t.sequence++
	s.put("servers/"+t.id, map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": cap(t.slots), "state": state, "warmup-left-ms": 0,
		"sequence": t.sequence, "born": t.born,
	})
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", t.running, t.waiting, cap(t.slots)))
	t.mu.Unlock()
	w.Header().Set("X-Instance-Id", t.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	refuse := func(status int, why string) {
		t.rec.add("%s rejects %s: %s", t.id, id, why)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		refuse(http.StatusMisdirectedRequest, "another instance is expected")
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest, "no attempt id")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	full := t.waiting >= 2*cap(t.slots)
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		refuse(http.StatusServiceUnavailable, "full")
		return
	}
	left := time.Minute
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	limit := time.After(left)
	select {
	case t.slots <- struct{}{}:
	case <-limit:
		t.count(0, -1)
		refuse(http.StatusServiceUnavailable, "its time has passed in the queue")
		return
	case <-r.Context().Done():
		t.count(0, -1)
		return
	}
	defer func() { <-t.slots }()
	t.count(1, -1)
	defer t.count(-1, 0)
	t.mu.Lock()
	t.runs[id]++
	t.heads[id], t.uris[id] = r.Header.Clone(), r.RequestURI
	t.mu.Unlock()
	t.rec.add("%s begins to run %s: %s %s, %d bytes", t.id, id, r.Method, r.RequestURI, len(body))
	status, end := http.StatusOK, time.After(t.work(r))
	select {
	case <-end:
	case <-limit:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		t.rec.add("%s drops %s, whose connection was closed while it was at work", t.id, id)
		return
	}
	if t.loses != nil && t.loses(r) {
		t.rec.add("%s has run %s, and its answer is lost", t.id, id)
		panic(http.ErrAbortHandler)
	}
	t.rec.add("%s has run %s and answers %d", t.id, id, status)
	answer := "run of " + id + " at " + t.id + "\n"
	if t.large > 0 {
		answer += strings.Repeat("x", t.large)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	}
	w.Header().Set("X-Response-Seal", fmt.Sprintf("%s.%d.%d", t.id, status, len(answer)))
	w.WriteHeader(status)
	if t.breaksOff != nil && t.breaksOff(r) {
		t.rec.add("%s breaks off its answer to %s", t.id, id)
		_, _ = io.WriteString(w, answer[:len(answer)*9/10])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

func (t *target) count(running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running += running
	t.waiting += waiting
}

// answer is what a client has seen of one attempt.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// err is why there is no complete answer.
	err error
	// read is how long after the last byte of the request the answer or the end of the connection came.
	after time.Duration
}

// attempt is one request of a client.
type attempt struct {
	id, method, host, uri string
	timeout               time.Duration
	header                []string
	body                  string
}

func (a attempt) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.uri, a.host, a.id, a.timeout.Milliseconds())
	for _, line := range a.header {
		b.WriteString(line + "\r\n")
	}
	if a.body != "" || a.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	return []byte(b.String() + "\r\n" + a.body)
}

// send sends an attempt on a connection of its own and waits for the answer.
func (f *fleet) send(h *host, a attempt) answer {
	result := answer{id: a.id}
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		result.err = fmt.Errorf("no connection: %w", err)
		f.rec.add("client: no connection to %s for %s: %v", h.name, a.id, err)
		return result
	}
	defer conn.Close()
	if _, err := conn.Write(a.bytes()); err != nil {
		result.err = err
		return result
	}
	sent := time.Now()
	f.rec.add("client: %s sent to %s: %s %s", a.id, h.name, a.method, a.uri)
	_ = conn.SetReadDeadline(sent.Add(a.timeout))
	f.readAnswer(&result, bufio.NewReader(conn), a.method, sent)
	return result
}

// readAnswer reads one answer and records it.
func (f *fleet) readAnswer(result *answer, r *bufio.Reader, method string, sent time.Time) {
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		result.status, result.header, result.body = response.StatusCode, response.Header, string(body)
	}
	result.err, result.after = err, time.Since(sent)
	if err != nil {
		f.rec.add("client: %s ends without a complete answer after %d ms: %v", result.id, result.after.Milliseconds(), err)
		return
	}
	f.rec.add("client: %s is answered %d after %d ms, reason %q", result.id, result.status, result.after.Milliseconds(), result.header.Get("Briarcroft-Reason"))
}

// service and route are rows of a config in the plain form of deploy/wire.toml.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 220, "protocol": "h1", "tls": false}
}

func route(name, host, prefix, kind, service string, timeout, goal, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout-ms": timeout, "latency-goal-ms": goal, "priority": 1, "service": service, "max-attempts": attempts,
	}
}

func config(version int, routes, services, tenants []map[string]any) map[string]any {
	c := map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	return c
}
