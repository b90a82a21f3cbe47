package command

import (
	"context"
	"log"
	"os"
	"runtime/debug"
	"time"

	"briarcroft/internal/entry"
	"briarcroft/internal/gateway"
	"briarcroft/internal/logqueue"
	internalplatform "briarcroft/internal/platform"
	"briarcroft/internal/settings"
	"briarcroft/internal/signals"
	"briarcroft/platform"

	"github.com/rs/zerolog"
)

// entryHostGCPercent is the garbage collector's target percentage (GOGC) of an entry host on Etcd. Its live heap is
// only a few megabytes, so letting it grow to five times that costs little memory and makes collections rare.
const entryHostGCPercent = 400

// gatewayGCPercent is the garbage collector's target percentage (GOGC) of a gateway: the heap grows by 40 % between two
// collections. It is lower than that of other entry hosts because gateways run on a platform that charges for the memory
// they use.
const gatewayGCPercent = 40

type serveCommand struct {
	*baseCommand
	Config string `long:"config" required:"true" env:"BRIARCROFT_BOOT" description:"settings file in INI"`
}

// settingsCheckInterval is the time between two checks of the settings file; SIGHUP causes a check at once.
const settingsCheckInterval = 2 * time.Second

// server is an entry host: an entry.Host, or a gateway.Gateway on the users' platform.
type server interface {
	// Serve runs the host until stop ends, then stops gracefully, or at once when force ends.
	Serve(stop, force context.Context) error
	// Reload passes changed settings to the host. A gateway applies some of them at once; an entry.Host applies none and
	// logs that it must be restarted.
	Reload(settings.Settings)
	// Listen returns the address for callers, Inner that for peers, which are the other entry hosts.
	Listen() string
	Inner() string
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	stop, force, release := shutdownContexts()
	defer release()
	hangups := signals.Hangups()
	signals.IgnoreBrokenPipes()
	content, err := os.ReadFile(c.Config)
	if err != nil {
		return settings.ErrFile.New("cannot read the settings: %v; name a readable INI file", err)
	}
	s, err := settings.Parse(c.Config, content)
	if err != nil {
		return err
	}
	lostLines := c.queueStreams()
	logger := c.newLogger(s.Log.Level).With().Str("Host", s.Host.Name).Logger()
	// net/http reports errors of connections to the standard logger.
	log.SetFlags(0)
	log.SetOutput(logger)
	h, closeHost, err := c.newServer(s, logger, lostLines)
	if err != nil {
		return err
	}
	defer closeHost()
	logger.Info().Str("Listen", h.Listen()).Str("Inner", h.Inner()).Str("Platform", s.Platform.Kind).Msg("entry host started")
	defer c.watchSettings(h, content, hangups, logger)()
	err = h.Serve(stop, force)
	logger.Info().Err(err).Msg("entry host stopped")
	return err
}

// Limits of the queues of the log.
const (
	// logQueueBytes is the size of the lines that may wait for the reader of one stream.
	logQueueBytes = 256 << 10
	// logCloseTimeout is how long the end of the process waits for the reader of one stream.
	logCloseTimeout = 100 * time.Millisecond
)

// queueStreams puts a queue before the output stream and one before the error stream, so that neither delays the host or the
// end of the process. The returned function counts the lines that were lost.
func (c *serveCommand) queueStreams() func() int64 {
	out, closeOut := logqueue.New(logqueue.Config{Out: c.out, Bytes: logQueueBytes, CloseTimeout: logCloseTimeout})
	err, closeErr := logqueue.New(logqueue.Config{Out: c.err, Bytes: logQueueBytes, CloseTimeout: logCloseTimeout})
	c.out, c.err = out, err
	c.closeStreams = func() {
		closeOut()
		closeErr()
	}
	return func() int64 { return out.Lost() + err.Lost() }
}

// watchSettings passes changed settings to the host until the returned function is called. content is that of the
// settings file with which the host was started.
func (c *serveCommand) watchSettings(h server, content []byte, hangups <-chan os.Signal, logger zerolog.Logger) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := settings.Watch(ctx, settings.WatchConfig{
		File: c.Config, Content: content, Interval: settingsCheckInterval, Reload: hangups, OnChange: h.Reload,
		OnRejected: func(err error) { logger.Error().Err(err).Msg("new settings refused; the old ones stay in force") },
	})
	return func() {
		cancel()
		<-done
	}
}

// newServer returns an entry host for the platform that the settings name, and the function that closes it. A gateway
// writes its log to the output stream, an entry host on Etcd to the error stream. The records that this command logs
// itself go to the error stream for both.
func (c *serveCommand) newServer(s settings.Settings, logger zerolog.Logger, lostLines func() int64) (server, func(), error) {
	if s.Platform.Kind == "Native" {
		h, closeHost := newGateway(s, logger.Output(c.out), lostLines)
		return h, closeHost, nil
	}
	return newEntryHost(s, logger, lostLines)
}

// newGateway returns an entry host for the users' platform (Kind = Native) and the function that closes it.
func newGateway(s settings.Settings, logger zerolog.Logger, lostLines func() int64) (server, func()) {
	debug.SetGCPercent(gatewayGCPercent)
	if limit := gateway.CollectionLimit(s); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	store, closeStore := platform.NewStore(platform.StoreConfig{URL: s.Platform.Store, Timeout: s.Platform.Timeout})
	h, closeHost := gateway.New(gateway.Config{Settings: s, Logger: logger, LostLogLines: lostLines, Store: store, Dialect: platform.Dialect()})
	return h, func() {
		closeHost()
		closeStore()
	}
}

// newEntryHost returns an entry host that uses an etcd-like store (Kind = Etcd) and the function that closes it.
func newEntryHost(s settings.Settings, logger zerolog.Logger, lostLines func() int64) (server, func(), error) {
	debug.SetGCPercent(entryHostGCPercent)
	store, closeStore := internalplatform.NewEtcd(internalplatform.EtcdConfig{URL: s.Platform.Store, Timeout: s.Platform.Timeout})
	closeHostList := func() {}
	config := entry.Config{Settings: s, Logger: logger, LostLogLines: lostLines, Store: store}
	if s.Platform.HostList != "" {
		config.HostList, closeHostList = internalplatform.NewHostList(internalplatform.HostListConfig{URL: s.Platform.HostList, Timeout: s.Platform.Timeout})
	}
	closeClients := func() {
		closeHostList()
		closeStore()
	}
	h, closeHost, err := entry.New(config)
	if err != nil {
		closeClients()
		return nil, nil, err
	}
	return h, func() {
		closeHost()
		closeClients()
	}, nil
}
