package settings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const validSettings = "[Host]\nName = h\nDomain = d\nListen = 127.0.0.1:1\nInner = 127.0.0.1:2\n[Platform]\nStore = http://127.0.0.1:3\n[Peers]\nSeeds = "

// TestWatch checks that a changed settings file is applied after a signal and after the interval, and that an invalid one
// is rejected once and leaves the settings as they are.
func TestWatch(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.ini")
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		write := func(content string) { is.NoErr(os.WriteFile(file, []byte(content), 0o600)) }
		write(validSettings + "127.0.0.1:4\n")
		ctx, cancel := context.WithCancel(context.Background())
		reload := make(chan os.Signal, 1)
		var seeds []string
		rejected := 0
		done := Watch(ctx, WatchConfig{
			File: file, Content: []byte(validSettings + "127.0.0.1:4\n"), Interval: 2 * time.Second, Reload: reload,
			OnChange: func(s Settings) { seeds = s.Peers.Seeds }, OnRejected: func(error) { rejected++ },
		})
		write(validSettings + "127.0.0.1:5\n")
		reload <- syscall.SIGHUP
		time.Sleep(settleTime)
		synctest.Wait()
		is.Equal(seeds, []string{"127.0.0.1:5"})
		write("[Host]\nName = ")
		time.Sleep(3 * time.Second)
		is.Equal(rejected, 1)
		is.Equal(seeds, []string{"127.0.0.1:5"})
		write(validSettings + "127.0.0.1:6\n")
		time.Sleep(3 * time.Second)
		is.Equal(seeds, []string{"127.0.0.1:6"})
		is.Equal(rejected, 1)
		cancel()
		<-done
	})
}

// TestHalfWrittenSettingsAreNotApplied guards against a file that is still being written and whose beginning is valid: a host that
// applied it had the default StopTimeout, and its graceful stop lasted longer than its supervisor waited.
func TestHalfWrittenSettingsAreNotApplied(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.ini")
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		write := func(content string) { is.NoErr(os.WriteFile(file, []byte(content), 0o600)) }
		ctx, cancel := context.WithCancel(context.Background())
		reload := make(chan os.Signal, 1)
		var stopTimeouts []time.Duration
		done := Watch(ctx, WatchConfig{
			File: file, Interval: 2 * time.Second, Reload: reload,
			OnChange:   func(s Settings) { stopTimeouts = append(stopTimeouts, s.Limits.StopTimeout) },
			OnRejected: func(err error) { t.Error(err) },
		})
		for _, ending := range []string{"127.0.0.1:5", "127.0.0.1:55\n[Limits]\n", "127.0.0.1:55\n[Limits]\nStopTimeout = 4s\n"} {
			write(validSettings + ending)
			reload <- syscall.SIGHUP
			time.Sleep(settleTime / 2)
		}
		time.Sleep(4 * time.Second)
		cancel()
		<-done
		is.Equal(stopTimeouts, []time.Duration{4 * time.Second})
	})
}
