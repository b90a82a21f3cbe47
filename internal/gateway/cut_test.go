package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// cutTarget answers requests whose path ends with a number by that many bytes of its response, and closes the connection. It answers
// all others by the whole response.
type cutTarget struct {
	*standin.Target
	response func(id string) string
	cuts     *atomic.Int64
}

// serveConn serves one connection. Errors mean that the host has closed it.
func (t *cutTarget) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if id == "" {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n", t.Name); err != nil {
				return
			}
			continue
		}
		response := t.response(id)
		if cut, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]); err == nil {
			t.cuts.Add(1)
			_, _ = io.WriteString(conn, response[:cut])
			return
		}
		if _, err := io.WriteString(conn, response); err != nil || !strings.Contains(response, "Length") && !strings.Contains(response, "chunked") {
			return
		}
	}
}

// TestCutAnswersAreNotWhole guards against a success with an empty or short body after a target has broken off: it lets targets cut
// their answers after each byte, and sends another request behind each one on the caller's connection. The requests go straight to
// the targets or through a peer.
func TestCutAnswersAreNotWhole(t *testing.T) {
	head := func(id, fields string) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal." + id + "\r\n" + fields + "\r\n"
	}
	for _, c := range []struct {
		name     string
		response func(id string) string
		// undetected is set if a body that is cut looks like a whole one.
		undetected bool
	}{
		{"length", func(id string) string {
			return head(id, fmt.Sprintf("Content-Length: %d\r\n", 10+len(id))) + "answer to " + id
		}, false},
		{"chunks", func(id string) string {
			return head(id, "Trailer: A\r\nTransfer-Encoding: chunked\r\n") + "a\r\nanswer to \r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\nA: b\r\n\r\n", len(id), id)
		}, false},
		{"end of the connection", func(id string) string { return head(id, "") + "answer to " + id }, true},
		{"after an interim response", func(id string) string {
			return "HTTP/1.1 103 Early Hints\r\nX-Response-Seal: seal\r\n\r\n" + head(id, fmt.Sprintf("Content-Length: %d\r\n", 10+len(id))) + "answer to " + id
		}, false},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %v", c.name, relayed), func(t *testing.T) {
				withFleet(t, 2, 0, func(f *fleet) {
					var cuts atomic.Int64
					for i := range 3 {
						x := &cutTarget{standin.NewTarget(fmt.Sprint("c", i)), c.response, &cuts}
						f.addRawTarget(x.Target, x.serveConn)
					}
					time.Sleep(time.Second)
					if relayed {
						f.cutOff("h0")
					}
					last := len(c.response("cut000"))
					if c.undetected {
						last = strings.Index(c.response("cut000"), "\r\n\r\n") + 4
					}
					answered := 0
					for cut := range last {
						answered += f.pipelineCut(t, cut)
						time.Sleep(500 * time.Millisecond)
					}
					f.is.True(cuts.Load() >= int64(last/2)) // the cuts reached the host
					f.is.True(answered >= last/2)           // the other requests are answered
					f.is.Equal(f.hosts["h0"].gateway.RelayedRequests() >= int64(last), relayed)
				})
			})
		}
	}
}

// pipelineCut sends a request whose answer is cut and, behind it, one whose answer is whole, and returns how many of the latter
// were answered with success.
func (f *fleet) pipelineCut(t *testing.T, cut int) int {
	conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts["h0"].listen)
	f.is.NoErr(err)
	defer conn.Close()
	ids := []string{fmt.Sprintf("cut%03d", cut), fmt.Sprintf("all%03d", cut)}
	go func() {
		for i, path := range []string{"/order/" + strconv.Itoa(cut), "/lookup/whole"} {
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\n\r\n", path, ids[i])
		}
	}()
	reader := bufio.NewReader(conn)
	answered := 0
	for i := range ids {
		response, err := http.ReadResponse(reader, nil)
		f.is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		f.is.NoErr(err)
		if response.StatusCode != http.StatusOK {
			continue
		}
		if i == 0 || string(body) != "answer to "+ids[i] {
			t.Errorf("an answer was cut after %d bytes: request %d was answered %d %q", cut, i, response.StatusCode, body)
			continue
		}
		answered++
	}
	return answered
}
