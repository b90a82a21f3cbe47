package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/steering"
)

// slowPath is the path of requests that take longer than a stop, and brokenPath that of requests whose connection breaks.
const (
	slowPath   = "/slow"
	brokenPath = "/broken"
)

// withSlowFleet runs a test on two hosts and a target whose rule allows for requests that take longer than a stop.
func withSlowFleet(t *testing.T, run func(f *fleet, target *fakeBackend)) {
	handler := func(b *fakeBackend, w http.ResponseWriter, r *http.Request, _ string) {
		b.recordRun(r)
		switch r.URL.Path {
		case slowPath:
			select {
			case <-time.After(50 * time.Second):
			case <-r.Context().Done():
			}
		case brokenPath:
			time.Sleep(8 * time.Second)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "done")
	}
	withFleet(t, func(f *fleet) {
		f.startAll(2)
		backends, content := f.backends(1, handler)
		f.publish(strings.Replace(content, "Deadline = 2s", "Deadline = 60s", 1))
		f.awaitNote(1, 10*time.Second)
		f.awaitPeers(10 * time.Second)
		run(f, backends[0])
	})
}

// TestRequestsAreAnsweredBeforeEndOfStop guards against a stop that ends without answers to requests which wait for a target, or whose
// runs it cuts off.
func TestRequestsAreAnsweredBeforeEndOfStop(t *testing.T) {
	cases := []struct {
		name string
		// key returns the Idempotency-Key of the i-th request; empty means none.
		key func(i int) string
	}{
		{"without keys", func(int) string { return "" }},
		{"with keys", func(i int) string { return fmt.Sprint("key-", i) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withSlowFleet(t, func(f *fleet, target *fakeBackend) {
				host := f.nodes["entry-1"]
				type answer struct {
					response *http.Response
					err      error
				}
				const sent = 100
				answers := make(chan answer, sent)
				for i := range sent {
					header := map[string]string{}
					if key := c.key(i); key != "" {
						header["Idempotency-Key"] = key
					}
					go func() {
						response, _, err := f.send(host, http.MethodPost, slowPath, "", header)
						answers <- answer{response, err}
					}()
					time.Sleep(20 * time.Millisecond)
				}
				host.stop()
				// Requests that are cut off are no error of the stop.
				err := <-host.done
				host.done <- nil // for close, which receives from it again
				f.is.True(err == nil || errors.Is(err, context.DeadlineExceeded))
				f.is.Equal(len(answers), sent)
				unknown, refused := 0, 0
				for range sent {
					a := <-answers
					f.is.NoErr(a.err)
					outcome, reason := a.response.Header.Get(steering.HeaderOutcome), a.response.Header.Get(steering.HeaderReason)
					switch a.response.StatusCode {
					case http.StatusGatewayTimeout:
						f.is.Equal(outcome, "Unknown")
						f.is.Equal(reason, "HostStopped")
						unknown++
					case http.StatusServiceUnavailable:
						f.is.Equal(outcome, "NotRun")
						if reason == "HostStopping" {
							refused++
						}
					default:
						f.is.Fail() // an answer that says something else
					}
				}
				f.is.Equal(unknown, target.totalRuns())
				f.is.True(unknown > 0 && refused > 0)
			})
		})
	}
}

// TestStopPromisesNothingAfterBrokenRun guards against a refusal, as not run, of a request that waits for a second attempt when a stop
// ends, though its first one may have run.
func TestStopPromisesNothingAfterBrokenRun(t *testing.T) {
	withSlowFleet(t, func(f *fleet, _ *fakeBackend) {
		host := f.nodes["entry-1"]
		responses := make(chan *http.Response, 1)
		go func() {
			response, _, err := f.send(host, http.MethodGet, brokenPath, "", nil)
			f.is.NoErr(err)
			responses <- response
		}()
		time.Sleep(20 * time.Millisecond)
		for range 100 {
			go func() { _, _, _ = f.send(host, http.MethodPost, slowPath, "", nil) }()
			time.Sleep(20 * time.Millisecond)
		}
		host.stop()
		response := <-responses
		f.is.Equal(response.StatusCode, http.StatusBadGateway)
		f.is.Equal(response.Header.Get(steering.HeaderOutcome), "Unknown")
		<-host.done
		host.done <- nil // for close, which receives from it again
	})
}
