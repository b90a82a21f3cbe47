package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarcroft/platform/standin"

	"github.com/matryer/is"
)

// Timeouts of the fleet.
const (
	// waitTimeout limits each wait for something that must happen. Exceeding it is always a failure.
	waitTimeout = 30 * time.Second
	// stopTimeout is how long a host may take to stop gracefully, as set in its settings.
	stopTimeout = 4 * time.Second
)

// Paths of requests that are handled in a special way by backend servers.
const (
	// crashPath is the path of the request that breaks the connection of each backend server that runs it.
	crashPath = "/lookup/crash"
	// largePath is the path of requests whose responses have largeBytes further bytes, more than hosts hold back.
	largePath  = "/lookup/large"
	largeBytes = 3 << 19
	// longPath is the path of requests that take longDuration.
	longPath     = "/long/1"
	longDuration = 2500 * time.Millisecond
)

// fleet is a set of entry hosts that run as processes, with a store and backend servers that run in the test process.
type fleet struct {
	t  *testing.T
	is *is.I
	// binary returns the program for a start of a host, counted from 0.
	binary  func(host, start int) string
	dir     string
	store   *standin.Store
	hosts   []*process
	targets []*backendServer
	client  *http.Client
	start   time.Time
	// traceLock guards violations and events.
	traceLock sync.Mutex
	// violations lists the violated guarantees, and events what happened, each with the time since start.
	violations, events []string
}

// backendServer is one backend server with the relay through which the hosts reach it.
type backendServer struct {
	*standin.Target
	relay *relay
}

// buildBinary builds the program in a directory of its source, and returns its path.
func buildBinary(t *testing.T, source string) string {
	binary := filepath.Join(t.TempDir(), "briarcroft")
	build := exec.Command("go", "build", "-o", binary, "./cmd/briarcroft")
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("cannot build the program: %v\n%s", err, out)
	}
	return binary
}

// checkOut checks out a commit from the history of this repository until the test ends, and returns its directory. It skips the
// test if the history lacks the commit.
func checkOut(t *testing.T, commit string) string {
	if out, err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").CombinedOutput(); err != nil {
		t.Skipf("commit %s is not in the history here: %s", commit, out)
	}
	dir := filepath.Join(t.TempDir(), "source")
	if out, err := exec.Command("git", "worktree", "add", "--detach", dir, commit).CombinedOutput(); err != nil {
		t.Fatalf("cannot check out %s: %v\n%s", commit, err, out)
	}
	t.Cleanup(func() {
		if out, err := exec.Command("git", "worktree", "remove", "--force", dir).CombinedOutput(); err != nil {
			t.Errorf("cannot remove the worktree of %s: %v\n%s", commit, err, out)
		}
	})
	return dir
}

// releasePlans tell by name which hosts run the older of two releases, by the host's index and the number of its start.
var releasePlans = map[string]func(host, start int) bool{
	"upgrade":  func(_, start int) bool { return start == 0 },
	"rollback": func(_, start int) bool { return start > 0 },
	"back":     func(_, start int) bool { return start%2 == 0 },
	"half":     func(host, _ int) bool { return host%2 == 0 },
}

// newFleet starts the store, the backend servers and the hosts, and waits until every host is ready.
func newFleet(t *testing.T, binary func(host, start int) string, hosts, targets int) *fleet {
	f := &fleet{t: t, is: is.New(t), binary: binary, dir: t.TempDir(), start: time.Now(), store: standin.New(), client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: waitTimeout,
	}}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		for _, violation := range f.violations {
			t.Error(violation)
		}
	})
	f.writeConfiguration(1)
	for i := range targets {
		f.addTarget(fmt.Sprintf("t%d", i))
	}
	for i := range hosts {
		f.addHost(fmt.Sprintf("h%d", i), []string{"a", "b", "c"}[i%3])
	}
	for _, p := range f.hosts {
		f.startProcess(p)
	}
	for _, p := range f.hosts {
		f.waitReady(p)
	}
	return f
}

// startRelay starts a relay that is closed when the test ends.
func (f *fleet) startRelay(upstream string) *relay {
	r, err := newRelay(upstream)
	f.is.NoErr(err)
	f.t.Cleanup(r.close)
	return r
}

// startServer serves a handler until the test ends and returns the server's address.
func (f *fleet) startServer(h http.Handler) string { return f.closeLater(httptest.NewServer(h)) }

// closeLater closes a server when the test ends and returns the server's address.
func (f *fleet) closeLater(s *httptest.Server) string {
	f.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

func (f *fleet) addTarget(name string) {
	s := &backendServer{Target: standin.NewTarget(name)}
	s.CrashPath, s.LargePath, s.LargeBytes, s.LongPath, s.LongDuration = crashPath, largePath, largeBytes, longPath, longDuration
	s.BodySums, s.Responses = map[string]uint32{}, map[string]time.Time{}
	server := httptest.NewUnstartedServer(s.Target)
	server.Config.ConnContext = s.ConnContext
	// The faults break connections in the middle of responses.
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	s.relay = f.startRelay(f.closeLater(server))
	s.Address = s.relay.address()
	f.targets = append(f.targets, s)
	f.register(s, "ready")
}

func (f *fleet) register(s *backendServer, state string) {
	f.store.Put("servers/"+s.Name, s.StoreValue("stock", state))
}

// writeConfiguration writes a version of the configuration to the store. Each version adds one route to the previous
// one, so every request that a version allows is allowed by all later ones too.
func (f *fleet) writeConfiguration(version int) {
	rule := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "www.example", "prefix": prefix, "kind": kind, "timeout-ms": 2000, "latency-goal-ms": 800,
			"priority": 2, "service": "stock", "max-attempts": 2}
	}
	long := rule("long", "/long/", "unsafe")
	long["timeout-ms"] = longLimit.Milliseconds()
	rules := []any{rule("lookup", "/lookup/", "safe"), rule("order", "/order/", "unsafe"), long}
	for v := 2; v <= version; v++ {
		rules = append(rules, rule(fmt.Sprintf("v%d", v), fmt.Sprintf("/v%d/", v), "safe"))
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": rules,
		"services": []any{map[string]any{"name": "stock", "health-path": "/health", "max-connections": 100}},
		"limits":   map[string]any{"max-header-bytes": 4096, "max-body-bytes": 1 << 20, "header-timeout-ms": 2000, "idle-timeout-ms": 15000},
	})
	f.is.NoErr(err)
	f.store.Put("op/config", value)
}

// Numbering of the loopback addresses of hosts.
const (
	firstPort        = 7100
	addressesPerPort = 250
)

// addressCount is the number of addresses that this test process has allocated.
var addressCount atomic.Int32

// allocateAddress returns a loopback address and port that nothing else uses, even while the host is down: outgoing
// connections get local ports of 127.0.0.1 only, and the process ID keeps the addresses of concurrent soak tests apart.
func allocateAddress() string {
	n, pid := int(addressCount.Add(1)), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid%128, pid/128%256, 1+n%addressesPerPort, firstPort+n/addressesPerPort)
}

// addHost allocates the addresses of a host, starts its relays and writes its settings file.
func (f *fleet) addHost(name, domain string) {
	p := &process{name: name, listen: allocateAddress(), ready: allocateAddress(), directory: allocateAddress(), settingsFile: filepath.Join(f.dir, name+".ini")}
	inner := allocateAddress()
	p.peerRelay, p.storeRelay = f.startRelay(inner), f.startRelay(f.startServer(f.store.HandlerFor(name)))
	seeds := ""
	if len(f.hosts) > 0 {
		seeds = "[Peers]\nSeeds = " + f.hosts[0].peerRelay.address() + "\n"
	}
	p.settings = fmt.Sprintf("[Host]\nName = %s\nDomain = %s\nListen = %s\nInner = %s\nAnnounced = %s\nReady = %s\nDirectory = %s\n"+
		"[Platform]\nKind = Native\nStore = http://%s\nTimeout = 1s\n%s[Limits]\nStopTimeout = %v\nAddressMaxAge = 1s\n",
		name, domain, p.listen, inner, p.peerRelay.address(), p.ready, p.directory, p.storeRelay.address(), seeds, stopTimeout)
	f.is.NoErr(os.WriteFile(p.settingsFile, []byte(p.settings), 0o600))
	f.hosts = append(f.hosts, p)
}

// reply is what a caller receives for one request: a response or an error.
type reply struct {
	status     int
	body, seal string
	err        error
}

// call sends one request to a host and reads the response. It reuses open connections.
func (f *fleet) call(p *process, method, path, id string) reply {
	r, err := http.NewRequest(method, "http://"+p.listen+path, nil)
	f.is.NoErr(err)
	r.Host = "www.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "2000")
	response, err := f.client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, string(body), response.Header.Get("X-Response-Seal"), err}
}

// runCount returns how many times the backend servers ran a request, all together.
func (f *fleet) runCount(id string) int {
	sum := 0
	for _, s := range f.targets {
		sum += s.RunCount(id)
	}
	return sum
}

// arrivalCount returns how many times the backend servers received a request, all together.
func (f *fleet) arrivalCount(id string) int {
	sum := 0
	for _, s := range f.targets {
		sum += s.ArrivalCount(id)
	}
	return sum
}

// trace records an event for the trace that is kept with the logs of a failed run.
func (f *fleet) trace(format string, arguments ...any) {
	f.traceLock.Lock()
	defer f.traceLock.Unlock()
	f.events = append(f.events, fmt.Sprintf("%8.3f ", time.Since(f.start).Seconds())+fmt.Sprintf(format, arguments...))
}

// reportViolation records a violated guarantee. The format begins with the guarantee's name in capitals.
func (f *fleet) reportViolation(format string, arguments ...any) {
	violation := fmt.Sprintf(format, arguments...)
	f.trace("VIOLATION %s", violation)
	f.traceLock.Lock()
	defer f.traceLock.Unlock()
	f.violations = append(f.violations, violation)
}
