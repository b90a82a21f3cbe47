package command

import (
	"runtime/debug"

	"briarcroft/internal/entry"
	"briarcroft/internal/platform"
	"briarcroft/internal/settings"
)

// gcPercent is how far the heap may grow between two collections; a host's live heap is a few megabytes.
const gcPercent = 400

type serveCommand struct {
	*root
	Config string `long:"config" required:"true" description:"settings file in INI"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	logger := c.logger(s.Log.Level).With().Str("Host", s.Host.Name).Logger()
	store, closeStore := platform.NewEtcd(platform.EtcdConfig{URL: s.Platform.Store, Timeout: s.Platform.Timeout})
	defer closeStore()
	config := entry.Config{Settings: s, Logger: logger, Store: store}
	if s.Platform.HostList != "" {
		list, closeList := platform.NewHostList(platform.HostListConfig{URL: s.Platform.HostList, Timeout: s.Platform.Timeout})
		defer closeList()
		config.HostList = list
	}
	h, closeHost, err := entry.New(config)
	if err != nil {
		return err
	}
	defer closeHost()
	stop, force, release := signals()
	defer release()
	logger.Info().Str("Listen", h.Listen()).Str("Inner", h.Inner()).Msg("entry host started")
	err = h.Serve(stop, force)
	logger.Info().Err(err).Msg("entry host stopped")
	return err
}
