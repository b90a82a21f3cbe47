// Package demo runs a complete deployment of entry hosts, backend servers and callers in one process over loopback, and
// checks that no request is lost, run twice or answered with a truncated response. While callers send requests, it
// publishes a configuration change that withdraws a backend server, checks that this server gets no more requests, and
// stops an entry host. A note is one revision of the configuration; a target is a backend server.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"briarcroft/internal/caller"
	"briarcroft/internal/entry"
	"briarcroft/internal/note"
	"briarcroft/internal/platform"
	"briarcroft/internal/platform/standin"
	"briarcroft/internal/settings"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
)

var namespace = errorx.NewNamespace("demo").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrCheckFailed reports that a request was lost, run twice, answered with a truncated response or sent to a withdrawn
// target, or that a note did not come into force on all entry hosts.
var ErrCheckFailed = namespace.NewType("broken_promise")

const (
	callersPerDomain = 4
	// readyTimeout limits the wait for a note to come into force on all hosts.
	readyTimeout = 15 * time.Second
	// serviceTimeSigma is the standard deviation of the natural logarithm of service times.
	serviceTimeSigma = 0.4
)

// Config configures a run of the demo.
type Config struct {
	Deployment Deployment
	// Duration is how long callers send requests.
	Duration time.Duration
	// RateFactor multiplies the request rates of all workloads.
	RateFactor float64
	// Seed is the seed of all random numbers of callers and backend servers.
	Seed uint64
	// Out receives the progress and the results, and Logger the log records of the entry hosts.
	Out    io.Writer
	Logger zerolog.Logger
}

// fleet holds the entry hosts, backend servers and callers of a run, and the in-memory store that they use.
type fleet struct {
	config     Config
	store      *standin.Server
	storeURL   string
	client     platform.Store
	archive    *note.Archive
	runCounter *RunCounter
	targets    map[string]*Target
	hosts      []*runningHost
	callers    []*caller.Client
	// cleanups are run in reverse order at the end.
	cleanups []func()
}

// runningHost is an entry host of the run. stop makes it stop gracefully, and done then receives the result of Serve.
type runningHost struct {
	host *entry.Host
	stop context.CancelFunc
	done chan error
}

// Run runs a deployment and prints the results. It returns ErrCheckFailed if a check failed.
func Run(ctx context.Context, c Config) error {
	f := &fleet{config: c, runCounter: NewRunCounter(), targets: map[string]*Target{}}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(c.Out, "%s: %d entry hosts, %d targets, note 1 in force everywhere\n", c.Deployment.Name, len(f.hosts), len(f.targets))
	res := newResults()
	traffic, stopTraffic := context.WithTimeout(ctx, c.Duration)
	defer stopTraffic()
	var group sync.WaitGroup
	for _, workload := range c.Deployment.Workloads {
		group.Go(func() { f.sendRequests(traffic, workload, res) })
	}
	eventsDone := make(chan error, 1)
	go func() { eventsDone <- f.runEvents(traffic, res) }()
	f.printProgress(traffic, res)
	group.Wait()
	if err := <-eventsDone; err != nil {
		return err
	}
	return f.printResults(res)
}

func (f *fleet) close() {
	for _, r := range f.hosts {
		r.stop()
	}
	for _, r := range f.hosts {
		<-r.done
	}
	slices.Reverse(f.cleanups)
	for _, cleanup := range f.cleanups {
		cleanup()
	}
}

// start starts all parts of the deployment and publishes the first note, then waits until it is in force on all hosts.
func (f *fleet) start(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	if err := f.startHosts(); err != nil {
		return err
	}
	n, err := note.Parse("first note", []byte(f.config.Deployment.FirstNote(func(name string) string { return f.targets[name].Address() })))
	if err != nil {
		return err
	}
	if _, err := f.archive.Publish(ctx, n, "demo-1", time.Now()); err != nil {
		return err
	}
	if err := f.awaitNote(ctx, 1); err != nil {
		return err
	}
	f.startCallers()
	return nil
}

// startPlatform starts the in-memory store and host list and connects to them.
func (f *fleet) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.store = standin.New()
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	f.cleanups = append(f.cleanups, func() {
		// An error does no harm, because nothing but this run uses the server.
		_ = server.Close()
		<-done
	})
	f.storeURL = "http://" + listener.Addr().String()
	client, closeClient := platform.NewEtcd(platform.EtcdConfig{URL: f.storeURL, Timeout: time.Second})
	f.cleanups = append(f.cleanups, closeClient)
	f.client, f.archive = client, note.NewArchive(note.ArchiveConfig{Store: client})
	return nil
}

func (f *fleet) startTargets() error {
	for _, workload := range f.config.Deployment.Workloads {
		for i := range workload.Targets {
			t, stop, err := NewTarget(TargetConfig{
				Listen: "127.0.0.1:0", Slots: f.config.Deployment.Slots, ServiceTime: workload.ServiceTime, ServiceTimeSigma: serviceTimeSigma,
				ResponseBytes: workload.ResponseBytes, RunCounter: f.runCounter, Seed: f.config.Seed + uint64(len(f.targets)),
			})
			if err != nil {
				return err
			}
			f.targets[TargetName(workload.Service, i)] = t
			f.cleanups = append(f.cleanups, stop)
		}
	}
	return nil
}

// startHosts starts the entry hosts. Each has as seed peers the first two hosts, as far as they were started before it.
func (f *fleet) startHosts() error {
	var seeds []string
	for i := range f.config.Deployment.Hosts {
		s := settings.Default()
		s.Host = settings.Host{
			Name: fmt.Sprintf("entry-%d", i+1), Domain: f.config.Deployment.Domains[i%len(f.config.Deployment.Domains)],
			Region: "home", Listen: "127.0.0.1:0", Inner: "127.0.0.1:0",
		}
		s.Peers.Seeds = seeds
		s.Limits.AddressMaxAge = time.Second
		hostList, closeList := platform.NewHostList(platform.HostListConfig{URL: f.storeURL + "/Hosts", Timeout: time.Second})
		store, closeStore := platform.NewEtcd(platform.EtcdConfig{URL: f.storeURL, Timeout: time.Second})
		h, closeHost, err := entry.New(entry.Config{Settings: s, Logger: f.config.Logger.With().Str("Host", s.Host.Name).Logger(), Store: store, HostList: hostList})
		if err != nil {
			return err
		}
		f.cleanups = append(f.cleanups, closeList, closeStore, closeHost)
		if len(seeds) < 2 {
			seeds = append(seeds, h.Inner())
		}
		stop, cancel := context.WithCancel(context.Background())
		r := &runningHost{h, cancel, make(chan error, 1)}
		go func() { r.done <- h.Serve(stop, context.Background()) }()
		f.hosts = append(f.hosts, r)
	}
	return nil
}

func (f *fleet) startCallers() {
	var seeds []string
	for _, r := range f.hosts {
		seeds = append(seeds, r.host.Listen())
	}
	for i := range callersPerDomain * len(f.config.Deployment.Domains) {
		c, closeCaller := caller.New(caller.Config{Seeds: seeds, Domain: f.config.Deployment.Domains[i%len(f.config.Deployment.Domains)], Seed: f.config.Seed + uint64(i)})
		f.callers = append(f.callers, c)
		f.cleanups = append(f.cleanups, closeCaller)
	}
}

// awaitNote waits until all hosts that were not stopped are ready and have the note, or a later one, in force. It returns
// ErrCheckFailed if this takes longer than readyTimeout.
func (f *fleet) awaitNote(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		lagging := 0
		for _, r := range f.hosts {
			if r.host.NoteNumber() < number || !r.host.Ready() {
				lagging++
			}
		}
		if lagging == 0 {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return ErrCheckFailed.New("note %d is not in force on %d of %d hosts after %v; see the log with --verbose", number, lagging, len(f.hosts), readyTimeout)
		}
	}
}

// runEvents changes the deployment while callers send requests: it publishes a second note that withdraws a target,
// counts the requests that this target gets once the note is in force, and stops an entry host gracefully.
func (f *fleet) runEvents(ctx context.Context, res *results) error {
	if !sleep(ctx, f.config.Duration*3/10) {
		return nil
	}
	workload := f.config.Deployment.Workloads[0]
	withdrawn := TargetName(workload.Service, workload.Targets-1)
	content := fmt.Sprintf("[Note]\nFollows = 1\nOperator = demo\nReason = withdraw %s\n\n[Withdraw]\nTargets = %s\n", withdrawn, withdrawn)
	n, err := note.Parse("second note", []byte(content))
	if err != nil {
		return err
	}
	published := time.Now()
	if _, err := f.archive.Publish(ctx, n, "demo-2", published); err != nil {
		return err
	}
	if err := f.awaitNote(ctx, 2); err != nil {
		return err
	}
	res.noteDelay = time.Since(published)
	before := f.targets[withdrawn].Requests.Load()
	fmt.Fprintf(f.config.Out, "note 2 withdraws %s: in force everywhere after %v\n", withdrawn, res.noteDelay.Round(time.Millisecond))
	if !sleep(ctx, f.config.Duration*2/10) {
		return nil
	}
	res.requestsAfterWithdrawal = f.targets[withdrawn].Requests.Load() - before
	return f.stopHost(ctx, res)
}

// stopHost gracefully stops the first home of the first service, which has the highest request rate. A home is an entry
// host that places the requests of a service.
func (f *fleet) stopHost(ctx context.Context, res *results) error {
	addresses, err := f.callers[0].Addresses(ctx, f.config.Deployment.Workloads[0].Service)
	if err != nil {
		return err
	}
	for i, r := range f.hosts {
		if r.host.Name() != addresses.Addresses[0].Host {
			continue
		}
		fmt.Fprintf(f.config.Out, "stopping %s, home of %s, gracefully\n", r.host.Name(), addresses.Service)
		started := time.Now()
		r.stop()
		err := <-r.done
		res.stopDuration = time.Since(started)
		fmt.Fprintf(f.config.Out, "%s stopped after %v\n", r.host.Name(), res.stopDuration.Round(time.Millisecond))
		f.hosts = slices.Delete(f.hosts, i, i+1)
		return err
	}
	return nil
}

// printProgress prints the number of requests every second until ctx is done.
func (f *fleet) printProgress(ctx context.Context, res *results) {
	for sleep(ctx, time.Second) {
		fmt.Fprintf(f.config.Out, "  %d requests answered\n", res.requestCount())
	}
}

// sleep waits for a duration. It returns false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequests sends the requests of one service as a Poisson process until ctx is done, then waits for all responses.
func (f *fleet) sendRequests(ctx context.Context, workload Workload, res *results) {
	random := rand.New(rand.NewPCG(f.config.Seed, uint64(len(workload.Service))))
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		gap := time.Duration(random.ExpFloat64() / (workload.Rate * f.config.RateFactor) * float64(time.Second))
		if !sleep(ctx, gap) {
			return
		}
		client := f.callers[random.IntN(len(f.callers))]
		group.Go(func() { f.sendRequest(client, workload, i, res) })
	}
}

// sendRequest sends the i-th request of a service and records its outcome.
func (f *fleet) sendRequest(client *caller.Client, workload Workload, i int, res *results) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r := caller.Request{Service: workload.Service, Method: workload.Method, Path: fmt.Sprintf("%s%d", workload.Path, i), AtMostOnce: workload.AtMostOnce}
	if workload.AtMostOnce {
		r.Body = fmt.Appendf(nil, "%s %d", workload.Service, i)
	}
	started := time.Now()
	response, err := client.Do(ctx, r)
	res.record(workload, response, err, time.Since(started), f.classify(workload, r, response, err))
}
