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
