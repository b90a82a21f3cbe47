// Package entry implements an entry host: a node of the load balancer that accepts HTTP requests from callers and
// forwards each one to a target, which is a backend server of the service that the matching rule names.
//
// Entry hosts share their membership, in-flight counts, configuration and quarantines with their peers over the protocol
// of package inner. The configuration comes from notes, each of which is one revision of it, in the platform's store.
// Each service has one or more homes, which are the entry hosts that callers should connect to for it.
//
// A non-idempotent request with an Idempotency-Key runs at most once. Its key holds a grant, which names the one
// incarnation of an entry host that may run it; other hosts forward the request to that host. An incarnation is one run
// of a host's process. A request that has crashed several targets is put in quarantine and refused for a time.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/certificate"
	"briarcroft/internal/claim"
	"briarcroft/internal/drain"
	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/meter"
	"briarcroft/internal/note"
	"briarcroft/internal/payload"
	"briarcroft/internal/platform"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/record"
	"briarcroft/internal/ring"
	"briarcroft/internal/settings"
	"briarcroft/internal/socket"
	"briarcroft/internal/steering"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
)

var namespace = errorx.NewNamespace("entry").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrListen reports that the host cannot listen on an address of its settings.
var ErrListen = namespace.NewType("listen")

// Sizes of a host's buffers and of its heartbeat rounds.
const (
	// maxRecords is how many event records are kept for /Explain.
	maxRecords = 8192
	// maxNoteHints is how many hints to newer notes may be queued; further ones are dropped.
	maxNoteHints = 64
	// heartbeatPeersPerDomain is how many peers of this host's failure domain receive each round of heartbeats. Of each
	// other failure domain one peer does.
	heartbeatPeersPerDomain = 2
	// crashesToQuarantine is how many targets must break their connection during attempts of a request before the request is
	// quarantined.
	crashesToQuarantine = 2
)

// Config configures a Host.
type Config struct {
	Settings settings.Settings
	Logger   zerolog.Logger
	// LostLogLines returns the number of lines of the log that were lost behind Logger; nil means none.
	LostLogLines func() int64
	Store        platform.Store
	// HostList is nil when the platform has none.
	HostList *platform.HostList
	// Listener for callers and InnerListener for peers; when nil, the host listens on the addresses of the settings.
	Listener      net.Listener
	InnerListener net.Listener
	// Dial opens connections to targets and peers; nil means TCP.
	Dial backend.DialFunc
}

// Host is one incarnation of an entry host; see the package documentation.
type Host struct {
	config      Config
	settings    settings.Settings
	start       time.Time
	incarnation uint64
	chain       *note.Chain
	// inForceSince is when the present note came into force, in Unix milliseconds.
	inForceSince   atomic.Int64
	archive        *note.Archive
	membership     *host.MemberTable
	heartbeats     *inner.Heartbeats
	dispatcher     *steering.Dispatcher
	idempotency    *claim.Table
	sealedTables   *claim.SealedTables
	tableAssembler *tableAssembler
	quarantine     *quarantine.List
	plainKeys      *plainKeyStore
	records        *record.Log
	histograms     *meter.Histograms
	budget         *meter.Budget
	client         *inner.Client
	peerTLS        *tls.Config
	callerTLS      *tls.Config
	peerCounts     *peerCounts
	homes          homeTracker
	noteHints      *ring.Queue[noteHint]
	// heartbeatTrigger starts a round of heartbeats before its time.
	heartbeatTrigger *ring.Queue[struct{}]
	callerServer     *http.Server
	callerConns      *callerConns
	callerListener   net.Listener
	peerListener     net.Listener
	// listenerFailed gets the error of each listener that cannot accept connections any more.
	listenerFailed chan error
	// storeReachable is whether the last read of notes from the store succeeded. A pause of the host resets it.
	storeReachable atomic.Bool
	// storeRead is set by the first attempt to read notes from the store.
	storeRead atomic.Bool
	// peersCompared is set once the host has compared its note with that of a peer, since its start or last pause.
	peersCompared atomic.Bool
	stats         stats
	// panicked gets an item when the host must stop after a panic.
	panicked chan error
	// responses bounds the memory of responses that are being read.
	responses *payload.Budget
	// stop decides which runs are started in a graceful stop.
	stop *drain.Gate
	// requests is the base context of the requests of callers.
	requests       context.Context
	cancelRequests context.CancelFunc
}

// stats are the counters behind Counters. budgetRecordedAt is the time of the last record of an exhausted budget.
type stats struct {
	requests, forwarded, stored, joined, refused, truncated, budgetRecordedAt atomic.Int64
}

// noteHint says that a newer note can be fetched from a peer, or read from the store when address is empty.
type noteHint struct {
	address string
	// number is the number of the note that the peer has.
	number int
}

// New opens the listeners and returns a host, which does nothing until Serve, and a function that releases its resources.
// Errors are ErrListen or certificate.ErrFile.
func New(c Config) (*Host, func(), error) {
	if c.LostLogLines == nil {
		c.LostLogLines = func() int64 { return 0 }
	}
	h := &Host{
		config: c, settings: c.Settings, start: time.Now(), chain: &note.Chain{}, panicked: make(chan error, 1), listenerFailed: make(chan error, 2),
		callerConns: newCallerConns(socket.DescriptorLimit(c.Settings.Limits.Descriptors)),
		noteHints:   ring.NewQueue[noteHint](ring.Config{Capacity: maxNoteHints}), heartbeatTrigger: ring.NewQueue[struct{}](ring.Config{Capacity: 1}),
		quarantine: quarantine.New(quarantine.Config{Targets: crashesToQuarantine}), histograms: meter.NewHistograms(), peerCounts: newPeerCounts(), homes: homeTracker{primary: map[string]string{}}, tableAssembler: newTableAssembler(),
	}
	h.incarnation = uint64(h.start.UnixMilli())<<16 | uint64(rand.Uint32N(1<<16))
	if err := h.listen(); err != nil {
		return nil, nil, err
	}
	closeAll, err := h.build()
	if err != nil {
		return nil, nil, errors.Join(err, h.callerListener.Close(), h.peerListener.Close())
	}
	return h, closeAll, nil
}

// newListener returns a listener that outlasts errors; key is its settings key, and hasRoom that of socket.ListenerConfig.
func (h *Host) newListener(key string, l net.Listener, hasRoom func() bool) net.Listener {
	return socket.NewListener(socket.ListenerConfig{
		Listener: l, HasRoom: hasRoom,
		OnRetry: func(err error, failures int64) {
			h.config.Logger.Warn().Err(err).Str("Listener", key).Int64("Failures", failures).Msg("accepting connections failed; trying again")
		},
		OnFailure: func(err error) { h.listenerFailed <- err },
	})
}

func (h *Host) listen() error {
	var err error
	if h.callerListener = h.config.Listener; h.callerListener == nil {
		if h.callerListener, err = net.Listen("tcp", h.settings.Host.Listen); err != nil {
			return ErrListen.New("[Host] Listen: %v; choose a free address", err)
		}
	}
	if h.peerListener = h.config.InnerListener; h.peerListener == nil {
		if h.peerListener, err = net.Listen("tcp", h.settings.Host.Inner); err != nil {
			return errors.Join(ErrListen.New("[Host] Inner: %v; choose a free address", err), h.callerListener.Close())
		}
	}
	h.callerListener, h.peerListener = h.newListener("Listen", h.callerListener, h.callerConns.hasSlot), h.newListener("Inner", h.peerListener, nil)
	return nil
}

func (h *Host) build() (func(), error) {
	s := h.settings
	if s.TLS.PeerCertificate != "" {
		files, err := certificate.Load(certificate.Config{Certificate: s.TLS.PeerCertificate, Key: s.TLS.PeerKey, Authority: s.TLS.PeerAuthority})
		if err != nil {
			return nil, err
		}
		h.peerTLS = files.PeerTLS()
	}
	if s.TLS.CallerCertificate != "" {
		files, err := certificate.Load(certificate.Config{Certificate: s.TLS.CallerCertificate, Key: s.TLS.CallerKey})
		if err != nil {
			return nil, err
		}
		h.callerTLS = files.CallerTLS()
	}
	var closeRecords, closeClient, closeDispatcher func()
	h.stop, h.responses = drain.New(), payload.NewBudget(s, payload.ResponseShare)
	h.requests, h.cancelRequests = context.WithCancel(context.Background())
	h.records, closeRecords = record.NewLog(record.LogConfig{Host: s.Host.Name, Incarnation: h.incarnation, Capacity: maxRecords, Logger: h.config.Logger})
	h.client, closeClient = inner.NewClient(inner.ClientConfig{TLS: h.peerTLS, Dial: h.config.Dial})
	h.dispatcher, closeDispatcher = steering.New(steering.Config{
		Records: h.records, Quarantine: h.quarantine, Clock: h.now, Seed: h.incarnation, OnQuarantine: h.triggerHeartbeat, Dial: h.config.Dial,
		OnPanic: func(value any) { h.recovered("SecondRun", value) }, Stop: h.stop,
	})
	h.archive = note.NewArchive(note.ArchiveConfig{Store: h.config.Store})
	h.idempotency = claim.New(claim.Config{
		Host: s.Host.Name, Incarnation: h.incarnation, GrantWindow: s.Limits.GrantWindow, MaxRunTime: maxRunTime,
		MaxEntries: s.Limits.KeptEntries, MaxKeptBytes: s.Limits.KeptBytes,
	})
	h.sealedTables = claim.NewSealedTables(claim.SealedTablesConfig{MaxEntries: 4 * s.Limits.KeptEntries})
	h.plainKeys = newPlainKeyStore(h.config.Store, s.Limits.ClaimsPerSec)
	h.budget = meter.NewBudget(meter.BudgetConfig{
		ProbesPerSec: s.Budget.ProbesPerSec, BytesPerSec: s.Budget.BytesPerSec, CoreShare: s.Budget.CoreShare, Epoch: h.start,
	})
	announced := s.Host.Announced
	if announced == "" {
		announced = h.peerListener.Addr().String()
	}
	h.membership = host.NewMemberTable(host.Config{
		Self: host.Member{
			Name: s.Host.Name, Listen: h.callerListener.Addr().String(), Inner: announced,
			Domain: s.Host.Domain, Region: s.Host.Region, Incarnation: h.incarnation,
		},
		Seeds: s.Peers.Seeds, DomainFanOut: heartbeatPeersPerDomain, Random: rand.New(rand.NewPCG(h.incarnation, 2)),
	})
	h.heartbeats = &inner.Heartbeats{Table: h.membership, Client: h.client, Now: h.now, NewRequest: h.heartbeatRequest, OnReply: h.handleHeartbeatReply, OnPanic: func(value any) { h.recovered("Heartbeat", value) }}
	h.callerServer = h.newCallerServer()
	return func() {
		h.cancelRequests()
		closeDispatcher()
		closeClient()
		closeRecords()
	}, nil
}

// now returns the time since the host was created, from the monotonic clock.
func (h *Host) now() time.Duration { return time.Since(h.start) }

// Reload only logs that the settings have changed: they take effect at the next start.
func (h *Host) Reload(s settings.Settings) {
	h.config.Logger.Warn().Str("Listen", s.Host.Listen).Msg("settings changed; restart the host to apply them")
}

func (h *Host) triggerHeartbeat() { h.heartbeatTrigger.Push(struct{}{}) }

// Listen returns the address that callers connect to.
func (h *Host) Listen() string { return h.callerListener.Addr().String() }

// Inner returns the address that peers connect to.
func (h *Host) Inner() string { return h.peerListener.Addr().String() }

// Name returns the host's name.
func (h *Host) Name() string { return h.settings.Host.Name }

// NoteNumber returns the number of the note in force.
func (h *Host) NoteNumber() int { return h.chain.Number() }

// Ready reports whether the host is ready to serve callers, so that peers may name it in address responses.
func (h *Host) Ready() bool { return h.membership.Self().Ready }

// Serve runs the host until stop is done or a listener fails for good, and then stops it gracefully. When force is done, it
// returns without waiting for requests in flight.
func (h *Host) Serve(stop, force context.Context) error {
	tasks := duty.NewGroup(duty.Config{OnPanic: h.taskPanicked})
	defer tasks.Stop()
	peerServerDone, err := inner.Serve(tasks.Context(), inner.ServerConfig{Listener: h.peerListener, Handler: &peerServer{host: h}, TLS: h.peerTLS, OnPanic: func(call string, value any) { h.recovered(call, value) }})
	if err != nil {
		return err
	}
	defer h.waitPeerServer(tasks, peerServerDone)
	callerServerDone := make(chan error, 1)
	go func() { callerServerDone <- h.serveCallers() }()
	h.startLoops(tasks)
	var failure error
	select {
	case err := <-callerServerDone:
		return errorx.Decorate(err, "HTTP server for callers stopped")
	case err := <-h.listenerFailed:
		failure = errorx.Decorate(err, "a listener failed")
		h.config.Logger.Error().Err(failure).Msg("entry host stops")
	case <-force.Done():
		return h.callerServer.Close()
	case failure = <-h.panicked:
	case <-stop.Done():
	}
	err = errors.Join(failure, h.stopGracefully(force))
	if callerServerErr := <-callerServerDone; !errors.Is(callerServerErr, http.ErrServerClosed) {
		err = errors.Join(err, callerServerErr)
	}
	return err
}

func (h *Host) waitPeerServer(tasks *duty.Group, done <-chan error) {
	tasks.Stop()
	if err := <-done; err != nil && !errors.Is(err, net.ErrClosed) {
		h.config.Logger.Debug().Err(err).Msg("server for peers stopped")
	}
}

func (h *Host) serveCallers() error {
	if h.callerServer.TLSConfig != nil {
		return h.callerServer.ServeTLS(h.callerListener, "", "")
	}
	return h.callerServer.Serve(h.callerListener)
}
