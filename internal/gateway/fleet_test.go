package gateway_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"briarcroft/internal/fakenet"
	"briarcroft/internal/gateway"
	"briarcroft/internal/settings"
	"briarcroft/platform"
	"briarcroft/platform/standin"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// fleet is a set of gateways, backend servers and a store on an in-memory network.
type fleet struct {
	is      *is.I
	net     *fakenet.Network
	store   *standin.Store
	hosts   map[string]*node
	targets map[string]*standin.Target
	servers []*http.Server
	running sync.WaitGroup
	// cleanups close the connections of gateways and of their stores.
	cleanups    []func()
	lastAddress int
	// lastPhase numbers the calls of sendToHosts.
	lastPhase int
	// maxConnections is that of the service in configurations; 0 means 100.
	maxConnections int
	// logger is that of the gateways that start from now on.
	logger zerolog.Logger
	// accounts are the settings for client accounts of the gateways that start from now on.
	accounts settings.Accounts
	// suspended is by how much the clock of a host that counts suspension is ahead of the monotonic one.
	suspended sync.Map
	// tenants are the client accounts in the configurations that configure writes.
	tenants []tenant
	// timeLimit is how long callers wait; 0 means a second.
	timeLimit time.Duration
	// changeSettings changes the settings of gateways; it may be nil.
	changeSettings func(*settings.Settings)
	// changeConfig changes the rest of the configuration of gateways; it may be nil.
	changeConfig func(*gateway.Config)
	// failDial holds a func() error with the error of the next connection that a gateway opens; nil means none.
	failDial atomic.Value
}

// tenant is one tenant of the platform's configuration.
type tenant map[string]any

// node is one gateway with its addresses. Calling stop stops it gracefully, and force at once.
type node struct {
	gateway                         *gateway.Gateway
	name                            string
	listen, inner, ready, directory string
	stop, force                     context.CancelFunc
	done                            chan error
	// stopped is set once the gateway has been ended by crash.
	stopped atomic.Bool
}

// domainOf returns the failure domain of the i-th host, one of three.
func domainOf(i int) string { return []string{"a", "b", "c"}[i%3] }

// withFleet runs a test in virtual time (testing/synctest) with a store, a configuration, targets of one service and
// gateways, after the gateways have found each other.
func withFleet(t *testing.T, hosts, targets int, run func(f *fleet)) {
	withPreparedFleet(t, hosts, targets, func(*fleet) {}, run)
}

// withSettings does the same with gateways whose settings change has changed.
func withSettings(t *testing.T, change func(*settings.Settings), hosts, targets int, run func(f *fleet)) {
	withPreparedFleet(t, hosts, targets, func(f *fleet) { f.changeSettings = change }, run)
}

// withPreparedFleet is withFleet with changes before anything starts.
func withPreparedFleet(t *testing.T, hosts, targets int, prepare, run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{is: is.New(t), logger: zerolog.Nop(), net: fakenet.New(), store: standin.New(), hosts: map[string]*node{}, targets: map[string]*standin.Target{}}
		f.accounts = settings.Default().Accounts
		defer f.close()
		prepare(f)
		f.configure(1, safeRule("lookup", "/lookup/"), unsafeRule("order", "/order/"))
		for i := range targets {
			f.addTarget(fmt.Sprintf("t%d", i))
		}
		for i := range hosts {
			f.start(fmt.Sprintf("h%d", i), domainOf(i))
		}
		time.Sleep(4 * time.Second)
		run(f)
	})
}

// serveConns calls handle for each connection of a listener, each on a goroutine of its own, until the listener is closed.
func serveConns(l net.Listener, handle func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go handle(conn)
	}
}

// addRawTarget starts a target that is served by a function for each connection, and registers it.
func (f *fleet) addRawTarget(x *standin.Target, serveConn func(net.Conn)) {
	l := f.net.Listen(x.Name, "")
	f.cleanups = append(f.cleanups, func() { _ = l.Close() })
	x.Address = l.Addr().String()
	f.targets[x.Name] = x
	f.running.Go(func() { serveConns(l, serveConn) })
	f.register(x, "ready")
}

// sendPipeline sends requests on a new connection to a host, without waiting for responses, and returns the connection.
func (f *fleet) sendPipeline(host string, requests ...string) net.Conn {
	conn := f.dial(host)
	go func() { _, _ = io.WriteString(conn, strings.Join(requests, "")) }()
	return conn
}

func (f *fleet) close() {
	for _, n := range f.hosts {
		n.force()
	}
	for _, n := range f.hosts {
		<-n.done
	}
	for _, c := range f.cleanups {
		c()
	}
	f.net.CloseAll()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.running.Wait()
	// Handlers of targets may still be sleeping and must end before the test does.
	time.Sleep(10 * time.Second)
}

// serve starts an HTTP server on a node of the network and returns its address.
func (f *fleet) serve(node, address string, handler http.Handler) string {
	l := f.net.Listen(node, address)
	server := &http.Server{Handler: handler}
	if target, is := handler.(*standin.Target); is {
		server.ConnState = target.CountConnections
	}
	f.servers = append(f.servers, server)
	f.running.Go(func() { _ = server.Serve(l) })
	return l.Addr().String()
}

// rule is one route of the platform's configuration.
type rule map[string]any

func safeRule(name, prefix string) rule {
	return rule{"name": name, "host": "www.example", "prefix": prefix, "kind": "safe", "timeout-ms": 1000, "latency-goal-ms": 400,
		"priority": 2, "service": "stock", "max-attempts": 2}
}

func unsafeRule(name, prefix string) rule {
	r := safeRule(name, prefix)
	r["kind"] = "unsafe"
	return r
}

// configure writes a configuration to the store, as the operator does, and returns its size in bytes.
func (f *fleet) configure(version int, rules ...rule) int {
	configuration := map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": rules,
		"services": []any{map[string]any{"name": "stock", "health-path": "/health", "max-connections": cmp.Or(f.maxConnections, 100)}, map[string]any{"name": "other", "health-path": "/health", "max-connections": 100}},
		"limits":   map[string]any{"max-header-bytes": 4096, "max-body-bytes": 1 << 20, "header-timeout-ms": 2000, "idle-timeout-ms": 15000},
	}
	if f.tenants != nil {
		configuration["tenants"] = f.tenants
	}
	value, err := json.Marshal(configuration)
	f.is.NoErr(err)
	f.store.Put("op/config", value)
	return len(value)
}

// start starts a gateway; one that ran before under the same name keeps its addresses.
func (f *fleet) start(name, domain string) *node {
	n := f.hosts[name]
	if n == nil {
		n = &node{name: name}
		n.listen, n.inner, n.ready, n.directory = f.address(), f.address(), f.address(), f.address()
		f.hosts[name] = n
	}
	s := settings.Default()
	s.Host = settings.Host{Name: name, Domain: domain, Region: "home", Listen: n.listen, Inner: n.inner, Ready: n.ready, Directory: n.directory}
	s.Platform.Kind = "Native"
	s.Limits.StopTimeout, s.Limits.AddressMaxAge = 6*time.Second, time.Second
	s.Budget.ProbesPerSec = probesPerSecond
	s.Accounts = f.accounts
	if first := f.hosts["h0"]; first != nil && first != n {
		s.Peers.Seeds = []string{first.inner}
	}
	if f.changeSettings != nil {
		f.changeSettings(&s)
	}
	dialer := f.net.Dialer(name)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if fail, found := f.failDial.Load().(func() error); found {
			if err := fail(); err != nil {
				return nil, err
			}
		}
		return dialer(ctx, network, address)
	}
	storeAddress := f.serve("store", "", f.store.HandlerFor(name))
	store, closeStore := platform.NewStore(platform.StoreConfig{URL: "http://" + storeAddress, Timeout: time.Second, Dial: dialer})
	config := gateway.Config{
		Settings: s, Dialect: platform.Dialect(), Store: store, Logger: f.logger, Dial: dial,
		Listen:   func(_, address string) (net.Listener, error) { return f.net.Listen(name, address), nil },
		BootTime: func() time.Duration { return f.bootTime(name) },
	}
	if f.changeConfig != nil {
		f.changeConfig(&config)
	}
	g, closeGateway := gateway.New(config)
	stop, cancelStop := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	n.gateway = g
	n.stop, n.force, n.done = cancelStop, cancelForce, make(chan error, 1)
	f.cleanups = append(f.cleanups, func() { closeGateway(); closeStore() })
	go func() { n.done <- g.Serve(stop, force) }()
	return n
}

// bootTime reads the clock of a host that counts suspension. Those of different hosts differ by hours.
func (f *fleet) bootTime(host string) time.Duration {
	suspended, _ := f.suspended.Load(host)
	ahead, _ := suspended.(time.Duration)
	return time.Since(virtualStart) + ahead + time.Duration(1+len(host)+int(host[len(host)-1])%7)*time.Hour
}

// virtualStart is the time at which synctest starts.
var virtualStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// suspend makes the clock of a host that counts suspension go on by a time that the host otherwise does not notice.
func (f *fleet) suspend(host string, d time.Duration) {
	suspended, _ := f.suspended.Load(host)
	ahead, _ := suspended.(time.Duration)
	f.suspended.Store(host, ahead+d)
}

func (f *fleet) address() string {
	f.lastAddress++
	return fmt.Sprintf("10.5.%d.%d:80", f.lastAddress/250, f.lastAddress%250+1)
}

// crash ends a gateway at once and drops its connections.
func (f *fleet) crash(name string) {
	n := f.hosts[name]
	n.stopped.Store(true)
	f.net.Crash(name)
	n.force()
	<-n.done
	n.done <- nil // for close, which receives from it again
}

// addTarget starts a backend server and registers it.
func (f *fleet) addTarget(name string) *standin.Target {
	t := standin.NewTarget(name)
	t.Address = f.serve(name, "", t)
	f.targets[name] = t
	f.register(t, "ready")
	return t
}

// register writes a target's entry to the store.
func (f *fleet) register(t *standin.Target, state string) {
	f.store.Put("servers/"+t.Name, t.StoreValue("stock", state))
}

// reply is the response to a call, or its error.
type reply struct {
	status   int
	header   http.Header
	body     string
	err      error
	duration time.Duration
}

// call sends one request on a new connection.
func (f *fleet) call(host, method, path, id string) reply {
	return f.callFrom("caller", host, method, path, id)
}

// callFrom sends one request on a new connection from the address of the given caller.
func (f *fleet) callFrom(caller, host, method, path, id string) reply {
	return f.callWith(caller, host, method, path, id, nil)
}

// callWith is callFrom with further header fields.
func (f *fleet) callWith(caller, host, method, path, id string, header http.Header) reply {
	started := time.Now()
	transport := &http.Transport{DialContext: f.net.Dialer(caller), DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequest(method, "http://"+f.hosts[host].listen+path, nil)
	f.is.NoErr(err)
	r.Host = "www.example"
	maps.Copy(r.Header, header)
	r.Header.Set("X-Attempt-Id", id)
	limit := cmp.Or(f.timeLimit, time.Second)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	ctx, cancel := context.WithTimeout(context.Background(), limit+2*time.Second)
	defer cancel()
	response, err := transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return reply{err: err, duration: time.Since(started)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), err, time.Since(started)}
}

// runsOf returns how often the request with an attempt ID ran, on all targets together.
func (f *fleet) runsOf(id string) int {
	sum := 0
	for _, t := range f.targets {
		sum += t.RunCount(id)
	}
	return sum
}

// arrivalsOf returns how often the request with an attempt ID arrived at targets, including those that did not run it.
func (f *fleet) arrivalsOf(id string) int {
	sum := 0
	for _, t := range f.targets {
		sum += t.ArrivalCount(id)
	}
	return sum
}

// pipeline sends pipelined requests on one connection and returns the attempt IDs in the response bodies, in order.
func (f *fleet) pipeline(host string, ids ...string) []string {
	conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts[host].listen)
	f.is.NoErr(err)
	defer conn.Close()
	go func() {
		for _, id := range ids {
			fmt.Fprintf(conn, "GET /lookup/%s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\n\r\n", id, id)
		}
	}()
	reader := bufio.NewReader(conn)
	var bodies []string
	for range ids {
		response, err := http.ReadResponse(reader, nil)
		f.is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		f.is.NoErr(err)
		bodies = append(bodies, strings.TrimPrefix(string(body), "answer to "))
	}
	return bodies
}

// Faults of the store that tests switch on and off.
var (
	storeUnavailable = standin.Faults{Status: 503}
	storeHealthy     = standin.Faults{}
)
