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

// settleTime is how long a changed file must stay the same before it is applied. The beginning of a file that is still being
// written can be valid, with the defaults for what is missing.
const settleTime = 500 * time.Millisecond

// Watch reads a settings file periodically, in the background, and reports changes until the context ends; then it closes
// the returned channel. A change is reported once the file has not changed further for settleTime. A file that cannot be read or is
// invalid leaves the settings in force as they are.
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
		content, err := readSettled(ctx, c.File, last)
		if ctx.Err() != nil {
			return
		}
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

// readSettled reads a file until it has the former content or has stayed the same for settleTime. It returns early when the context
// ends.
func readSettled(ctx context.Context, file string, former []byte) ([]byte, error) {
	content, err := os.ReadFile(file)
	for err == nil && !bytes.Equal(content, former) {
		select {
		case <-ctx.Done():
			return former, nil
		case <-time.After(settleTime):
		}
		earlier := content
		if content, err = os.ReadFile(file); bytes.Equal(content, earlier) {
			break
		}
	}
	return content, err
}
