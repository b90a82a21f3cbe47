package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/inner"
	"briarcroft/platform/standin"
)

// listenersClose is when, after the begin of a stop, a host of withFleet stops accepting connections, and stopLimit when it ends at
// the latest.
const (
	listenersClose = 2800 * time.Millisecond
	stopLimit      = 5600 * time.Millisecond
)

// dial opens a connection of a caller to a host.
func (f *fleet) dial(host string) net.Conn {
	conn, err := f.net.Dialer("caller")(context.Background(), "tcp", f.hosts[host].listen)
	f.is.NoErr(err)
	return conn
}

// read reads a response and returns its status, and whether it closes the connection.
func (f *fleet) read(r *bufio.Reader) (status int, closes bool) {
	response, err := http.ReadResponse(r, nil)
	f.is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	f.is.NoErr(err)
	return response.StatusCode, response.Close
}

// awaitStop returns how long after the given time a host that was told to stop has ended.
func (f *fleet) awaitStop(host string, begun time.Time) time.Duration {
	f.is.NoErr(<-f.hosts[host].done)
	f.hosts[host].done <- nil // for close, which receives from it again
	return time.Since(begun)
}

// TestArrivingRequestIsAnsweredOnStop guards against a stop that refuses a request whose body or head still arrives when the host
// stops accepting connections.
func TestArrivingRequestIsAnsweredOnStop(t *testing.T) {
	const head = "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 5000\r\nContent-Length: 10\r\n\r\n"
	cases := []struct {
		name  string
		parts []string
		// started is how long before the listeners close the first part is sent; the others follow 300 ms apart.
		started time.Duration
	}{
		{"body", []string{head + "01", "234", "56", "789"}, 500 * time.Millisecond},
		{"head", []string{head[:20], head[20:50], head[50:] + "0123456789"}, 350 * time.Millisecond},
		{"behind another request", []string{"GET /lookup/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: first\r\n\r\n" + head + "01", "23456", "789"}, 100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 2, 2, func(f *fleet) {
				f.hosts["h0"].stop()
				begun := time.Now()
				time.Sleep(listenersClose - c.started)
				conn := f.dial("h0")
				defer conn.Close()
				reader := bufio.NewReader(conn)
				go func() {
					for _, part := range c.parts {
						_, _ = io.WriteString(conn, part)
						time.Sleep(300 * time.Millisecond)
					}
				}()
				status, closes := f.read(reader)
				for !closes {
					f.is.Equal(status, http.StatusOK)
					status, closes = f.read(reader)
				}
				f.is.Equal(status, http.StatusOK)
				f.is.Equal(f.runsOf("slow"), 1)
				f.is.True(f.awaitStop("h0", begun) < stopLimit)
			})
		})
	}
}

// TestUnfinishedRequestIsRefusedAtEndOfStop guards against a stop that ends without an answer to a request which has not arrived
// completely by then.
func TestUnfinishedRequestIsRefusedAtEndOfStop(t *testing.T) {
	withFleet(t, 2, 2, func(f *fleet) {
		f.hosts["h0"].stop()
		begun := time.Now()
		conn := f.dial("h0")
		defer conn.Close()
		_, err := io.WriteString(conn, "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: slow\r\nContent-Length: 10\r\n\r\n01")
		f.is.NoErr(err)
		status, closes := f.read(bufio.NewReader(conn))
		f.is.Equal(status, http.StatusRequestTimeout)
		f.is.True(closes)
		f.is.Equal(f.runsOf("slow"), 0)
		f.is.True(f.awaitStop("h0", begun) <= stopLimit)
	})
}

// TestNewConnectionIsServedOnStop guards against a stop that closes a connection which was opened just before the host stopped
// accepting connections, or that never closes it.
func TestNewConnectionIsServedOnStop(t *testing.T) {
	withFleet(t, 2, 2, func(f *fleet) {
		f.hosts["h0"].stop()
		begun := time.Now()
		time.Sleep(listenersClose - time.Millisecond)
		conn, unused := f.dial("h0"), f.dial("h0")
		defer conn.Close()
		defer unused.Close()
		time.Sleep(100 * time.Millisecond)
		go func() {
			_, _ = io.WriteString(conn, "GET /lookup/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: new\r\n\r\n")
		}()
		status, closes := f.read(bufio.NewReader(conn))
		f.is.Equal(status, http.StatusOK)
		f.is.True(closes)
		f.is.True(f.awaitStop("h0", begun) < stopLimit-time.Second)
	})
}

// TestPipeliningEndsWithStop guards against a stop that lasts until its time limit, and then cuts requests, because callers always
// have further requests in progress on their connections.
func TestPipeliningEndsWithStop(t *testing.T) {
	for _, depth := range []int{2, 4, 16} {
		t.Run(fmt.Sprint(depth), func(t *testing.T) {
			withFleet(t, 2, 8, func(f *fleet) {
				conn := f.dial("h0")
				defer conn.Close()
				outstanding := make(chan struct{}, depth)
				go func() {
					for i := 0; ; i++ {
						outstanding <- struct{}{}
						if i < depth {
							// The first ones are spread over a run, so that others are in progress whenever one ends.
							time.Sleep(50 * time.Millisecond / time.Duration(depth))
						}
						if _, err := fmt.Fprintf(conn, "GET /lookup/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: p%d\r\n\r\n", i); err != nil {
							return
						}
					}
				}()
				time.AfterFunc(time.Second, f.hosts["h0"].stop)
				begun := time.Now().Add(time.Second)
				reader := bufio.NewReader(conn)
				for closes := false; !closes && time.Since(begun) < stopLimit; {
					_, closes = f.read(reader)
					<-outstanding
				}
				f.is.True(time.Since(begun) < listenersClose+time.Second)
				f.is.NoErr(conn.Close())
				<-outstanding // lets the sender notice
				f.is.True(f.awaitStop("h0", begun) < listenersClose+time.Second)
			})
		})
	}
}

// longRule returns a rule for the prefix /NAME/ with a time limit that is longer than a stop.
func longRule(name string, of func(name, prefix string) rule) rule {
	r := of(name, "/"+name+"/")
	r["timeout-ms"] = 6000
	return r
}

// setRunDuration sets how long all targets take to run a request.
func (f *fleet) setRunDuration(d time.Duration) {
	for _, x := range f.targets {
		x.Update(func(t *standin.Target) { t.RunDuration = d })
	}
}

// write sends a request to a host on an open connection.
func (f *fleet) write(conn net.Conn, method, path, id string, limit time.Duration) {
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, path, id, limit.Milliseconds())
	f.is.NoErr(err)
}

// TestLateRequestIsNotPassedOnInStop guards against a stop that passes on a request which arrives after the drain and that it may have to
// cut off, or that refuses one which certainly ends in time.
func TestLateRequestIsNotPassedOnInStop(t *testing.T) {
	cases := []struct {
		name string
		// path and limit are those of the late request, which is sent after the begin of the stop. A request with the path behind
		// comes before it on its connection.
		path, behind string
		limit, after time.Duration
		status       int
	}{
		{"unsafe", "/long/1", "", 6 * time.Second, listenersClose + 280*time.Millisecond, http.StatusServiceUnavailable},
		{"safe", "/read/1", "", 6 * time.Second, listenersClose + 280*time.Millisecond, http.StatusServiceUnavailable},
		{"behind another", "/read/1", "/read/0", 6 * time.Second, listenersClose + 280*time.Millisecond, http.StatusServiceUnavailable},
		{"limit of the caller before the end", "/long/1", "", 1500 * time.Millisecond, listenersClose + 280*time.Millisecond, http.StatusOK},
		{"limit of the rule before the end", "/order/1", "", 6 * time.Second, listenersClose + 280*time.Millisecond, http.StatusOK},
		{"limit at the end", "/long/1", "", 2500 * time.Millisecond, listenersClose + 300*time.Millisecond, http.StatusServiceUnavailable},
		{"in the drain", "/long/1", "", 6 * time.Second, listenersClose - 100*time.Millisecond, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 3, 4, func(f *fleet) {
				f.configure(2, unsafeRule("order", "/order/"), longRule("long", unsafeRule), longRule("read", safeRule))
				time.Sleep(2 * time.Second)
				f.hosts["h0"].stop()
				begun := time.Now()
				time.Sleep(listenersClose - 400*time.Millisecond)
				conn := f.dial("h0")
				defer conn.Close()
				reader := bufio.NewReader(conn)
				f.setRunDuration(900 * time.Millisecond)
				if c.behind != "" {
					f.write(conn, http.MethodGet, c.behind, "first", 6*time.Second)
				}
				time.Sleep(time.Until(begun.Add(c.after)))
				method := http.MethodPost
				if c.path == "/read/1" {
					method = http.MethodGet
				}
				f.write(conn, method, c.path, "late", c.limit)
				sent := time.Now()
				if c.behind != "" {
					status, closes := f.read(reader)
					f.is.Equal(status, http.StatusOK)
					f.is.True(!closes)
				}
				response, err := http.ReadResponse(reader, nil)
				f.is.NoErr(err)
				f.is.Equal(response.StatusCode, c.status)
				f.is.True(response.Close)
				runs := 1
				if c.status != http.StatusOK {
					runs = 0
					f.is.Equal(response.Header.Get("Briarcroft-Reason"), "HostStopping")
					f.is.Equal(response.Header.Get("Retry-After"), "0.001")
					f.is.True(c.behind != "" || time.Since(sent) < 50*time.Millisecond)
				}
				f.is.Equal(f.arrivalsOf("late"), runs)
				f.is.True(f.awaitStop("h0", begun) <= stopLimit)
			})
		})
	}
}

// TestRetryIsNotStartedLateInStop guards against a stop that starts a further run of a request, which it may have to cut off, after the
// first one was refused or broken off.
func TestRetryIsNotStartedLateInStop(t *testing.T) {
	cases := []struct {
		name, path, method string
		fail               func(*standin.Target)
		status             int
	}{
		{"refused", "/long/1", http.MethodPost, func(t *standin.Target) { t.RefusalDelay, t.RefuseRuns = 1900*time.Millisecond, true }, http.StatusServiceUnavailable},
		{"answer lost", "/read/1", http.MethodGet, func(t *standin.Target) { t.RunDuration, t.DropResponses = 1900*time.Millisecond, true }, http.StatusBadGateway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 3, 4, func(f *fleet) {
				f.configure(2, longRule("long", unsafeRule), longRule("read", safeRule))
				time.Sleep(2 * time.Second)
				f.hosts["h0"].stop()
				begun := time.Now()
				time.Sleep(listenersClose - 400*time.Millisecond)
				for _, x := range f.targets {
					x.Update(c.fail)
				}
				conn := f.dial("h0")
				defer conn.Close()
				f.write(conn, c.method, c.path, "retried", 6*time.Second)
				status, _ := f.read(bufio.NewReader(conn))
				f.is.Equal(status, c.status)
				f.is.Equal(f.arrivalsOf("retried"), 1)
				f.is.True(f.awaitStop("h0", begun) < stopLimit-500*time.Millisecond)
			})
		})
	}
}

// TestWaitingRequestsAreAnsweredInStop guards against a stop that ends without answers to requests which wait for a target: each must be
// refused, as not run, while its caller still gets the response.
func TestWaitingRequestsAreAnsweredInStop(t *testing.T) {
	cases := []struct {
		name, host string
		limit      time.Duration
		// refusedByStop is set if some requests wait until the stop refuses them.
		refusedByStop bool
	}{
		{"at the home", "h0", time.Minute, true},
		{"at another host", "h1", time.Minute, true},
		{"limit before the end", "h1", 4 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 2, 2, func(f *fleet) {
				f.timeLimit = time.Minute
				long := longRule("long", unsafeRule)
				long["timeout-ms"] = 60000
				f.configure(2, long)
				time.Sleep(2 * time.Second)
				_, home := f.hosts["h0"].gateway.ReadyHosts("stock")
				stopping, other := home, "h0"
				if home == "h0" {
					other = "h1"
				}
				if c.host == "h1" {
					stopping, other = other, stopping
				}
				f.setRunDuration(9 * time.Second)
				for i := range 6 {
					go f.call(other, http.MethodPost, "/long/1", fmt.Sprint("busy", i))
				}
				time.Sleep(200 * time.Millisecond)
				const waiting = 40
				f.timeLimit = c.limit
				type answered struct {
					reply
					at time.Time
				}
				answers := make(chan answered, waiting)
				for i := range waiting {
					go func() {
						r := f.call(stopping, http.MethodPost, "/long/1", fmt.Sprint("waiting", i))
						answers <- answered{r, time.Now()}
					}()
				}
				time.Sleep(200 * time.Millisecond)
				f.is.Equal(len(answers), 0)
				f.hosts[stopping].stop()
				begun := time.Now()
				ended := f.awaitStop(stopping, begun)
				f.is.True(ended <= stopLimit)
				f.is.Equal(len(answers), waiting)
				byStop := 0
				for i := range waiting {
					r := <-answers
					f.is.NoErr(r.err)
					f.is.NoErr(r.err)
					f.is.Equal(r.status, http.StatusServiceUnavailable)
					f.is.True(r.header.Get("Retry-After") != "")
					if r.header.Get("Briarcroft-Reason") == "HostStopping" {
						byStop++
					}
					f.is.True(r.at.Before(begun.Add(stopLimit - time.Second)))
					f.is.Equal(f.arrivalsOf(fmt.Sprint("waiting", i)), 0)
				}
				// The home refuses the others earlier.
				f.is.Equal(byStop > 0, c.refusedByStop)
			})
		})
	}
}

// TestCutRunsAreAnsweredInStop guards against a stop that ends without answers to the requests whose runs it cuts off: that the outcome
// is unknown must be said, and that it is not the caller who has left.
func TestCutRunsAreAnsweredInStop(t *testing.T) {
	for _, c := range []struct{ method, path string }{{http.MethodPost, "/long/1"}, {http.MethodGet, "/read/1"}} {
		t.Run(c.method, func(t *testing.T) {
			withFleet(t, 2, 2, func(f *fleet) {
				f.configure(2, longRule("long", unsafeRule), longRule("read", safeRule))
				f.setRunDuration(9 * time.Second)
				time.Sleep(2 * time.Second)
				f.timeLimit = 20 * time.Second
				const cut = 6
				answers := make(chan reply, cut)
				f.hosts["h0"].stop()
				begun := time.Now()
				time.Sleep(time.Second)
				for i := range cut {
					go func() { answers <- f.call("h0", c.method, c.path, fmt.Sprint("cut", i)) }()
				}
				f.is.True(f.awaitStop("h0", begun) <= stopLimit)
				f.is.Equal(len(answers), cut)
				for range cut {
					r := <-answers
					f.is.NoErr(r.err)
					f.is.Equal(r.status, http.StatusGatewayTimeout)
					f.is.Equal(r.header.Get("Briarcroft-Reason"), "HostStopped")
				}
			})
		})
	}
}

// TestLongRelayIsRefusedInStop guards against a stop that passes on a request of a peer which it may have to cut off.
func TestLongRelayIsRefusedInStop(t *testing.T) {
	cases := []struct {
		name     string
		stops    bool
		limit    time.Duration
		expected inner.RelayKind
	}{
		{"no stop", false, 6 * time.Second, inner.RelayKind_RelayHead},
		{"limit after the end", true, 6 * time.Second, inner.RelayKind_RelayExhausted},
		{"limit before the end", true, time.Second, inner.RelayKind_RelayHead},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 2, 1, func(f *fleet) {
				client, closeClient := inner.NewClient(inner.ClientConfig{Dial: f.net.Dialer("h1")})
				defer closeClient()
				begun := time.Now()
				if c.stops {
					f.hosts["h0"].stop()
					time.Sleep(500 * time.Millisecond)
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				stream, err := client.Peer(ctx, f.hosts["h0"].inner).Relay(ctx, &inner.RelayRequest{
					Target: "t0", Address: f.targets["t0"].Address, Method: http.MethodGet, Host: "www.example", Uri: "/lookup/1",
					Headers: []*inner.Header{{Name: "X-Attempt-Id", Value: "relayed"}, {Name: "X-Expect-Instance", Value: "t0"}}, TimeoutMilliseconds: c.limit.Milliseconds(),
				})
				f.is.NoErr(err)
				reply, err := stream.Recv()
				f.is.NoErr(err)
				f.is.Equal(reply.Kind, c.expected)
				arrivals := 0
				if c.expected == inner.RelayKind_RelayHead {
					arrivals = 1
				}
				f.is.Equal(f.arrivalsOf("relayed"), arrivals)
				for err == nil {
					_, err = stream.Recv()
				}
				f.is.Equal(err, io.EOF)
				if c.stops {
					f.is.True(f.awaitStop("h0", begun) <= stopLimit)
				}
			})
		})
	}
}

// canceledRuns returns the number of runs that targets have ended because their connection was closed.
func (f *fleet) canceledRuns() int {
	sum := 0
	for _, x := range f.targets {
		x.Update(func(t *standin.Target) { sum += t.CanceledRuns })
	}
	return sum
}

// TestStopWaitsForRunsWithoutCaller guards against a stop that ends runs which no connection of a caller to this host waits for: those
// relayed for a peer, and unsafe ones whose caller has left.
func TestStopWaitsForRunsWithoutCaller(t *testing.T) {
	slow := unsafeRule("slow", "/slow/")
	slow["timeout-ms"] = 5000
	cases := []struct {
		name string
		// prepare is called before runs are slow.
		prepare func(f *fleet)
		// start starts a run that h1 sends to a target, and returns a function that waits for its end and checks it.
		start func(f *fleet) func()
	}{
		{"relayed", func(f *fleet) { f.cutOff("h0") }, func(f *fleet) func() {
			before := f.hosts["h0"].gateway.RelayedRequests()
			ended := make(chan reply, 1)
			go func() { ended <- f.call("h0", http.MethodPost, "/slow/1", "slow") }()
			return func() {
				f.is.Equal((<-ended).status, http.StatusOK)
				f.is.Equal(f.hosts["h0"].gateway.RelayedRequests(), before+1)
			}
		}},
		{"caller left", func(*fleet) {}, func(f *fleet) func() {
			conn := f.dial("h1")
			_, err := io.WriteString(conn, "POST /slow/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
			f.is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			f.is.NoErr(conn.Close())
			return func() { time.Sleep(5 * time.Second) }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 2, 2, func(f *fleet) {
				f.timeLimit = 5 * time.Second
				f.configure(2, safeRule("lookup", "/lookup/"), slow)
				c.prepare(f)
				canceled := f.canceledRuns()
				for _, x := range f.targets {
					x.Update(func(t *standin.Target) { t.RunDuration = 4 * time.Second })
				}
				time.Sleep(2 * time.Second)
				await := c.start(f)
				time.Sleep(200 * time.Millisecond)
				f.hosts["h1"].stop()
				f.is.NoErr(<-f.hosts["h1"].done)
				f.hosts["h1"].done <- nil // for close, which receives from it again
				await()
				f.is.Equal(f.runsOf("slow"), 1)
				f.is.Equal(f.canceledRuns(), canceled)
			})
		})
	}
}
