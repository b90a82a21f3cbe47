package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/settings"
	"briarcroft/internal/socket"
)

// keptCaller is a caller that sends requests on one connection.
type keptCaller struct {
	net.Conn
	*bufio.Reader
}

func (f *fleet) keep(host string) keptCaller {
	conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.nodes[host].listen)
	f.is.NoErr(err)
	return keptCaller{conn, bufio.NewReader(conn)}
}

// do sends a request and returns the response, or nil if the connection has ended instead.
func (c keptCaller) do(path string) *http.Response {
	if _, err := fmt.Fprintf(c.Conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
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

// TestHostAtConnectionLimit guards against idle connections that leave no descriptors for requests, so that callers wait and requests
// in progress find no connection to their target.
func TestHostAtConnectionLimit(t *testing.T) {
	const descriptors, inProgress = 120, 10
	slow := func(_ *fakeBackend, w http.ResponseWriter, _ *http.Request, _ string) {
		time.Sleep(800 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	}
	withFleet(t, func(f *fleet) {
		f.adjustSettings = func(s *settings.Settings) { s.Limits.Descriptors = descriptors }
		f.startAll(1)
		_, content := f.backends(8, slow)
		f.publish(content)
		f.awaitNote(1, 10*time.Second)
		limit := socket.CallerLimit(descriptors, 0)
		var idle []keptCaller
		for range limit - inProgress {
			c := f.keep("entry-1")
			f.is.Equal(c.do(pathHealth).StatusCode, http.StatusOK)
			idle = append(idle, c)
		}
		statuses := make(chan int, inProgress)
		for range inProgress {
			go func() {
				status := 0
				if r := f.keep("entry-1").do("/x"); r != nil {
					status = r.StatusCode
				}
				statuses <- status
			}()
		}
		time.Sleep(300 * time.Millisecond)
		served, refused := 0, 0
		for range limit {
			c, started := f.keep("entry-1"), time.Now()
			r := c.do(pathHealth)
			switch {
			case r == nil || time.Since(started) > 50*time.Millisecond:
				t.Errorf("a caller got %+v after %v", r, time.Since(started))
			case r.StatusCode == http.StatusOK:
				served++
			case r.StatusCode == http.StatusServiceUnavailable && r.Close && r.Header.Get("Retry-After") != "":
				refused++
				f.is.NoErr(c.Close())
			default:
				t.Errorf("a caller got %+v", r)
			}
			open := f.nodes["entry-1"].host.callerConns.status().Open
			f.is.True(open <= limit+socket.RefusalSlots(descriptors))
		}
		for range inProgress {
			f.is.Equal(<-statuses, http.StatusOK)
		}
		f.is.Equal(served, limit-inProgress) // in place of the idle ones
		f.is.Equal(refused, inProgress)
		for _, c := range idle {
			f.is.Equal(c.do(pathHealth), nil) // closed
		}
	})
}
