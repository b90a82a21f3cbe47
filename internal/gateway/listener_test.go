package gateway_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"briarcroft/platform/standin"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// acceptError returns an error as net.Listener.Accept returns it.
func acceptError(errno error) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// TestHostOutlastsAcceptErrors guards against a host that ends, with all requests in progress, when one of its listeners has no
// descriptor or no memory for a connection.
func TestHostOutlastsAcceptErrors(t *testing.T) {
	for _, errno := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		withFleet(t, 2, 1, func(f *fleet) {
			h := f.hosts["h0"]
			for _, address := range []string{h.listen, h.inner, h.ready, h.directory} {
				f.net.FailAccept(address, acceptError(errno), acceptError(errno), acceptError(errno))
			}
			time.Sleep(time.Second)
			select {
			case err := <-h.done:
				t.Fatalf("the host ended: %v", err)
			default:
			}
			f.is.Equal(f.call("h0", "POST", "/order/1", "r1").status, http.StatusOK)
			for _, url := range []string{"http://" + h.ready + "/api/readiness", "http://" + h.directory + "/api/resolve"} {
				f.is.Equal(f.get(url), http.StatusOK)
			}
			conn, err := f.net.Dialer("peer")(context.Background(), "tcp", h.inner)
			f.is.NoErr(err)
			f.is.NoErr(conn.Close())
		})
	}
}

// TestFailedListenerStopsGracefully guards against a host that cuts the requests in progress when a listener has failed for good.
func TestFailedListenerStopsGracefully(t *testing.T) {
	for _, name := range []string{"callers", "peers", "readiness"} {
		withFleet(t, 1, 1, func(f *fleet) {
			is, h := is.New(t), f.hosts["h0"]
			f.targets["t0"].Update(func(t *standin.Target) { t.RunDuration = 800 * time.Millisecond })
			answered := make(chan reply, 1)
			f.running.Go(func() { answered <- f.call("h0", "POST", "/order/1", "r1") })
			time.Sleep(100 * time.Millisecond)
			address := map[string]string{"callers": h.listen, "peers": h.inner, "readiness": h.ready}[name]
			f.net.FailAccept(address, acceptError(unix.EBADF))
			select {
			case err := <-h.done:
				t.Fatalf("the host ended before the request was answered: %v", err)
			case r := <-answered:
				is.Equal(r.status, http.StatusOK)
			}
			err := <-h.done
			is.True(err != nil) // so that the process ends with an error
			h.done <- err       // for close, which receives from it again
		})
	}
}

// get returns the status of the response to a request for a page of a host, on a new connection.
func (f *fleet) get(url string) int {
	transport := &http.Transport{DialContext: f.net.Dialer("platform"), DisableKeepAlives: true}
	r, err := http.NewRequest(http.MethodGet, url, nil)
	f.is.NoErr(err)
	response, err := transport.RoundTrip(r)
	f.is.NoErr(err)
	f.is.NoErr(response.Body.Close())
	return response.StatusCode
}
