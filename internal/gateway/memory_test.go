package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarcroft/internal/settings"
	"briarcroft/platform/standin"
)

// Sizes in bytes of the tests of uploads.
const (
	// uploadBudget is the memory for bodies, uploadSize the size of one, and uploadPart how much of it a caller sends at once.
	uploadBudget = 4 << 20
	uploadSize   = 1 << 20
	uploadPart   = 64 << 10
)

// limitUploads sets a small memory budget.
func limitUploads(s *settings.Settings) {
	s.Limits.HeldBytes, s.Limits.KeyedBodyBytes = uploadBudget, uploadPart
}

// upload is a request with a long body. The caller goes on sending until it has an answer.
type upload struct {
	fleet *fleet
	id    string
	// chunked leaves out the length.
	chunked bool
	// pause is the time between two parts.
	pause time.Duration
	// taken is the number of bytes that the host has taken of the bodies of unanswered uploads.
	taken *atomic.Int64
}

// send sends the upload to a host and returns the answer.
func (u upload) send(host string) reply {
	conn, err := u.fleet.net.Dialer("caller")(context.Background(), "tcp", u.fleet.hosts[host].listen)
	u.fleet.is.NoErr(err)
	defer conn.Close()
	answered := make(chan reply, 1)
	go func() { answered <- readReply(conn) }()
	framing := fmt.Sprintf("Content-Length: %d", uploadSize)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\n%s\r\n\r\n", u.id, framing)
	sent := int64(0)
	defer func() { u.taken.Add(-sent) }()
	for part := bytes.Repeat([]byte("u"), uploadPart); err == nil && sent < uploadSize; {
		select {
		case r := <-answered:
			return r
		case <-time.After(u.pause):
		}
		if u.chunked {
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		} else {
			_, err = conn.Write(part)
		}
		sent += uploadPart
		u.taken.Add(uploadPart)
	}
	if err == nil && u.chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	return <-answered
}

// readReply reads one response.
func readReply(conn net.Conn) reply {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// TestBurstOfUploadsStaysWithinMemory guards against a burst of long bodies, in chunks or with a length, that takes a host more
// memory than its budget. Each upload must be answered, those without room at once, and short requests must be served meanwhile.
func TestBurstOfUploadsStaysWithinMemory(t *testing.T) {
	for _, chunked := range []bool{true, false} {
		t.Run(fmt.Sprintf("in chunks %v", chunked), func(t *testing.T) {
			withSettings(t, limitUploads, 1, 4, func(f *fleet) {
				const uploads = 40
				var taken atomic.Int64
				var group sync.WaitGroup
				replies := make([]reply, uploads)
				for i := range replies {
					group.Go(func() {
						time.Sleep(time.Duration(i) * time.Millisecond)
						u := upload{f, fmt.Sprintf("u%d", i), chunked, 20 * time.Millisecond, &taken}
						replies[i] = u.send("h0")
					})
				}
				most, short := int64(0), 0
				for i := range 40 {
					time.Sleep(10 * time.Millisecond)
					most = max(most, taken.Load())
					if i%4 == 0 {
						r := f.callBody("h0", fmt.Sprintf("s%d", i), bytes.Repeat([]byte("s"), 1200))
						f.is.NoErr(r.err)
						if r.status == http.StatusOK {
							short++
						}
					}
				}
				group.Wait()
				served := count(replies, http.StatusOK)
				t.Logf("most in memory %d KiB, %d of %d uploads and %d of 10 short requests served", most>>10, served, uploads, short)
				f.is.True(most <= uploadBudget+uploadBudget/8+uploads*uploadPart/16) // one write of each caller may be partly in its buffers
				f.is.True(served >= 2)
				f.is.True(short >= 9)
				for i, r := range replies {
					f.is.NoErr(r.err)
					f.is.True(r.status == http.StatusOK || r.status == http.StatusServiceUnavailable)
					if r.status == http.StatusServiceUnavailable {
						f.is.True(r.header.Get("Retry-After") != "")
						f.is.Equal(f.runsOf(fmt.Sprintf("u%d", i)), 0)
					}
				}
				last := upload{f, "last", chunked, time.Millisecond, &taken}
				f.is.Equal(last.send("h0").status, http.StatusOK)
				f.expectNothingHeld("h0")
			})
		})
	}
}

// callBody sends a request with a body of known length on a new connection.
func (f *fleet) callBody(host, id string, body []byte) reply {
	conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts[host].listen)
	f.is.NoErr(err)
	defer conn.Close()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}()
	return readReply(conn)
}

// TestAnnouncedBodyTakesNoMemory guards against callers that announce long bodies, send none of them, and so keep others from
// being served.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	withSettings(t, limitUploads, 1, 2, func(f *fleet) {
		for i := range 8 {
			conn, err := f.net.Dialer("idle")(context.Background(), "tcp", f.hosts["h0"].listen)
			f.is.NoErr(err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: a%d\r\nContent-Length: %d\r\n\r\n", i, uploadSize)
			f.is.NoErr(err)
		}
		time.Sleep(100 * time.Millisecond)
		var taken atomic.Int64
		f.is.Equal(upload{f, "one", false, time.Millisecond, &taken}.send("h0").status, http.StatusOK)
	})
}

// echoTarget answers with the body of the request.
type echoTarget struct{ *standin.Target }

func (t *echoTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		t.Target.ServeHTTP(w, r)
		return
	}
	// The body fails to read only if the host breaks off, which then gets no response.
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Response-Seal", "seal")
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	_, _ = w.Write(body)
}

// TestBodiesArriveUnchanged sends bodies, and gets responses, whose sizes are about those of the parts in which they are read.
func TestBodiesArriveUnchanged(t *testing.T) {
	withSettings(t, limitUploads, 1, 0, func(f *fleet) {
		x := &echoTarget{standin.NewTarget("t0")}
		x.Address = f.serve(x.Name, "", x)
		f.register(x.Target, "ready")
		time.Sleep(time.Second)
		for i, size := range []int{1, 4095, 4096, 4097, 16 << 10, 16<<10 + 1, 300_000, uploadSize - 1, uploadSize} {
			body := make([]byte, size)
			for i := range body {
				body[i] = byte(i * 2654435761 >> 16)
			}
			r := f.callBody("h0", fmt.Sprintf("b%d", i), body)
			f.is.Equal(r.status, http.StatusOK)
			f.is.True(r.body == string(body))
		}
		f.is.Equal(f.callBody("h0", "long", make([]byte, uploadSize+1)).status, http.StatusRequestEntityTooLarge)
	})
}

// expectNothingHeld checks that a host without requests holds no memory for any.
func (f *fleet) expectNothingHeld(host string) {
	time.Sleep(2 * time.Second)
	requests, responses := f.hosts[host].gateway.HeldBytes()
	f.is.Equal(requests, int64(0))
	f.is.Equal(responses, int64(0))
}

// longTarget sends responses of longResponse bytes and counts what was taken of them.
type longTarget struct {
	*standin.Target
	status  int
	chunked bool
	sent    *atomic.Int64
}

// longResponse is the size in bytes of the responses of a longTarget.
const longResponse = 256 << 10

func (t *longTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		t.Target.ServeHTTP(w, r)
		return
	}
	w.Header().Set("X-Response-Seal", "seal")
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if !t.chunked {
		w.Header().Set("Content-Length", strconv.Itoa(longResponse))
	}
	w.WriteHeader(t.status)
	part := bytes.Repeat([]byte("r"), 4<<10)
	for range longResponse / len(part) {
		n, err := w.Write(part)
		t.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestWaitingResponsesStayWithinMemory guards against responses that take a host more memory than its budget while they are read
// from targets, wait behind an earlier one on their connection or for a slow caller. All of them must arrive whole.
func TestWaitingResponsesStayWithinMemory(t *testing.T) {
	for _, c := range []struct {
		name    string
		chunked bool
		status  int
	}{{"of known length", false, http.StatusOK}, {"in chunks", true, http.StatusOK}, {"failures", false, http.StatusNotFound}} {
		t.Run(c.name, func(t *testing.T) {
			const callers, each, targets = 10, 8, 4
			prepare := func(f *fleet) {
				f.maxConnections = callers * each
				f.changeSettings = limitUploads
			}
			withPreparedFleet(t, 1, 0, prepare, func(f *fleet) {
				var sent, received atomic.Int64
				for i := range targets {
					x := &longTarget{standin.NewTarget(fmt.Sprintf("t%d", i)), c.status, c.chunked, &sent}
					x.Address = f.serve(x.Name, "", x)
					f.register(x.Target, "ready")
				}
				time.Sleep(time.Second)
				for i := range 40 {
					f.is.Equal(f.call("h0", http.MethodGet, "/lookup/1", fmt.Sprintf("before%d", i)).status, c.status)
				}
				sent.Store(0)
				var group sync.WaitGroup
				for i := range callers {
					time.Sleep(5 * time.Millisecond)
					conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h0"].listen)
					f.is.NoErr(err)
					defer conn.Close()
					go func() {
						for j := range each {
							_, _ = io.WriteString(conn, getRequest("/lookup/1", fmt.Sprintf("w%d-%d", i, j)))
							time.Sleep(10 * time.Millisecond)
						}
					}()
					group.Go(func() {
						time.Sleep(300 * time.Millisecond)
						reader := bufio.NewReader(conn)
						for range each {
							response, err := http.ReadResponse(reader, nil)
							f.is.NoErr(err)
							f.is.Equal(response.StatusCode, c.status)
							n, err := io.Copy(io.Discard, response.Body)
							f.is.NoErr(err)
							f.is.Equal(n, int64(longResponse))
							received.Add(n)
						}
					})
				}
				most := int64(0)
				for range 35 {
					time.Sleep(10 * time.Millisecond)
					most = max(most, sent.Load()-received.Load())
				}
				group.Wait()
				t.Logf("most in memory %d KiB", most>>10)
				f.is.True(most <= uploadBudget+uploadBudget/8+callers*each*16<<10) // each response may be partly in the buffers of its connections
				f.expectNothingHeld("h0")
			})
		})
	}
}

// TestRelayedBodiesCountAtPeers guards against the bodies of requests that hosts relay for peers taking memory outside the budget.
func TestRelayedBodiesCountAtPeers(t *testing.T) {
	withSettings(t, limitUploads, 5, 6, func(f *fleet) {
		f.cutOff("h0")
		const size = 600 << 10
		done := make(chan reply, 1)
		go func() { done <- f.callBody("h0", "relayed", make([]byte, size)) }()
		time.Sleep(25 * time.Millisecond)
		held := int64(0)
		for name := range f.hosts {
			if requests, _ := f.hosts[name].gateway.HeldBytes(); name != "h0" {
				held += requests
			}
		}
		f.is.True(held >= size)
		f.is.Equal((<-done).status, http.StatusOK)
		f.is.True(f.hosts["h0"].gateway.RelayedRequests() > 0)
		for name := range f.hosts {
			f.expectNothingHeld(name)
		}
	})
}

// TestPipelinedHeadsStayWithinMemory guards against the heads of pipelined requests taking memory outside the budget.
func TestPipelinedHeadsStayWithinMemory(t *testing.T) {
	const budget, callers, each, field = 64 << 10, 10, 16, 3500
	withSettings(t, func(s *settings.Settings) { s.Limits.HeldBytes = budget }, 1, 4, func(f *fleet) {
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.RunDuration = 300 * time.Millisecond })
		}
		var taken atomic.Int64
		var group sync.WaitGroup
		for i := range callers {
			conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h0"].listen)
			f.is.NoErr(err)
			defer conn.Close()
			go func() {
				for j := range each {
					n, _ := fmt.Fprintf(conn, "GET /lookup/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: p%d-%d\r\nX-Deadline-Ms: 1000\r\nX-Padding: %s\r\n\r\n", i, j, strings.Repeat("p", field))
					if n > 0 {
						taken.Add(field)
					}
					if j == 0 {
						time.Sleep(20 * time.Millisecond) // the first request of each caller begins to run
					}
				}
			}()
			group.Go(func() {
				reader := bufio.NewReader(conn)
				for range each {
					response, err := http.ReadResponse(reader, nil)
					f.is.NoErr(err)
					f.is.True(response.StatusCode == http.StatusOK || response.StatusCode == http.StatusServiceUnavailable)
					_, err = io.Copy(io.Discard, response.Body)
					f.is.NoErr(err)
					taken.Add(-field)
				}
			})
		}
		most := int64(0)
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			most = max(most, taken.Load())
		}
		t.Logf("most in memory %d KiB", most>>10)
		f.is.True(most <= budget+callers*12<<10) // each connection has a buffer, a request and the next one
		group.Wait()
		f.expectNothingHeld("h0")
	})
}
