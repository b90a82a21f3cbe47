package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// WatchConfig sets up Follow.
type WatchConfig struct {
	File string
	// Interval is how often the file is read, and Hup asks for a reading at once.
	Interval time.Duration
	Reload   <-chan os.Signal
	// OnChange gets settings that differ from the last ones, and OnRefused why new ones are not taken.
	OnChange   func(Settings)
	OnRejected func(error)
}

// Watch reads a settings file again and again until the context ends, and reports its end on the channel.
// A file that can't be used changes nothing.
func Watch(ctx context.Context, c WatchConfig) <-chan struct{} {
	last, err := os.ReadFile(c.File)
	if err != nil {
		c.OnRejected(ErrFile.New("%v; the settings in force stay", err))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		watch(ctx, c, last)
	}()
	return done
}

func watch(ctx context.Context, c WatchConfig, last []byte) {
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Reload:
		case <-ticker.C:
		}
		text, err := os.ReadFile(c.File)
		if err == nil && bytes.Equal(text, last) {
			continue
		}
		last = text
		if err != nil {
			c.OnRejected(ErrFile.New("%v; the settings in force stay", err))
			continue
		}
		s, err := Parse(c.File, text)
		if err != nil {
			c.OnRejected(err)
			continue
		}
		c.OnChange(s)
	}
}
