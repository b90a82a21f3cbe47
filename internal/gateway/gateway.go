// Package gateway is an entry host whose requests are placed by the home of their service: it takes requests from callers,
// asks the home for a place, sends them to backend servers and answers.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/meter"
	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/platform"
	"briarcroft/internal/record"
	"briarcroft/internal/ring"
	"briarcroft/internal/roster"
	"briarcroft/internal/route"
	"briarcroft/internal/settings"
	"briarcroft/internal/socket"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
)

var namespace = errorx.NewNamespace("gateway").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrListen reports an address that cannot be listened on.
var ErrListen = namespace.NewType("listen")

// bookRecords is the number of records of changes that are kept for explanations.
const bookRecords = 256

// peersInDomain is how many peers of the own failure domain a heartbeat goes to.
const peersInDomain = 2

// Dialect is how a platform names things towards callers and backend servers.
type Dialect struct {
	// Header fields of requests: their number, and the caller's remaining patience in milliseconds.
	AttemptHeader  string
	DeadlineHeader string
	// ExpectHeader tells a backend server which one is meant, so that another at its address declines.
	ExpectHeader string
	// Header fields of answers: the proof that a backend server made it, its word that it did not run the request,
	// its name and its load.
	SealHeader     string
	NotRunHeader   string
	InstanceHeader string
	LoadHeader     string
	// ParseLoad reads LoadHeader.
	ParseLoad func(string) (placement.Load, bool)
	// Decode reads entries of the store.
	Decode roster.DecodeFunc
	// NeighbourKey is the store key under which a host leaves its inner address.
	NeighbourKey func(host string) string
	// ReadyPath and AddressesPath are answered on the ready and the directory address.
	ReadyPath     string
	AddressesPath string
	// ParseAddresses reads who asks for addresses, and AddressesBody is the answer.
	ParseAddresses func(*http.Request) (domain, region string)
	AddressesBody  func(addresses []string, keepSeconds int) any
}

// Config sets up a Gateway.
type Config struct {
	Settings settings.Settings
	Dialect  Dialect
	Feed     platform.WatchableStore
	Logger   zerolog.Logger
	// Listen opens listeners; nil means TCP.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens connections to backend servers and peers; nil means TCP.
	Dial socket.DialFunc
}

// Gateway is one entry host.
type Gateway struct {
	config   Config
	settings settings.Settings
	// tunable holds the settings that may change while the host runs.
	tunable     atomic.Pointer[settings.Settings]
	dialect     Dialect
	start       time.Time
	incarnation uint64
	logger      zerolog.Logger
	trace       *trace
	book        *record.Book
	chain       *note.Chain
	roster      *roster.Roster
	table       *host.Table
	beats       *inner.Heartbeats
	client      *inner.Client
	kick        *ring.Ring[struct{}]
	ahead       *ring.Ring[host.Member]
	homes       *homes
	pools       *pools
	links       *links
	rules       atomic.Pointer[ruleIndex]
	shares      shares
	histograms  *meter.Histograms
	stats       stats
	followers   followers
	watch       watchState
	bodies      bodyBudget
	// adopting is held while a view is put in force; targetStates is what was last explained.
	adopting     sync.Mutex
	targetStates map[string]string
	// stopping is set once a graceful stop has begun.
	stopping atomic.Bool
	// inForce is when the note in force was adopted, in Unix milliseconds.
	inForce atomic.Int64
	// conns holds the open connections of callers, and open counts them.
	conns sync.Map
	open  atomic.Int64
	// background is the context of requests that go on when their caller leaves.
	background context.Context
}

// New returns a gateway and the function that closes its connections.
func New(c Config) (*Gateway, func()) {
	if c.Listen == nil {
		c.Listen = net.Listen
	}
	g := &Gateway{
		config: c, settings: c.Settings, dialect: c.Dialect, start: time.Now(), chain: &note.Chain{},
		kick: ring.New[struct{}](ring.Config{Capacity: 1}), ahead: ring.New[host.Member](ring.Config{Capacity: 1}), histograms: meter.NewHistograms(), logger: c.Logger,
		bodies: bodyBudget{limit: int64(c.Settings.Limits.HeldBytes)},
	}
	g.tunable.Store(&g.settings)
	g.incarnation = uint64(g.start.UnixMilli())<<16 | uint64(rand.Uint32N(1<<16))
	var closeBook, closeClient, closeTrace func()
	g.trace, closeTrace = newTrace(c.Logger)
	g.book, closeBook = record.New(record.Config{Host: c.Settings.Host.Name, Incarnation: g.incarnation, Capacity: bookRecords, Logger: c.Logger})
	g.client, closeClient = inner.NewClient(inner.ClientConfig{Dial: c.Dial})
	g.table = host.New(host.Config{
		Self: host.Member{
			Name: c.Settings.Host.Name, Listen: c.Settings.Host.Listen, Inner: c.Settings.Host.PeerAddress(),
			Domain: c.Settings.Host.Domain, Region: c.Settings.Host.Region, Incarnation: g.incarnation,
		},
		Seeds: c.Settings.Peers.Seeds, PerDomain: peersInDomain, Random: rand.New(rand.NewPCG(g.incarnation, 2)),
	})
	g.beats = &inner.Heartbeats{Table: g.table, Client: g.client, Now: g.now, Request: func(n host.News) *inner.HeartbeatRequest {
		return inner.Request(c.Settings.Host.Name, n)
	}, Heard: func(r *inner.HeartbeatReply) { g.heard(r.Sender, r.Members) }}
	var endAll context.CancelFunc
	g.background, endAll = context.WithCancel(context.Background())
	g.rules.Store(&ruleIndex{})
	g.homes = newHomes(g)
	g.pools = newPools(g)
	g.links = newLinks(g)
	g.followers.byNumber = map[uint64]*ring.Ring[news]{}
	g.roster = roster.New(roster.Config{Decode: c.Dialect.Decode, OnRefused: g.refusedEntry, OnChange: g.adopt})
	return g, func() {
		endAll()
		g.links.close()
		g.pools.close()
		closeClient()
		closeBook()
		closeTrace()
	}
}

// now is the host's monotonic clock.
func (g *Gateway) now() time.Duration { return time.Since(g.start) }

// Listen returns the address that callers connect to.
func (g *Gateway) Listen() string { return g.settings.Host.Listen }

// Inner returns the address that peers connect to.
func (g *Gateway) Inner() string { return g.settings.Host.Inner }

// Reload takes new settings; addresses and names hold until the next start.
func (g *Gateway) Reload(s settings.Settings) {
	g.tunable.Store(&s)
	g.table.SetSeeds(s.Peers.Seeds)
	g.logger.Info().Strs("Seeds", s.Peers.Seeds).Bool("NeedsRestart", s.Host != g.settings.Host || s.Platform != g.settings.Platform).Msg("settings reloaded")
}

// refusedEntry explains an entry of the store that can't be used.
func (g *Gateway) refusedEntry(key string, err error) {
	g.book.Add(record.Record{Kind: record.NoteRejected, Cause: "StoreEntry", Note: g.chain.Number(), Evidence: record.Evidence{Detail: key + ": " + err.Error()}})
}

// adopt puts the newest view of the store in force.
func (g *Gateway) adopt() {
	g.adopting.Lock()
	defer g.adopting.Unlock()
	v := g.roster.View()
	g.adoptNote(v.Configuration)
	g.explainTargets(v)
	g.rules.Store(newRuleIndex(v.Configuration))
	g.homes.adopt(v)
	g.pools.adopt(v)
	g.refreshReady()
}

// adoptNote writes the release note that a new configuration amounts to.
func (g *Gateway) adoptNote(c note.Configuration) {
	_, _, old := g.chain.Head()
	if c.Number <= old.Number {
		return
	}
	difference := note.Difference(old, c)
	snapshot := note.Snapshot{Record: note.Record{Number: c.Number, Configuration: c.Hash(), Note: difference}, Configuration: c}
	if _, err := g.chain.AdoptSnapshot(snapshot); err != nil {
		g.book.Add(record.Record{Kind: record.NoteRejected, Cause: "Snapshot", Note: c.Number, Evidence: record.Evidence{Detail: err.Error()}})
		return
	}
	g.inForce.Store(time.Now().UnixMilli())
	g.table.SetNote(c.Number)
	g.book.Add(record.Record{
		Kind: record.NoteAdopted, Note: c.Number, Cause: "Store",
		Evidence: record.Evidence{Hash: snapshot.Record.Configuration, Detail: difference.Summary()},
	})
}

// explainTargets writes a record for each target that came, began to leave or went. Only one view is adopted at a time.
func (g *Gateway) explainTargets(v *roster.View) {
	now := map[string]string{}
	for service, list := range v.Targets {
		for _, t := range list {
			state := route.Live.String()
			if t.Leaving {
				state = route.Draining.String()
			}
			now[t.Name] = state
			if old := g.targetStates[t.Name]; old != state {
				g.book.Add(record.Record{Kind: record.TargetMoved, Service: service, Target: t.Name, From: old, To: state, Cause: "Registered", Note: g.chain.Number()})
			}
		}
	}
	for name := range g.targetStates {
		if now[name] == "" {
			g.book.Add(record.Record{Kind: record.TargetForgotten, Target: name, Cause: "EntryRemoved", Note: g.chain.Number()})
		}
	}
	g.targetStates = now
}

// refreshReady makes the host ready once it knows a configuration and is not stopping.
func (g *Gateway) refreshReady() {
	ready := g.chain.Number() > 0 && !g.stopping.Load()
	if ready != g.table.Self().Ready {
		g.table.SetReady(ready)
		g.kick.Push(struct{}{})
	}
}

// Serve runs the gateway until stop ends, then stops gracefully; it returns at once when force ends.
func (g *Gateway) Serve(stop, force context.Context) error {
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	d := duty.New()
	defer d.End()
	for _, duty := range []func(context.Context){g.beatDuty, g.watchDuty, g.followDuty, g.catchUpDuty, g.tickDuty, g.rosterDuty} {
		d.Start(duty)
	}
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		d.Start(func(ctx context.Context) {
			if err := l.serve(ctx); err != nil {
				failed <- err
			}
		})
	}
	select {
	case err := <-failed:
		return errorx.Decorate(err, "a listener failed")
	case <-force.Done():
		return nil
	case <-stop.Done():
	}
	g.stopGracefully(force, func() {
		// The front listener is of no more use, whatever Close says.
		_ = listeners[frontListener].Close()
	})
	return nil
}

// listener is one address with what answers on it.
type listener struct {
	net.Listener
	answer func(context.Context, net.Listener) error
}

func (l listener) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// A listener that is closed twice tells nothing of use.
		_ = l.Close()
	})
	defer stop()
	err := l.answer(ctx, l.Listener)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// frontListener is the place of the callers' listener among a host's listeners.
const frontListener = 1

func (g *Gateway) listen() ([]listener, error) {
	s := g.settings.Host
	places := []struct {
		key, address string
		answer       func(context.Context, net.Listener) error
	}{
		{"Inner", s.Inner, g.servePeers},
		{"Listen", s.Listen, g.serveCallers},
		{"Ready", s.Ready, g.serveReady},
		{"Directory", s.Directory, g.serveDirectory},
		{"Metrics", s.Metrics, g.serveMetrics},
	}
	var list []listener
	for _, p := range places {
		if p.address == "" {
			continue
		}
		l, err := g.config.Listen("tcp", p.address)
		if err != nil {
			for _, opened := range list {
				err = errors.Join(err, opened.Close())
			}
			return nil, ErrListen.New("[Host] %s: %v; choose a free address", p.key, err)
		}
		list = append(list, listener{l, p.answer})
	}
	return list, nil
}
