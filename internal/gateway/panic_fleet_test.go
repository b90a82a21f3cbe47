package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarcroft/internal/gateway"
	"briarcroft/internal/placement"
	"briarcroft/internal/platform"
	"briarcroft/internal/roster"
	"briarcroft/platform/standin"
)

// TestPanicOfRunEndsOnlyThatRun guards against a panic on the goroutine of a run or of a health probe that ends the process. A run
// that panics may have reached its target, so it promises nothing.
func TestPanicOfRunEndsOnlyThatRun(t *testing.T) {
	var panics atomic.Bool
	withPreparedFleet(t, 2, 2, func(f *fleet) {
		f.changeConfig = func(c *gateway.Config) {
			parse := c.Dialect.ParseLoad
			c.Dialect.ParseLoad = func(s string) (placement.LoadReport, bool) {
				if panics.Load() {
					panic("load")
				}
				return parse(s)
			}
		}
	}, func(f *fleet) {
		panics.Store(true)
		for host := range f.hosts {
			r := f.call(host, http.MethodPost, "/order/1", host)
			f.is.NoErr(r.err)
			f.is.Equal(r.status, http.StatusBadGateway)
			f.is.Equal(f.runsOf(host), 1)
		}
		time.Sleep(time.Second)
		panics.Store(false)
		time.Sleep(2 * time.Second)
		f.is.Equal(f.call("h0", http.MethodGet, "/lookup/1", "next").status, http.StatusOK)
	})
}

// TestEntryThatPanicsIsIgnored guards against an entry of the store that ends all hosts because its decoder panics.
func TestEntryThatPanicsIsIgnored(t *testing.T) {
	withPreparedFleet(t, 3, 2, func(f *fleet) {
		f.changeConfig = func(c *gateway.Config) {
			decode := c.Dialect.Decode
			c.Dialect.Decode = func(key string, value []byte) (roster.DecodedEntry, error) {
				if key == "servers/odd" {
					panic("entry")
				}
				return decode(key, value)
			}
		}
	}, func(f *fleet) {
		f.store.Put("servers/odd", []byte("{}"))
		time.Sleep(3 * time.Second)
		f.configure(2, safeRule("lookup", "/lookup/"), safeRule("new", "/new/"))
		time.Sleep(2 * time.Second)
		for host := range f.hosts {
			f.is.Equal(f.call(host, http.MethodGet, "/new/1", host).status, http.StatusOK)
		}
	})
}

// panickingStore is a store whose calls panic while panics is set.
type panickingStore struct {
	platform.WatchableStore
	panics *atomic.Bool
}

// WaitForChanges implements platform.WatchableStore.
func (s panickingStore) WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platform.Change, int64, error) {
	if s.panics.Load() {
		panic("store")
	}
	return s.WatchableStore.WaitForChanges(ctx, prefix, after, wait)
}

// TestPanicOfTaskStopsGracefully guards against a panic of a background task that ends the process with the requests in progress,
// and against a host that goes on without the task.
func TestPanicOfTaskStopsGracefully(t *testing.T) {
	var panics atomic.Bool
	withPreparedFleet(t, 1, 2, func(f *fleet) {
		f.changeConfig = func(c *gateway.Config) {
			c.Store = panickingStore{c.Store, &panics}
		}
	}, func(f *fleet) {
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.RunDuration = 300 * time.Millisecond })
		}
		panics.Store(true)
		var calls sync.WaitGroup
		// The task notices at the end of its wait for changes, and the host stops accepting connections over two seconds later.
		for i := range 10 {
			calls.Go(func() {
				r := f.call("h0", http.MethodPost, "/order/1", fmt.Sprintf("o%d", i))
				f.is.NoErr(r.err)
				f.is.Equal(r.status, http.StatusOK)
			})
			time.Sleep(200 * time.Millisecond)
		}
		calls.Wait()
		err := <-f.hosts["h0"].done
		f.is.True(err != nil)
		f.hosts["h0"].done <- nil // for close, which receives from it again
	})
}

// TestPanicOfPageIsAnswered guards against a panic of a page of the host itself that closes the connection without an answer, and
// that no counter shows.
func TestPanicOfPageIsAnswered(t *testing.T) {
	withPreparedFleet(t, 1, 1, func(f *fleet) {
		f.changeConfig = func(c *gateway.Config) {
			c.Dialect.ParseAddresses = func(*http.Request) (domain, region string) { panic("page") }
		}
	}, func(f *fleet) {
		transport := &http.Transport{DialContext: f.net.Dialer("caller")}
		defer transport.CloseIdleConnections()
		r, err := http.NewRequest(http.MethodGet, "http://"+f.hosts["h0"].directory+"/api/resolve", nil)
		f.is.NoErr(err)
		response, err := transport.RoundTrip(r)
		f.is.NoErr(err)
		f.is.NoErr(response.Body.Close())
		f.is.Equal(response.StatusCode, http.StatusInternalServerError)
		f.is.Equal(f.hosts["h0"].gateway.Panics(), int64(1))
	})
}
