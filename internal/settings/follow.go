package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// WatchConfig configures Watch.
type WatchConfig struct {
	File string
	// Content is that of the file when the settings in force were read.
	Content []byte
	// Interval is the time between two reads of the file.
	Interval time.Duration
	// Reload makes Watch read the file at once.
	Reload <-chan os.Signal
	// OnChange is called with the new settings after the file has changed.
	OnChange func(Settings)
	// OnRejected is called with the error if the file cannot be read or its settings are invalid.
	OnRejected func(error)
}

// Watch reads a settings file periodically, in the background, and reports changes until the context ends; then it closes
// the returned channel. A file that cannot be read or is invalid leaves the settings in force as they are.
func Watch(ctx context.Context, c WatchConfig) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		watch(ctx, c, c.Content)
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
		content, err := os.ReadFile(c.File)
		if err == nil && bytes.Equal(content, last) {
			continue
		}
		last = content
		if err != nil {
			c.OnRejected(ErrFile.New("cannot read the settings: %v; the current ones stay in force", err))
			continue
		}
		s, err := Parse(c.File, content)
		if err != nil {
			c.OnRejected(err)
			continue
		}
		c.OnChange(s)
	}
}
