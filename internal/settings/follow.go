package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// FollowConfig sets up Follow.
type FollowConfig struct {
	File string
	// Every is how often the file is read, and Hup asks for a reading at once.
	Every time.Duration
	Hup   <-chan os.Signal
	// OnChange gets settings that differ from the last ones, and OnRefused why new ones are not taken.
	OnChange  func(Settings)
	OnRefused func(error)
}

// Follow reads a settings file again and again until the context ends, and reports its end on the channel.
// A file that can't be used changes nothing.
func Follow(ctx context.Context, c FollowConfig) <-chan struct{} {
	last, err := os.ReadFile(c.File)
	if err != nil {
		c.OnRefused(ErrFile.New("%v; the settings in force stay", err))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow(ctx, c, last)
	}()
	return done
}

func follow(ctx context.Context, c FollowConfig, last []byte) {
	ticker := time.NewTicker(c.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Hup:
		case <-ticker.C:
		}
		text, err := os.ReadFile(c.File)
		if err == nil && bytes.Equal(text, last) {
			continue
		}
		last = text
		if err != nil {
			c.OnRefused(ErrFile.New("%v; the settings in force stay", err))
			continue
		}
		s, err := Parse(c.File, text)
		if err != nil {
			c.OnRefused(err)
			continue
		}
		c.OnChange(s)
	}
}
