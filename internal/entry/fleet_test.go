package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"briarcroft/internal/caller"
	"briarcroft/internal/fakenet"
	"briarcroft/internal/note"
	"briarcroft/internal/platform"
	"briarcroft/internal/platform/standin"
	"briarcroft/internal/settings"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// fleet is a set of entry hosts, backend servers and a fake platform store on an in-memory network, in virtual time.
type fleet struct {
	is             *is.I
	net            *fakenet.Network
	store          *standin.Server
	archive        *note.Archive
	nodes          map[string]*node
	order          []string
	servers        []*http.Server
	closers        []func()
	adjustSettings func(*settings.Settings)
	serving        sync.WaitGroup
}

// node is an entry host of a fleet with its addresses and the functions that end it.
type node struct {
	host          *Host
	listen, inner string
	domain        string
	stop, force   context.CancelFunc
	done          chan error
	close         func()
}

// Address of the fake platform store.
const (
	storeAddress = "10.1.0.1:2379"
	storeURL     = "http://" + storeAddress
)

// withFleet runs a test in virtual time on a fleet that has a platform store but no hosts yet.
func withFleet(t *testing.T, run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{is: is.New(t), net: fakenet.New(), store: standin.New(), nodes: map[string]*node{}}
		f.serve("store", storeAddress, f.store)
		client, closeClient := f.openStore("operator")
		f.closers = append(f.closers, closeClient)
		f.archive = note.NewArchive(note.ArchiveConfig{Store: client})
		defer f.close()
		run(f)
	})
}

func (f *fleet) openStore(node string) (*platform.Etcd, func()) {
	return platform.NewEtcd(platform.EtcdConfig{URL: storeURL, Timeout: time.Second, Dial: f.net.Dialer(node)})
}

// serve runs an HTTP server of a node and returns its address.
func (f *fleet) serve(node, address string, handler http.Handler) string {
	l := f.net.Listen(node, address)
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	f.serving.Go(func() { _ = server.Serve(l) })
	return l.Addr().String()
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.force()
	}
	for _, n := range f.nodes {
		<-n.done
		n.close()
	}
	for _, c := range f.closers {
		c()
	}
	f.net.CloseAll()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.serving.Wait()
	// synctest requires that handlers that are still asleep return before the test ends.
	time.Sleep(5 * time.Second)
}

// start starts an entry host. If there was a host of that name before, the new one has its addresses and failure domain.
func (f *fleet) start(name, domain string) *node {
	old := f.nodes[name]
	n := &node{domain: domain, done: make(chan error, 1)}
	if old != nil {
		n.listen, n.inner, n.domain = old.listen, old.inner, old.domain
	} else {
		f.order = append(f.order, name)
	}
	listener, innerListener := f.net.Listen(name, n.listen), f.net.Listen(name, n.inner)
	n.listen, n.inner = listener.Addr().String(), innerListener.Addr().String()
	s := settings.Default()
	s.Host = settings.Host{Name: name, Domain: n.domain, Region: "home", Listen: n.listen, Inner: n.inner}
	for _, other := range f.order[:min(2, len(f.order))] {
		if other != name && f.nodes[other] != nil {
			s.Peers.Seeds = append(s.Peers.Seeds, f.nodes[other].inner)
		}
	}
	if f.adjustSettings != nil {
		f.adjustSettings(&s)
	}
	store, closeStore := f.openStore(name)
	hostList, closeList := platform.NewHostList(platform.HostListConfig{URL: storeURL + "/Hosts", Timeout: time.Second, Dial: f.net.Dialer(name)})
	h, closeHost, err := New(Config{
		Settings: s, Logger: zerolog.Nop(), Store: store, HostList: hostList, Listener: listener, InnerListener: innerListener, Dial: f.net.Dialer(name),
	})
	f.is.NoErr(err)
	n.host = h
	n.close = func() { closeHost(); closeList(); closeStore() }
	var stop, force context.Context
	stop, n.stop = context.WithCancel(context.Background())
	force, n.force = context.WithCancel(context.Background())
	go func() { n.done <- h.Serve(stop, force) }()
	f.nodes[name] = n
	return n
}

// startAll starts a number of hosts spread over three failure domains, or over five, as planned for large fleets, if there
// are more than 30 hosts.
func (f *fleet) startAll(count int) {
	domains := []string{"a", "b", "c"}
	if count > 30 {
		domains = append(domains, "d", "e")
	}
	for i := range count {
		f.start(fmt.Sprintf("entry-%d", i+1), domains[i%len(domains)])
	}
}

// crash ends a host and its connections without a graceful stop, as when its machine fails.
func (f *fleet) crash(name string) {
	n := f.nodes[name]
	f.net.Crash(name)
	n.force()
	<-n.done
	n.close()
	f.net.Crash(name)
}

// stop stops a host gracefully and waits until it has ended.
func (f *fleet) stop(name string) error {
	n := f.nodes[name]
	n.stop()
	err := <-n.done
	n.close()
	return err
}

// remove removes a host that has ended from the fleet.
func (f *fleet) remove(name string) { delete(f.nodes, name) }

// publish publishes a note to the store and returns its number.
func (f *fleet) publish(content string) int {
	n, err := note.Parse("note", []byte(content))
	f.is.NoErr(err)
	r, err := f.archive.Publish(context.Background(), n, fmt.Sprint(rand.Uint64()), time.Now())
	f.is.NoErr(err)
	return r.Number
}

// awaitNote waits until every host is ready and has the note in force, and returns how long that took.
func (f *fleet) awaitNote(number int, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		pending := 0
		for _, n := range f.nodes {
			if n.host.NoteNumber() < number || !n.host.Ready() {
				pending++
			}
		}
		if pending == 0 {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.is.Fail() // a host is not ready or does not have the note in force in time
	return limit
}

// awaitPeers waits until every host has all hosts as live in its membership table.
func (f *fleet) awaitPeers(limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		complete := true
		for _, n := range f.nodes {
			complete = complete && len(n.host.membership.Live(n.host.now())) == len(f.nodes)
		}
		if complete {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.is.Fail() // a host does not have all hosts in its membership table in time
	return limit
}

// newCaller returns a client of the fleet, with the addresses of all hosts as its seeds.
func (f *fleet) newCaller(seed uint64) *caller.Client {
	var seeds []string
	for _, name := range f.order {
		if n := f.nodes[name]; n != nil {
			seeds = append(seeds, n.listen)
		}
	}
	c, closeCaller := caller.New(caller.Config{Seeds: seeds, Domain: "a", Seed: seed, Dial: f.net.Dialer("caller")})
	f.closers = append(f.closers, closeCaller)
	return c
}

// fakeBackend is a backend server that responds through handler, which counts the requests that it ran with recordRun.
type fakeBackend struct {
	name    string
	mu      sync.Mutex
	runs    map[string]int
	total   int
	handler func(b *fakeBackend, w http.ResponseWriter, r *http.Request, body string)
	address string
}

func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/Report" {
		return
	}
	b.handler(b, w, r, string(content))
}

// recordRun counts a run of a request, in total and by Idempotency-Key.
func (b *fakeBackend) recordRun(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.Header.Get("Idempotency-Key")]++
	b.total++
}

func (b *fakeBackend) totalRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

func (b *fakeBackend) runsWithKey(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// echo is a backend handler that takes 5 ms and responds with method, path and body of the request.
func echo(b *fakeBackend, w http.ResponseWriter, r *http.Request, body string) {
	b.recordRun(r)
	time.Sleep(5 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

// backends starts backend servers and returns them with the text of a first note that has them as targets of service s.
func (f *fleet) backends(count int, handler func(b *fakeBackend, w http.ResponseWriter, r *http.Request, body string)) ([]*fakeBackend, string) {
	var backends []*fakeBackend
	var b strings.Builder
	b.WriteString("[Note]\nFollows = 0\nOperator = test\nReason = first\n[Service s]\nReportPath = /Report\n" +
		"[Rule read]\nPath = /\nService = s\nClass = read\nDeadline = 2s\nNotRunStatuses = 503\n")
	for i := range count {
		fake := &fakeBackend{name: fmt.Sprintf("target-%d", i+1), runs: map[string]int{}, handler: handler}
		fake.address = f.serve(fake.name, "", fake)
		backends = append(backends, fake)
		fmt.Fprintf(&b, "[Target %s]\nService = s\nAddress = %s\nDomain = a\n", fake.name, fake.address)
	}
	return backends, b.String()
}

// send sends one request to a host on a new connection and returns the response with its body.
func (f *fleet) send(host *node, method, path, body string, header map[string]string) (*http.Response, string, error) {
	transport := &http.Transport{DialContext: f.net.Dialer("caller"), DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequest(method, "http://"+host.listen+path, strings.NewReader(body))
	f.is.NoErr(err)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	content, err := io.ReadAll(response.Body)
	return response, string(content), errors.Join(err, response.Body.Close())
}
