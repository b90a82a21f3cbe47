package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// refusalRepeater refuses health probes, and one run in four when refuseRuns is set, and writes each refusal a second time after a
// delay, in two parts if split is set. It runs all other requests.
type refusalRepeater struct {
	*standin.Target
	delay             time.Duration
	refuseRuns, split bool
}

// serveConn serves one connection. Errors mean that the host has closed it.
func (t *refusalRepeater) serveConn(conn net.Conn) {
	answers, ended := make(chan string), make(chan struct{})
	defer conn.Close()
	defer close(ended)
	write := func(answer string) {
		select {
		case answers <- answer:
		case <-ended:
		}
	}
	go func() {
		for {
			select {
			case answer := <-answers:
				if _, err := conn.Write([]byte(answer)); err != nil {
					_ = conn.Close()
				}
			case <-ended:
				return
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		idField := ""
		if id != "" {
			idField = "X-Attempt-Id: " + id + "\r\n"
		}
		if t.runs(id) {
			time.Sleep(30 * time.Millisecond)
			body := "answer to " + id
			write(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Seal: seal.%s\r\nContent-Length: %d\r\n\r\n%s", idField, id, len(body), body))
			continue
		}
		refusal := "HTTP/1.1 503 Service Unavailable\r\n" + idField + "X-Not-Executed: 1\r\nX-Server-Load: 0,0,3,100\r\nContent-Length: 4\r\n\r\nbusy"
		write(refusal)
		go func() {
			time.Sleep(t.delay)
			if t.split {
				write(refusal[:20])
				time.Sleep(5 * time.Millisecond)
				write(refusal[20:])
				return
			}
			write(refusal)
		}()
	}
}

// runs counts a request and reports whether the target runs it.
func (t *refusalRepeater) runs(id string) bool {
	run := false
	t.Update(func(x *standin.Target) {
		if id == "" {
			return
		}
		x.Arrivals[id]++
		if run = !t.refuseRuns || len(x.Arrivals)%4 != 0; run {
			x.Runs[id]++
		}
	})
	return run
}

// TestRefusalWrittenAgainIsNotTaken guards against a refusal that a target writes a second time on a kept connection, of a health
// probe or of a run: it must not count as the answer to the next request, which the target runs.
func TestRefusalWrittenAgainIsNotTaken(t *testing.T) {
	for _, c := range []struct {
		delay             time.Duration
		refuseRuns, split bool
	}{
		{0, false, false}, {2 * time.Millisecond, false, false}, {5 * time.Millisecond, false, true}, {12 * time.Millisecond, true, false},
		{40 * time.Millisecond, false, false}, {40 * time.Millisecond, true, true}, {150 * time.Millisecond, true, false},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			withFleet(t, 2, 0, func(f *fleet) {
				for i := range 2 {
					x := &refusalRepeater{standin.NewTarget(fmt.Sprint("r", i)), c.delay, c.refuseRuns, c.split}
					f.addRawTarget(x.Target, x.serveConn)
				}
				time.Sleep(time.Second)
				var callers sync.WaitGroup
				var answered atomic.Int64
				for i := range 200 {
					callers.Go(func() {
						id := fmt.Sprint("again", i)
						r := f.call(fmt.Sprint("h", i%2), http.MethodPost, "/order/1", id)
						runs := f.runsOf(id)
						if r.err != nil || runs > 1 || impliesNotRun(r.status) && runs > 0 || r.status == http.StatusOK && r.body != "answer to "+id {
							t.Errorf("request %s ran %d times and was answered %d %q %v", id, runs, r.status, r.body, r.err)
						}
						if r.status == http.StatusOK {
							answered.Add(1)
						}
					})
					time.Sleep(time.Duration(i%4) * 7 * time.Millisecond)
				}
				callers.Wait()
				f.is.True(answered.Load() >= 100) // the targets run most requests
			})
		})
	}
}

func impliesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
