package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"briarcroft/internal/gateway"
	"briarcroft/platform/standin"
)

// send opens a connection from a caller to a host, writes text and reads what arrives in the background.
func (f *fleet) send(host, text string) net.Conn {
	conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts[host].listen)
	f.is.NoErr(err)
	_, err = io.WriteString(conn, text)
	f.is.NoErr(err)
	f.running.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	return conn
}

// requestText returns the text of a request.
func requestText(method, path, id, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\n%s\r\n", method, path, id, fields)
}

// TestConnectionsAreCounted guards against connections that no counter shows, so that nobody can tell what holds the descriptors of a
// host.
func TestConnectionsAreCounted(t *testing.T) {
	withFleet(t, 1, 1, func(f *fleet) {
		f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 500 * time.Millisecond })
		var conns []net.Conn
		open := func(text string) { conns = append(conns, f.send("h0", text)) }
		steps := []struct {
			name string
			do   func()
			want gateway.ConnectionCounts
		}{
			{"no bytes", func() { open("") }, gateway.ConnectionCounts{Unused: 1}},
			{"part of a head", func() { open("GET /lookup/1 HTTP/1.1\r\n") }, gateway.ConnectionCounts{Unused: 1, Reading: 1}},
			{"requests in progress", func() {
				open(requestText("GET", "/lookup/2", "r2", ""))
				open(requestText("POST", "/order/3", "r3", "Connection: close\r\n"))
				open(requestText("POST", "/order/4", "r4", ""))
			}, gateway.ConnectionCounts{Unused: 1, Reading: 1, Busy: 3, TargetsBusy: 3}},
			{"caller of an unsafe request leaves", func() { f.is.NoErr(conns[4].Close()) },
				gateway.ConnectionCounts{Unused: 1, Reading: 1, Busy: 2, CallerLeft: 1, TargetsBusy: 3}},
			{"responses", func() { time.Sleep(time.Second / 2) }, gateway.ConnectionCounts{Unused: 1, Reading: 1, Idle: 1, Closing: 1}},
			{"header time limit", func() { time.Sleep(3 * time.Second) }, gateway.ConnectionCounts{Unused: 1, Idle: 1}},
			{"idle time limit", func() { time.Sleep(16 * time.Second) }, gateway.ConnectionCounts{}},
		}
		for _, step := range steps {
			step.do()
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			got := f.hosts["h0"].gateway.ConnectionCounts()
			got.TargetsIdle, got.ToPeers, got.FromPeers, got.Pages = 0, 0, 0, 0
			if got != step.want {
				t.Errorf("%s: %+v, want %+v", step.name, got, step.want)
			}
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	withFleet(t, 2, 1, func(f *fleet) {
		conn, err := f.net.Dialer("platform")(context.Background(), "tcp", f.hosts["h0"].ready)
		f.is.NoErr(err)
		f.is.Equal(f.call("h0", "GET", "/lookup/1", "r1").status, 200)
		got := f.hosts["h0"].gateway.ConnectionCounts()
		f.is.Equal(got.Pages, 1)
		f.is.Equal(got.TargetsIdle, 1)
		f.is.True(got.ToPeers > 0)
		f.is.True(got.FromPeers > 0)
		f.is.NoErr(conn.Close())
		time.Sleep(20 * time.Second)
		f.is.Equal(f.hosts["h0"].gateway.ConnectionCounts().Pages, 0)
	})
}
