package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// earlyResponse is a response without a length, which a backend server sends before it has read the body of the request.
const earlyResponse = "HTTP/1.1 200 OK\r\nId: own\r\n\r\npart"

// serveEarly answers each connection with earlyResponse as soon as a request begins to arrive, and then ends it in the given way.
func serveEarly(t *testing.T, end func(*net.TCPConn)) (address string) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = bufio.NewReader(conn).ReadByte()
				_, _ = io.WriteString(conn, earlyResponse)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends a body to a backend server and returns the body of the response.
func upload(address string, body io.Reader, length int64) (string, error) {
	pool, closePool := New(Config{
		Address: address, MaxConnections: 1, DialTimeout: time.Second, UnackedTimeout: 200 * time.Millisecond,
		ID: func(h http.Header) string { return h.Get("Id") },
	})
	defer closePool()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://target/", body)
	if err != nil {
		return "", err
	}
	r.ContentLength = length
	r.Header.Set("Id", "own")
	response, err := pool.Do(r, Options{})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// TestBrokenUploadLeavesNoWholeResponse guards against a part of a response without a length that is taken for all of it, because the
// write of the request's body got the error of the connection and the read found its end.
func TestBrokenUploadLeavesNoWholeResponse(t *testing.T) {
	const size = 8 << 20
	for _, c := range []struct {
		name string
		// end ends a connection on which the response was sent and the body of the request still arrives.
		end    func(*net.TCPConn)
		rounds int
		// whole is set if the response is complete.
		whole bool
	}{
		{"reset at once", func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, 20, false},
		{"reset while the body is written", func(conn *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			_ = conn.SetLinger(0)
		}, 20, false},
		{"closed with unread bytes", func(*net.TCPConn) { time.Sleep(10 * time.Millisecond) }, 20, false},
		{"nothing is read any more", func(*net.TCPConn) { time.Sleep(2 * time.Second) }, 2, false},
		{"closed, and read on", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, 20, true},
		{"closed, and read on later", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, conn)
		}, 5, true},
	} {
		for _, length := range []int64{size, -1} {
			t.Run(fmt.Sprintf("%s, length %d", c.name, length), func(t *testing.T) {
				t.Parallel()
				address := serveEarly(t, c.end)
				for range c.rounds {
					body, err := upload(address, strings.NewReader(strings.Repeat("x", size)), length)
					if (err == nil) != c.whole || c.whole && body != "part" {
						t.Fatalf("body %q, error %v", body, err)
					}
				}
			})
		}
	}
}

// silentReader is a body of a request of which nothing more arrives until it is closed.
type silentReader struct{ closed chan struct{} }

func (r silentReader) Read([]byte) (int, error) {
	<-r.closed
	return 0, io.EOF
}

// TestResponseEndsWhileBodyIsAwaited guards against a response that ends with its connection and is waited for until the caller has sent
// the rest of the request's body.
func TestResponseEndsWhileBodyIsAwaited(t *testing.T) {
	is := is.New(t)
	address := serveEarly(t, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
	rest := silentReader{make(chan struct{})}
	defer close(rest.closed)
	started := time.Now()
	body, err := upload(address, io.MultiReader(strings.NewReader(strings.Repeat("x", 64<<10)), rest), -1)
	is.NoErr(err)
	is.Equal(body, "part")
	is.True(time.Since(started) < 5*time.Second)
}

// failingConn is a connection to a backend server that has sent a response and resets the connection when it has received a number of
// bytes: the next write gets the error, and then the read finds the end, as on Linux.
type failingConn struct {
	cutConn
	accepted int
	err      error
	// failed is closed when a write has got the error.
	failed chan struct{}
}

func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

func (c *failingConn) Write(p []byte) (int, error) {
	if c.accepted -= len(p); c.accepted >= 0 {
		return len(p), nil
	}
	close(c.failed)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: c.err}
}

func (c *failingConn) Read(p []byte) (int, error) {
	n, err := c.cutConn.Read(p)
	if err == io.EOF {
		<-c.failed
	}
	return n, err
}

// TestCutResponsesToBrokenUploadsFail guards against responses that look whole although the backend server broke off: they are cut after each byte
// and the connection is reset, before the body of a request is written, in the middle of it and behind it. The error goes to the write, or to
// the read if nothing is left to be written.
func TestCutResponsesToBrokenUploadsFail(t *testing.T) {
	const size = 20 << 10
	for _, c := range wholeResponses {
		if c.method == http.MethodHead {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			for cut := range len(c.response) + 1 {
				for _, accepted := range []int{0, size / 2, size + writeBufferBytes} {
					conn := &failingConn{cutConn: cutConn{sent: strings.NewReader(c.response[:cut]), end: io.EOF}, accepted: accepted, err: syscall.ECONNRESET, failed: make(chan struct{})}
					if accepted > size {
						conn.end = syscall.ECONNRESET
					}
					body, err := fetchFrom(conn, http.MethodPost, strings.NewReader(strings.Repeat("x", size)))
					whole := cut == len(c.response) && !c.endsWithConnection
					if whole != (err == nil) || whole && body != c.body {
						t.Errorf("cut after %q, %d bytes were written: body %q, error %v", c.response[:cut], accepted, body, err)
					}
				}
			}
		})
	}
}

// TestFailedWriteLeavesNoWholeResponse guards against a part of a response without a length that is taken for all of it after the write
// of a request has failed: at each write, for each error that ends a connection, with and without a body.
func TestFailedWriteLeavesNoWholeResponse(t *testing.T) {
	for _, size := range []int{0, 8 << 10, 40 << 10} {
		for _, cause := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EPIPE, syscall.EHOSTUNREACH} {
			for accepted := 0; accepted == 0 || accepted < size; accepted += writeBufferBytes {
				conn := &failingConn{cutConn: cutConn{sent: strings.NewReader(earlyResponse), end: io.EOF}, accepted: accepted, err: cause, failed: make(chan struct{})}
				body, err := fetchFrom(conn, http.MethodPost, strings.NewReader(strings.Repeat("x", size)))
				if !errors.Is(err, cause) && !errorx.IsOfType(err, ErrConnectionBroke) {
					t.Errorf("%d of %d bytes were written before %v: body %q, error %v", accepted, size, cause, body, err)
				}
			}
		}
	}
}
