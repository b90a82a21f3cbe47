package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/settings"
	"briarcroft/internal/socket"
	"briarcroft/platform/standin"

	"golang.org/x/sys/unix"
)

// keptCaller is a caller that sends requests on one connection.
type keptCaller struct {
	net.Conn
	*bufio.Reader
}

func (f *fleet) keep(host string) keptCaller {
	conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts[host].listen)
	f.is.NoErr(err)
	return keptCaller{conn, bufio.NewReader(conn)}
}

// do sends a request and returns the response, or nil if the connection has ended instead.
func (c keptCaller) do(method, path, id string) *http.Response {
	if _, err := io.WriteString(c.Conn, requestText(method, path, id, "")); err != nil {
		return nil
	}
	response, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil
	}
	return response
}

// TestHostAtConnectionLimit guards against a host that loses requests in progress, or lets callers wait, when more callers connect than
// it has descriptors for.
func TestHostAtConnectionLimit(t *testing.T) {
	const descriptors, inProgress = 120, 20
	withSettings(t, func(s *settings.Settings) { s.Limits.Descriptors = descriptors }, 1, 8, func(f *fleet) {
		limit := socket.CallerLimit(descriptors, 0)
		var idle []keptCaller
		for range limit - inProgress {
			c := f.keep("h0")
			f.is.Equal(c.do("GET", "/unknown/", "u").StatusCode, http.StatusNotFound)
			idle = append(idle, c)
		}
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.RunDuration = 700 * time.Millisecond })
		}
		var running sync.WaitGroup
		for i := range inProgress {
			running.Go(func() {
				id := fmt.Sprint("r", i)
				if r := f.keep("h0").do("POST", "/order/x", id); r == nil || r.StatusCode != http.StatusOK || f.runsOf(id) != 1 {
					t.Errorf("a request in progress got %+v and ran %d times", r, f.runsOf(id))
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		served, refused, most := 0, 0, 0
		for range limit {
			c, started := f.keep("h0"), time.Now()
			r := c.do("GET", "/unknown/", "u")
			retryAfter := 0.0
			if r != nil {
				retryAfter, _ = strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
			}
			switch {
			case r == nil || time.Since(started) > 50*time.Millisecond:
				t.Errorf("a caller got %+v after %v", r, time.Since(started))
			case r.StatusCode == http.StatusNotFound:
				served++
			case r.StatusCode == http.StatusServiceUnavailable && r.Close && retryAfter > 0:
				refused++
				f.is.NoErr(c.Close())
			default:
				t.Errorf("a caller got %+v", r)
			}
			counts := f.hosts["h0"].gateway.ConnectionCounts()
			most = max(most, counts.Unused+counts.Reading+counts.Busy+counts.CallerLeft+counts.Idle+counts.Closing)
		}
		running.Wait()
		t.Logf("%d served, %d refused, at most %d connections of callers", served, refused, most)
		f.is.Equal(served+refused, limit)
		f.is.True(served > (limit-inProgress)/2) // in place of idle ones
		f.is.True(most < descriptors/2+descriptors/8)
		for _, c := range idle {
			f.is.Equal(c.do("GET", "/unknown/", "u"), nil) // closed
		}
	})
}

// TestRequestFindsDescriptor guards against sound targets that count as unreachable because the host has no descriptor for a connection
// to them.
func TestRequestFindsDescriptor(t *testing.T) {
	withFleet(t, 1, 1, func(f *fleet) {
		c := f.keep("h0")
		f.is.Equal(c.do("GET", "/unknown/", "u").StatusCode, http.StatusNotFound)
		time.Sleep(time.Second)
		// The host has no descriptor while the connection of the idle caller is open.
		f.failDial.Store(func() error {
			if f.hosts["h0"].gateway.ConnectionCounts().Idle > 0 {
				return &net.OpError{Op: "dial", Net: "tcp", Err: unix.EMFILE}
			}
			return nil
		})
		r := f.call("h0", "POST", "/order/x", "r1")
		f.is.Equal(r.status, http.StatusOK)
		f.is.Equal(c.do("GET", "/unknown/", "u"), nil) // closed
		// The first of these requests uses the open connection, and none can be closed for the second.
		f.failDial.Store(func() error { return &net.OpError{Op: "dial", Net: "tcp", Err: unix.EMFILE} })
		f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 700 * time.Millisecond })
		f.running.Go(func() { f.is.Equal(f.call("h0", "POST", "/order/x", "r2").status, http.StatusOK) })
		time.Sleep(10 * time.Millisecond)
		r = f.call("h0", "POST", "/order/x", "r3")
		f.is.Equal(r.status, http.StatusServiceUnavailable)
		f.is.Equal(f.runsOf("r3"), 0)
		f.failDial.Store(func() error { return nil })
		f.is.Equal(f.call("h0", "POST", "/order/x", "r4").status, http.StatusOK) // the target is not taken for lost
	})
}

// TestSlowHeadAtConnectionLimit guards against a caller that is told that its request is malformed, so that it does not send it again,
// because the host refuses its connection before the head has arrived.
func TestSlowHeadAtConnectionLimit(t *testing.T) {
	const descriptors = 64
	for _, head := range []string{"GET /unknown/ HT", "GET /unknown/ HTTP/1.1\r\nHost: www.exa", "GET /unknown/ HTTP/1.1\r\nHost: www.example\r\n"} {
		withSettings(t, func(s *settings.Settings) { s.Limits.Descriptors = descriptors }, 1, 1, func(f *fleet) {
			for range socket.CallerLimit(descriptors, 0) {
				_ = f.keep("h0")
			}
			c := f.keep("h0")
			_, err := io.WriteString(c.Conn, head)
			f.is.NoErr(err)
			response, err := http.ReadResponse(c.Reader, nil)
			f.is.NoErr(err)
			if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
				t.Errorf("%q: %d %v", head, response.StatusCode, response.Header)
			}
		})
	}
}
