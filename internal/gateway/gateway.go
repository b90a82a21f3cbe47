// Package gateway implements an entry host of the load balancer: it reads HTTP requests from callers (HTTP clients),
// has the home of the requested service choose a target (a backend server) for each, sends the request there, retries
// it where that is allowed, and returns the response.
//
// The home of a service is the entry host that decides for all entry hosts which target runs which request of that
// service; its decision about a request is a verdict. Every entry host can be a home, and one that reaches no home
// places its requests itself. Hosts find each other by heartbeats and replicate the platform's store, which holds the
// configuration and the registered targets. A revision of the configuration is called a note.
//
// This entry host is the one for the users' platform (Platform.Kind = Native); package entry implements the one for an
// etcd store (Platform.Kind = Etcd).
package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/account"
	"briarcroft/internal/age"
	"briarcroft/internal/bootclock"
	"briarcroft/internal/drain"
	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/meter"
	"briarcroft/internal/note"
	"briarcroft/internal/notice"
	"briarcroft/internal/payload"
	"briarcroft/internal/placement"
	"briarcroft/internal/platform"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/ratelimit"
	"briarcroft/internal/reach"
	"briarcroft/internal/record"
	"briarcroft/internal/ring"
	"briarcroft/internal/roster"
	"briarcroft/internal/route"
	"briarcroft/internal/settings"
	"briarcroft/internal/socket"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

var namespace = errorx.NewNamespace("gateway").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrListen reports that the host cannot listen on one of its addresses.
var ErrListen = namespace.NewType("listen")

// maxRecords is the number of change records that are kept for the operator's explain page.
const maxRecords = 256

// heartbeatPeersPerDomain is how many peers of this host's failure domain receive each round of heartbeats. Of each other
// failure domain one peer does.
const heartbeatPeersPerDomain = 2

// crashesToQuarantine is the number of targets that a request must crash to be put in quarantine, from the platform's rules.
const crashesToQuarantine = 3

// Dialect holds the header fields, paths and formats that a platform uses between callers, entry hosts, backend
// servers and its store.
type Dialect struct {
	// AttemptIDHeader is the request header field with the caller's identifier of the attempt.
	AttemptIDHeader string
	// DeadlineHeader is the request header field with the time that the sender still waits, in milliseconds.
	DeadlineHeader string
	// ExpectedTargetHeader is the request header field with the name of the target that is meant, so that another
	// backend server at its address refuses the request.
	ExpectedTargetHeader string
	// SealHeader is the response header field that proves that a backend server made the response.
	SealHeader string
	// NotRunHeader is the response header field by which a backend server states that it did not run the request.
	NotRunHeader string
	// InstanceHeader is the response header field with the backend server's name.
	InstanceHeader string
	// LoadHeader is the response header field with the backend server's load.
	LoadHeader string
	// ParseLoad parses LoadHeader; it returns false for a malformed value.
	ParseLoad func(string) (placement.LoadReport, bool)
	// RateLimitHeader is the response header field with the number of requests per second that the backend server takes from
	// all hosts together; one that names no limit omits it.
	RateLimitHeader string
	// LeavingHeader is the response header field, with the value LeavingValue, by which a backend server says that it leaves.
	LeavingHeader, LeavingValue string
	// PauseHeader is the response header field of a refusal by which a backend server says for how many seconds it wants no
	// requests from the host that it refuses.
	PauseHeader string
	// CredentialHeader is the request header field with the key of the caller's client account, and AccountHeader the one by which
	// backend servers learn the name of the account.
	CredentialHeader, AccountHeader string
	// WarmUpHeader is the response header field by which a backend server says in health responses for how many milliseconds it stays
	// cold; one that is warm omits it.
	WarmUpHeader string
	// Decode decodes entries of the store.
	Decode roster.DecodeFunc
	// PeerKey returns the store key under which a host registers its inner address.
	PeerKey func(host string) string
	// ReadyPath is the path of the readiness check on the ready address.
	ReadyPath string
	// AddressesPath is the path of the addresses of entry hosts on the directory address.
	AddressesPath string
	// ParseAddresses returns the failure domain and region of the caller that requests AddressesPath.
	ParseAddresses func(*http.Request) (domain, region string)
	// AddressesBody returns the response to such a request, to be encoded as JSON; callers may cache it for maxAgeSeconds.
	AddressesBody func(addresses []string, maxAgeSeconds int) any
}

// Config configures a Gateway.
type Config struct {
	Settings settings.Settings
	Dialect  Dialect
	// Store is the platform's store of configuration and targets.
	Store  platform.WatchableStore
	Logger zerolog.Logger
	// LostLogLines returns the number of lines of the log that were lost behind Logger; nil means none.
	LostLogLines func() int64
	// Listen opens listeners; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens connections to backend servers and peers; nil means TCP.
	Dial socket.DialFunc
	// BootTime reads a clock that counts the time for which the host is suspended, and that nobody sets; nil means bootclock.Now.
	BootTime func() time.Duration
}

// Gateway is one entry host. Its exported methods are safe for concurrent use.
type Gateway struct {
	config   Config
	settings settings.Settings
	// reloadable holds the newest settings; see Reload for those that are read from it.
	reloadable atomic.Pointer[settings.Settings]
	dialect    Dialect
	start      time.Time
	// incarnation identifies this start of the host; a later start has a higher one.
	incarnation uint64
	logger      zerolog.Logger
	requestLog  *requestLog
	// records are the change records for operators.
	records *record.Log
	// chain is the sequence of notes (configuration revisions) that have been in force.
	chain *note.Chain
	// roster is this host's replica of the store.
	roster     *roster.Roster
	members    *host.MemberTable
	heartbeats *inner.Heartbeats
	// client calls peers.
	client *inner.Client
	// heartbeatTrigger starts a round of heartbeats before its time.
	heartbeatTrigger *ring.Queue[struct{}]
	// peersAhead holds a peer that knows more of the store than this host.
	peersAhead *ring.Queue[peerAhead]
	homeServer *homeServer
	allowances *allowances
	// quarantine lists the requests that are refused because they crash targets.
	quarantine *quarantine.List
	// rateLimits holds the rate limits that targets name.
	rateLimits *ratelimit.Table
	// notices holds what targets say of themselves in their responses.
	notices *notice.Table
	// evacuations holds which failure domains are evacuated.
	evacuations evacuations
	// malformedNotices limits the records about header fields of targets that cannot be read.
	malformedNotices *rate.Limiter
	// registered holds the registered targets by name.
	registered atomic.Pointer[map[string]roster.Target]
	pools      *pools
	// reach holds which targets this host reaches over its own link.
	reach *reach.Table
	// relaysForPeers is the number of requests that this host relays for peers at present.
	relaysForPeers atomic.Int64
	homeClient     *homeClient
	rules          atomic.Pointer[ruleIndex]
	// streamedRules tells behind which requests of a pipeline nothing is passed on.
	streamedRules streamedRules
	// ages holds what callers name as their remaining time. It is used only with Overload.AgeOrder.
	ages       *age.Table
	split      trafficSplit
	histograms *meter.Histograms
	stats      stats
	panics     panics
	followers  followers
	storeWatch watchState
	// lastKnowledge is the number of this host's last call that showed what the store holds.
	lastKnowledge atomic.Uint64
	// passedOn is the AsOf of the knowledge of the store that was last passed on to followers.
	passedOn atomic.Int64
	// proof is what this host has proven of the age of its knowledge of the store, and restores decides what counts after the store
	// has come back from an older copy. refusingKeys is set while all keys are refused because the proof is too old.
	proof        account.Proof
	restores     account.Restores
	refusingKeys atomic.Bool
	// knownAt is the time of Config.BootTime as of which this host last knew the store, by the ordinary age of its knowledge; 0 while
	// there are no accounts.
	knownAt atomic.Int64
	// applied is the view of the store that is in force.
	applied atomic.Pointer[roster.View]
	// receiving is the number of streams on which an update of the store has arrived in part.
	receiving atomic.Int32
	// bodies bounds the memory for the bodies of requests, and responses that for those of responses.
	bodies, responses *payload.Budget
	// applyMu serializes applyView and guards targetStates, which holds the recorded state of each target by name.
	applyMu      sync.Mutex
	targetStates map[string]string
	// warmUpEntries is guarded by applyMu too.
	warmUpEntries warmUpEntries
	// stop decides which runs are started in a graceful stop.
	stop *drain.Gate
	// closingIdle is set once idle connections of callers are closed, in a graceful stop.
	closingIdle atomic.Bool
	// inForceSince is when the note in force took effect, in Unix milliseconds.
	inForceSince atomic.Int64
	// directoryPosition is the position in the list of ready hosts from which the next directory response is taken.
	directoryPosition atomic.Uint64
	// callerConns holds the open connections of callers as keys.
	callerConns sync.Map
	openConns   atomic.Int64
	connections connections
	// descriptors is the number of descriptors that the process may have open; zero means that it is not known.
	descriptors int
	// background is the context of health probes, and runs that of requests, also after their caller has disconnected. The latter ends
	// first in a graceful stop.
	background, runs context.Context
	cancelRuns       context.CancelFunc
}

// New returns a gateway and the function that closes its connections, to be called after Serve has returned.
func New(c Config) (*Gateway, func()) {
	if c.Listen == nil {
		c.Listen = net.Listen
	}
	if c.LostLogLines == nil {
		c.LostLogLines = func() int64 { return 0 }
	}
	if c.BootTime == nil {
		c.BootTime = bootclock.Now
	}
	g := &Gateway{
		config: c, settings: c.Settings, dialect: c.Dialect, start: time.Now(), chain: &note.Chain{},
		heartbeatTrigger: ring.NewQueue[struct{}](ring.Config{Capacity: 1}), peersAhead: ring.NewQueue[peerAhead](ring.Config{Capacity: 1}), histograms: meter.NewHistograms(), logger: c.Logger,
		panics: newPanics(), stop: drain.New(), bodies: payload.NewBudget(c.Settings, payload.RequestShare), responses: payload.NewBudget(c.Settings, payload.ResponseShare),
	}
	g.descriptors = socket.DescriptorLimit(c.Settings.Limits.Descriptors)
	g.reloadable.Store(&g.settings)
	g.incarnation = uint64(g.start.UnixMilli())<<16 | uint64(rand.Uint32N(1<<16))
	// Hosts begin their directory responses at different positions.
	g.directoryPosition.Store(g.incarnation)
	var closeRecords, closeClient, closeLog func()
	g.requestLog, closeLog = newRequestLog(c.Logger)
	g.records, closeRecords = record.NewLog(record.LogConfig{Host: c.Settings.Host.Name, Incarnation: g.incarnation, Capacity: maxRecords, Logger: c.Logger})
	g.client, closeClient = inner.NewClient(inner.ClientConfig{Dial: c.Dial, OtherDomain: g.isInOtherDomain})
	g.members = host.NewMemberTable(host.Config{
		Self: host.Member{
			Name: c.Settings.Host.Name, Listen: c.Settings.Host.Listen, Inner: c.Settings.Host.PeerAddress(),
			Domain: c.Settings.Host.Domain, Region: c.Settings.Host.Region, Incarnation: g.incarnation,
			MilliCores: uint32(1000 * c.Settings.Host.Cores * c.Settings.Host.CoreShare), LinkMbps: uint32(c.Settings.Host.LinkMbps),
		},
		Seeds: c.Settings.Peers.Seeds, DomainFanOut: heartbeatPeersPerDomain, Random: rand.New(rand.NewPCG(g.incarnation, 2)),
	})
	g.heartbeats = &inner.Heartbeats{Table: g.members, Client: g.client, Now: g.now, NewRequest: func(n host.Gossip) *inner.HeartbeatRequest {
		request := inner.NewHeartbeatRequest(c.Settings.Host.Name, n)
		request.Quarantines = inner.EncodeQuarantines(g.quarantine.All(g.now()))
		request.RateLimits = g.sharedRateLimits()
		request.Notices = inner.EncodeNotices(g.notices.Share(g.now()))
		request.Knowledge = g.knowledge()
		return request
	}, SendTime: g.sendTime, OnPanic: func(value any) { g.recovered("Heartbeat", value) }, OnReply: func(r inner.ReceivedReply) {
		g.handlePeerState(r.Sender, r)
		g.proveByReply(r)
	}}
	var cancelBackground context.CancelFunc
	g.background, cancelBackground = context.WithCancel(context.Background())
	g.runs, g.cancelRuns = context.WithCancel(g.background)
	g.rules.Store(&ruleIndex{})
	g.quarantine = quarantine.New(quarantine.Config{Targets: crashesToQuarantine})
	g.rateLimits = ratelimit.New()
	g.ages = age.New()
	g.notices, g.malformedNotices = notice.New(), rate.NewLimiter(malformedNoticesPerSecond, 1)
	g.evacuations = evacuations{began: map[string]time.Duration{}, ended: map[string]time.Duration{}}
	g.registered.Store(&map[string]roster.Target{})
	g.allowances = newAllowances(c, g.incarnation)
	g.allowances.wallet.SetPlace(g.emergencyPlace)
	g.homeServer = newHomeServer(g)
	g.pools = newPools(g)
	g.reach = reach.New()
	g.homeClient = newHomeClient(g)
	g.followers.queues = map[uint64]*ring.Queue[*encodedUpdate]{}
	g.roster = roster.New(roster.Config{
		Decode: g.decode, OnRejectedEntry: g.recordRejectedEntry, OnUpdate: g.followers.broadcastChanges, OnChange: g.applyView,
		OnRestore: g.recordRestore,
	})
	return g, func() {
		g.cancelRuns()
		cancelBackground()
		g.homeClient.close()
		g.pools.close()
		closeClient()
		closeRecords()
		closeLog()
	}
}

// sharedRateLimits returns what this host tells peers of the rate limits of targets and of cold targets.
func (g *Gateway) sharedRateLimits() []*inner.RateLimit {
	return append(inner.EncodeRateLimits(g.rateLimits.Share(g.now())), inner.EncodeWarmUps(g.rateLimits.ShareWarmUps(g.now()))...)
}

// now returns the time since the gateway was created, on the monotonic clock.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// Listen returns the address on which the host listens for callers.
func (g *Gateway) Listen() string { return g.settings.Host.Listen }

// Inner returns the address on which the host listens for peers.
func (g *Gateway) Inner() string { return g.settings.Host.Inner }

// Reload applies Accounts, Peers.Seeds, Retries.Slack, SecondRuns, Limits.AddressMaxAge and Limits.StopTimeout of new settings. Retries.Ratio
// and Retries.Window apply only to services for which this host has not placed a request yet. All other settings take
// effect only after a restart.
func (g *Gateway) Reload(s settings.Settings) {
	g.reloadable.Store(&s)
	g.members.SetSeeds(s.Peers.Seeds)
	g.logger.Info().Strs("Seeds", s.Peers.Seeds).Bool("NeedsRestart", s.Host != g.settings.Host || s.Platform != g.settings.Platform).Msg("settings reloaded")
}

// recordRejectedEntry writes a change record for an entry of the store that cannot be decoded.
func (g *Gateway) recordRejectedEntry(key string, err error) {
	g.records.Add(record.Record{Kind: record.NoteRejected, Cause: "StoreEntry", Note: g.chain.Number(), Evidence: record.Evidence{Detail: key + ": " + err.Error()}})
}

// recordRestore writes a change record for a store that has come back from an older copy, with its eras and revisions.
func (g *Gateway) recordRestore(before, after int64) {
	g.stats.restores.Add(1)
	g.records.Add(record.Record{Kind: record.StoreRestored, Cause: "OlderCopy", Note: g.chain.Number(), Evidence: record.Evidence{
		Detail: fmt.Sprintf("era %d revision %d, before era %d revision %d", platform.EraOf(after), platform.RevisionOf(after), platform.EraOf(before), platform.RevisionOf(before)),
	}})
}

// applyView puts the configuration and the targets of the newest view of the store in force.
func (g *Gateway) applyView() {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	v := g.roster.View()
	g.applyConfiguration(v.Configuration)
	g.applyRegistered(v)
	g.recordWarmUps(v, g.applyEvacuations(v))
	g.recordTargetChanges(v)
	g.allowances.setAccounts(v.Configuration)
	g.rules.Store(newRuleIndex(v.Configuration, g.rules.Load()))
	g.homeServer.applyView(v)
	g.pools.applyView(v)
	g.updateReady()
	g.applied.Store(v)
}

// applyConfiguration appends a newer configuration to the chain, as a note that describes the differences.
func (g *Gateway) applyConfiguration(c note.Configuration) {
	_, _, old := g.chain.Head()
	if c.Number <= old.Number {
		return
	}
	difference := note.Diff(old, c)
	snapshot := note.Snapshot{Record: note.Record{Number: c.Number, Configuration: c.Hash(), Note: difference}, Configuration: c}
	if _, err := g.chain.ApplySnapshot(snapshot); err != nil {
		g.records.Add(record.Record{Kind: record.NoteRejected, Cause: "Snapshot", Note: c.Number, Evidence: record.Evidence{Detail: err.Error()}})
		return
	}
	g.inForceSince.Store(time.Now().UnixMilli())
	g.members.SetNote(c.Number)
	g.records.Add(record.Record{
		Kind: record.NoteAdopted, Note: c.Number, Cause: "Store",
		Evidence: record.Evidence{Hash: snapshot.Record.Configuration, Detail: difference.Summary()},
	})
}

// evacuatedState is the state of a target in an evacuated failure domain in change records.
const evacuatedState = "Evacuated"

// recordTargetChanges writes a change record for each target that was registered, began to drain, was evacuated or was removed. The
// caller holds applyMu.
func (g *Gateway) recordTargetChanges(v *roster.View) {
	states := map[string]string{}
	for service, targets := range v.Targets {
		for _, t := range targets {
			state := route.Live.String()
			if t.Draining {
				state = route.Draining.String()
			}
			cause := "Registered"
			if t.Evacuated {
				state, cause = evacuatedState, "Evacuation"
			}
			states[t.Name] = state
			if old := g.targetStates[t.Name]; old != state {
				g.records.Add(record.Record{Kind: record.TargetMoved, Service: service, Target: t.Name, From: old, To: state, Cause: cause, Note: g.chain.Number()})
			}
		}
	}
	for name := range g.targetStates {
		if states[name] == "" {
			g.records.Add(record.Record{Kind: record.TargetForgotten, Target: name, Cause: "EntryRemoved", Note: g.chain.Number()})
		}
	}
	g.targetStates = states
}

// updateReady marks this host as ready if it has a configuration and is not stopping, and sends peers a heartbeat at
// once if that has changed.
func (g *Gateway) updateReady() {
	ready := g.chain.Number() > 0 && !g.stop.Stopping()
	if ready != g.members.Self().Ready {
		g.members.SetReady(ready)
		g.heartbeatTrigger.Push(struct{}{})
	}
}

// Serve runs the gateway until stop ends, a listener fails for good or a panic needs a stop, and then stops gracefully; it returns at
// once when force ends. Errors are ErrListen, that of the failed listener, or that of the panic.
func (g *Gateway) Serve(stop, force context.Context) error {
	// Each listener reports at most one failure of its own and one of its server.
	failed := make(chan error, 2*maxListeners)
	listeners, err := g.listen(func(err error) { failed <- err })
	if err != nil {
		return err
	}
	tasks := duty.NewGroup(duty.Config{OnPanic: g.taskPanicked})
	defer tasks.Stop()
	for _, task := range []func(context.Context){g.runHeartbeats, g.runStoreWatch, g.runStoreChecks, g.runPeerFollowing, g.runCatchUp, g.runPlacementTimers, g.runLapseCheck, g.runCounterLog, g.runReachChecks, g.runPoolSweeps, g.runElection, g.runTokenRequests, g.runProofs} {
		tasks.Go(task)
	}
	callersAccepted := make(chan struct{})
	for i, l := range listeners {
		tasks.Go(func(ctx context.Context) {
			if i == callerListener {
				defer close(callersAccepted)
			}
			if err := l.serve(ctx); err != nil {
				failed <- err
			}
		})
	}
	var failure error
	select {
	case err := <-failed:
		failure = errorx.Decorate(err, "a listener failed")
		g.logger.Error().Err(failure).Msg("entry host stops")
	case <-force.Done():
		return nil
	case failure = <-g.panics.stop:
	case <-stop.Done():
	}
	g.stopGracefully(force, func() {
		socket.AwaitAccepted(force, listeners[callerListener].Listener, acceptTime)
		// An error of Close does not matter, as the listener is not used any more.
		_ = listeners[callerListener].Close()
		<-callersAccepted
	})
	return failure
}

// logAcceptError logs a temporary error of the listener of a settings key, with the number of errors of all listeners so far.
func (g *Gateway) logAcceptError(key string, err error, failures int64) {
	g.logger.Warn().Err(err).Str("Listener", key).Int64("Failures", failures).Msg("accepting connections failed; trying again")
}

// listener is a listener with the function that serves its connections.
type listener struct {
	net.Listener
	handle func(context.Context, net.Listener) error
}

// serve serves connections until the context ends or the listener is closed, neither of which is an error.
func (l listener) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// The listener may already be closed; the error does not matter.
		_ = l.Close()
	})
	defer stop()
	err := l.handle(ctx, l.Listener)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// callerListener is the index of the callers' listener in the result of listen. The only address before it, Inner, is
// always set.
const callerListener = 1

// maxListeners is the largest number of listeners of a gateway.
const maxListeners = 5

// listen opens the listeners of all addresses that are set in the settings. The function onFailure is called when one of them
// cannot accept connections any more.
func (g *Gateway) listen(onFailure func(error)) ([]listener, error) {
	s := g.settings.Host
	endpoints := [maxListeners]struct {
		key, address string
		handle       func(context.Context, net.Listener) error
		hasRoom      func() bool
	}{
		{"Inner", s.Inner, g.servePeers, nil},
		{"Listen", s.Listen, g.serveCallers, g.hasSlot},
		{"Ready", s.Ready, g.serveReady, nil},
		{"Directory", s.Directory, g.serveDirectory, nil},
		{"Metrics", s.Metrics, g.serveMetrics, nil},
	}
	var listeners []listener
	for _, e := range endpoints {
		if e.address == "" {
			continue
		}
		l, err := g.config.Listen("tcp", e.address)
		if err != nil {
			for _, opened := range listeners {
				err = errors.Join(err, opened.Close())
			}
			return nil, ErrListen.New("[Host] %s: %v; choose a free address", e.key, err)
		}
		listeners = append(listeners, listener{socket.NewListener(socket.ListenerConfig{
			Listener: l, Failures: &g.stats.acceptFailures, HasRoom: e.hasRoom, OnFailure: onFailure, OnRetry: func(err error, failures int64) { g.logAcceptError(e.key, err, failures) },
		}), e.handle})
	}
	return listeners, nil
}
