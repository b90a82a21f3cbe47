package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// brokenTarget sends a long response and breaks it off, or stops sending, for requests whose path ends with "/cut".
type brokenTarget struct {
	*standin.Target
	// length is the length in the header; it is 0 for a response in chunks.
	length int
	// sent is how many bytes of the body are sent.
	sent int
	// pause is how long the target waits before it breaks the connection.
	pause time.Duration
}

func (t *brokenTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/cut") {
		t.Target.ServeHTTP(w, r)
		return
	}
	w.Header().Set("X-Response-Seal", "seal")
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if t.length > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(t.length))
	}
	_, _ = w.Write(bytes.Repeat([]byte("x"), t.sent))
	select {
	case <-time.After(t.pause):
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// TestNothingFollowsTruncatedResponse guards against the response to a pipelined request that is written into the rest of the
// length of a response that was not sent completely.
func TestNothingFollowsTruncatedResponse(t *testing.T) {
	const size = 3 << 20
	for _, c := range []struct {
		name   string
		target brokenTarget
		// behind is what follows the request in the pipeline.
		behind string
		// pause is how long the caller waits before it reads the body.
		pause time.Duration
	}{
		{"target breaks off", brokenTarget{length: size, sent: size / 2}, getRequest("/lookup/1", "next"), 0},
		{"target breaks off chunks", brokenTarget{sent: size / 2}, getRequest("/lookup/1", "next"), 0},
		{"time limit", brokenTarget{length: size, sent: size / 2, pause: time.Minute}, getRequest("/lookup/1", "next"), 0},
		{"caller stalls", brokenTarget{length: size, sent: size}, getRequest("/lookup/1", "next"), 12 * time.Second},
		{"rejection behind it", brokenTarget{length: size, sent: size / 2}, "odd\r\n\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 1, 0, func(f *fleet) {
				x := &c.target
				x.Target = standin.NewTarget("t0")
				x.Address = f.serve(x.Name, "", x)
				f.register(x.Target, "ready")
				time.Sleep(time.Second)
				conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h0"].listen)
				f.is.NoErr(err)
				defer conn.Close()
				go func() { _, _ = io.WriteString(conn, getRequest("/lookup/cut", "cut")+c.behind) }()
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				f.is.NoErr(err)
				f.is.Equal(response.StatusCode, http.StatusOK)
				time.Sleep(c.pause)
				body, err := io.ReadAll(response.Body)
				f.is.True(err != nil) // the response must not look complete
				f.is.True(len(body) < size)
				f.is.True(!bytes.Contains(body, []byte("HTTP/1.1")))
				rest, err := io.ReadAll(reader)
				f.is.NoErr(err)
				f.is.Equal(string(rest), "")
			})
		})
	}
}

// TestNothingIsSentBehindTruncatedResponse guards against sending requests to targets whose responses nobody can get, because
// they were accepted behind a response that was not sent completely.
func TestNothingIsSentBehindTruncatedResponse(t *testing.T) {
	withFleet(t, 1, 0, func(f *fleet) {
		x := &brokenTarget{Target: standin.NewTarget("t0"), length: 3 << 20, sent: 2 << 20, pause: 20 * time.Millisecond}
		x.Address = f.serve(x.Name, "", x)
		f.register(x.Target, "ready")
		time.Sleep(time.Second)
		conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h0"].listen)
		f.is.NoErr(err)
		defer conn.Close()
		const behind = 12
		go func() {
			_, _ = io.WriteString(conn, getRequest("/lookup/cut", "cut"))
			time.Sleep(x.pause / 2) // the target sends the response
			requests := ""
			for i := range behind {
				requests += fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: o%d\r\nX-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n", i)
			}
			_, _ = io.WriteString(conn, requests)
		}()
		_, err = io.Copy(io.Discard, conn)
		f.is.NoErr(err)
		time.Sleep(2 * time.Second)
		runs := 0
		x.Update(func(t *standin.Target) {
			for _, n := range t.Runs {
				runs += n
			}
		})
		t.Logf("%d of %d requests ran", runs, behind)
		f.is.True(runs <= 6) // as many as the target takes at a time, which may have been placed before the response broke off
	})
}

// getRequest returns a request of a caller that waits for a second.
func getRequest(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\n\r\n", path, id)
}

// TestContinueFollowsEarlierResponses guards against an interim response that is sent within the response to an earlier request, or
// with the time limit of an earlier write.
func TestContinueFollowsEarlierResponses(t *testing.T) {
	for _, c := range []struct {
		name string
		// pause is the time between the requests.
		pause time.Duration
	}{{"pipelined", 0}, {"after an idle time", 12 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 1, 2, func(f *fleet) {
				conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h0"].listen)
				f.is.NoErr(err)
				defer conn.Close()
				continued := make(chan struct{}, 1)
				defer close(continued)
				go func() {
					_, _ = io.WriteString(conn, getRequest("/lookup/1", "first"))
					time.Sleep(c.pause)
					_, _ = io.WriteString(conn, "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: second\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
					<-continued
					_, _ = io.WriteString(conn, "body")
				}()
				reader := bufio.NewReader(conn)
				for _, status := range []int{http.StatusOK, http.StatusContinue, http.StatusOK} {
					response, err := http.ReadResponse(reader, nil)
					f.is.NoErr(err)
					f.is.Equal(response.StatusCode, status)
					if status == http.StatusContinue {
						continued <- struct{}{}
						continue
					}
					_, err = io.Copy(io.Discard, response.Body)
					f.is.NoErr(err)
				}
				f.is.Equal(f.runsOf("second"), 1)
			})
		})
	}
}

// TestNextResponseFollowsOneWithoutBody guards against bytes between a response that has no body and the next one, sent directly
// and through a peer.
func TestNextResponseFollowsOneWithoutBody(t *testing.T) {
	for _, c := range []struct {
		name, method string
		status       int
		relayed      bool
	}{
		{"HEAD", http.MethodHead, http.StatusOK, false},
		{"HEAD through a peer", http.MethodHead, http.StatusOK, true},
		{"no content", http.MethodGet, http.StatusNoContent, false},
		{"no content through a peer", http.MethodGet, http.StatusNoContent, true},
		{"not modified", http.MethodGet, http.StatusNotModified, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 5, 3, func(f *fleet) {
				if c.relayed {
					f.cutOff("h0")
				}
				for _, x := range f.targets {
					x.Update(func(t *standin.Target) { t.Status = c.status })
				}
				conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h0"].listen)
				f.is.NoErr(err)
				defer conn.Close()
				const requests = 4
				go func() {
					for i := range requests {
						_, _ = io.WriteString(conn, strings.Replace(getRequest("/lookup/1", fmt.Sprintf("n%d", i)), http.MethodGet, c.method, 1))
					}
				}()
				reader := bufio.NewReader(conn)
				for i := range requests {
					response, err := http.ReadResponse(reader, &http.Request{Method: c.method})
					f.is.NoErr(err)
					f.is.Equal(response.StatusCode, c.status)
					f.is.Equal(response.Header.Get("X-Response-Seal"), fmt.Sprintf("seal.n%d", i))
				}
			})
		})
	}
}
