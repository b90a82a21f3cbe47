package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestListenerErrors guards against a host that ends, or goes on without a listener, when accepting a connection fails. After a
// permanent error it answers the requests in progress before it stops.
func TestListenerErrors(t *testing.T) {
	cases := []struct {
		errno     error
		peers     bool
		permanent bool
	}{{unix.ENOBUFS, false, false}, {unix.ENOMEM, true, false}, {unix.EBADF, false, true}, {unix.EBADF, true, true}}
	for _, c := range cases {
		slow := func(_ *fakeBackend, w http.ResponseWriter, _ *http.Request, _ string) {
			time.Sleep(time.Second)
			w.WriteHeader(http.StatusOK)
		}
		withFleetServing(t, 1, 1, slow, func(f *fleet, _ []*fakeBackend) {
			n := f.nodes["entry-1"]
			answered := make(chan int, 1)
			f.serving.Go(func() {
				response, _, err := f.send(n, http.MethodPost, "/x", "", nil)
				f.is.NoErr(err)
				answered <- response.StatusCode
			})
			time.Sleep(100 * time.Millisecond)
			address := n.listen
			if c.peers {
				address = n.inner
			}
			f.net.FailAccept(address, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", c.errno)})
			select {
			case err := <-n.done:
				t.Fatalf("the host ended before the request was answered: %v", err)
			case status := <-answered:
				f.is.Equal(status, http.StatusOK)
			}
			if c.permanent {
				err := <-n.done
				f.is.True(err != nil) // so that the process ends with an error
				n.done <- err         // for close, which receives from it again
				return
			}
			conn, err := f.net.Dialer("caller")(context.Background(), "tcp", address)
			f.is.NoErr(err)
			f.is.NoErr(conn.Close())
		})
	}
}
