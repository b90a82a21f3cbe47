package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// headGenerator generates requests from a grammar in which most parts have odd forms.
type headGenerator struct{ *rand.Rand }

// pick returns the plain form in two of three cases, and else one of the odd ones.
func (g headGenerator) pick(plain string, odd ...string) string {
	if g.IntN(3) > 0 {
		return plain
	}
	return odd[g.IntN(len(odd))]
}

// framings are ways to send a body that holds a request: the fields, and the body for a request. Each covers the body, or is ambiguous.
var framings = []func(body string) (fields, sent string){
	func(b string) (string, string) { return fmt.Sprintf("Content-Length: %d\r\n", len(b)), b },
	func(b string) (string, string) { return "Transfer-Encoding: chunked\r\n", chunked(b) },
	func(b string) (string, string) { return fmt.Sprintf("Content-Length : %d\r\n", len(b)), b },
	func(b string) (string, string) { return fmt.Sprintf("Content-Length\t: %d\r\n", len(b)), b },
	func(b string) (string, string) { return "Transfer-Encoding : chunked\r\n", chunked(b) },
	func(b string) (string, string) { return "Transfer-Encoding:\r\n chunked\r\n", chunked(b) },
	func(b string) (string, string) { return " Transfer-Encoding: chunked\r\n", chunked(b) },
	func(b string) (string, string) { return "Transfer-Encoding: \x0bchunked\r\n", chunked(b) },
	func(b string) (string, string) { return "Transfer-Encoding: chunked, identity\r\n", chunked(b) },
	func(b string) (string, string) { return "Transfer-Encoding: xchunked\r\n", chunked(b) },
	func(b string) (string, string) {
		return "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", chunked(b)
	},
	func(b string) (string, string) {
		return fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(b)+5), "0\r\n\r\n" + b
	},
	func(b string) (string, string) {
		return "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", chunked(b)
	},
	func(b string) (string, string) {
		return fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n", len(b)), b
	},
	func(b string) (string, string) { return fmt.Sprintf("Content-Length: 0, %d\r\n", len(b)), b },
	func(b string) (string, string) { return fmt.Sprintf("Content-Length: +%d\r\n", len(b)), b },
	func(b string) (string, string) { return fmt.Sprintf("Content-Length: 0x%x\r\n", len(b)), b },
	func(b string) (string, string) { return "Transfer-Encoding: chunked\r\n", "0x" + chunked(b) },
	func(b string) (string, string) {
		return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x;\x00=1\r\n%s\r\n0\r\n\r\n", len(b), b)
	},
}

func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// generatedRequest is one request from the grammar, with what its target may get of it.
type generatedRequest struct{ id, method, target, bytes string }

func (g headGenerator) next(n int) generatedRequest {
	r := generatedRequest{id: fmt.Sprint("own-", n)}
	r.method = g.pick("POST", "GET", "PUT", "OPTIONS", "CONNECT", "post", "G T", "P\x00T", "")
	r.target = g.pick("/order/1", "/order/%2e%2e/lookup/1", "/order%2F1", "//order/1", "/%6frder/1?a=%00", "*", "http://www.example/order/1", "http://a@www.example/order/1", "/order/1 x", "/\x7f", "https://www.example//order/2?b", "order/1", "/order/"+strings.Repeat("a", 9000), "/lookup/\xff")
	version := g.pick("HTTP/1.1", "HTTP/1.0", "HTTP/1.2", "HTTP/2.0", "HTTP/0.9", "HTTP/1.1 ", "http/1.1", "HTTP/11", "")
	smuggled := "GET /lookup/2 HTTP/1.1\r\nHost: www.example\r\nX-Credential: n1\r\nX-Attempt-Id: smuggled\r\n\r\n"
	framing, body := framings[g.IntN(len(framings))](smuggled)
	fields := []string{
		g.pick("Host: www.example\r\n", "Host: WWW.example.:80\r\n", "Host : www.example\r\n", "", "Host:\r\n", "Host: www.example\r\nHost: other\r\n", "Host: a b\r\n", "host:www.example\r\n"),
		g.pick("X-Attempt-Id: "+r.id+"\r\n", "X-Attempt-Id: "+r.id+"\r\nX-Attempt-Id: smuggled\r\n", "x-attempt-id:\t"+r.id+"\r\n"),
		g.pick("X-Credential: n1\r\n", "X-Credential: n1\r\nX-Tenant: south\r\n", "X-Credential: n1\r\nConnection: X-Tenant, X-Attempt-Id, X-Deadline-Ms, X-Expect-Instance, Content-Length\r\n", "X-Credential: n1\r\nX-Credential: s1\r\n"),
		g.pick("X-Deadline-Ms: 800\r\n", "X-Deadline-Ms: 800\r\nX-Deadline-Ms: 9\r\n", "X-Deadline-Ms: -1\r\n", "X-Expect-Instance: other\r\n"),
		g.pick("", "A: b\r\n c\r\n", "A b: c\r\n", ": c\r\n", "A\r\n", "A: \x00\r\n", "A: b\rc\r\n", "Expect: 100-continue\r\n", "Expect: tea\r\n", "Upgrade: h2c\r\nConnection: Upgrade\r\n", "Connection: close\r\n", "A: "+strings.Repeat("b", 9000)+"\r\n", "\xff: b\r\n"),
		framing,
	}
	g.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	head := r.method + " " + r.target + " " + version + "\r\n" + strings.Join(fields, "") + "\r\n"
	if g.IntN(20) == 0 {
		head = strings.ReplaceAll(head, "\r\n", "\n")
	}
	r.bytes = head + body
	return r
}

// allowedStatuses are those of responses to generated requests.
var allowedStatuses = []int{200, 400, 401, 404, 405, 408, 413, 414, 417, 431, 501, 503, 505}

// TestGeneratedHeadsRunNothingElse guards against heads by which a caller makes a target run a request that it has not sent as one, or with
// another method, path or account, and against heads that end the host. BRIARCROFT_HEADS is the number of heads.
func TestGeneratedHeadsRunNothingElse(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("BRIARCROFT_HEADS"))
	if count == 0 {
		count = 3000
	}
	const seed = 58
	withFleet(t, 1, 0, func(f *fleet) {
		f.tenants = []tenant{{"name": "north", "api-keys": []string{"n1"}}, {"name": "south", "api-keys": []string{"s1"}}}
		f.configureAccounts(2)
		x := f.addRecordingTarget("x")
		x.Update(func(t *standin.Target) { t.RunDuration = time.Millisecond })
		time.Sleep(2 * time.Second)
		g := headGenerator{rand.New(rand.NewPCG(seed, 1))}
		statuses := map[int]int{}
		for n := range count {
			r := g.next(n)
			conn := f.dial("h0")
			go func() { _, _ = io.WriteString(conn, r.bytes) }()
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			for err == nil && response.StatusCode == http.StatusContinue {
				response, err = http.ReadResponse(reader, nil)
			}
			if err != nil {
				t.Fatalf("%q is not answered: %v", r.bytes, err)
			}
			statuses[response.StatusCode]++
			if !slices.Contains(allowedStatuses, response.StatusCode) {
				t.Fatalf("%q is answered with %d", r.bytes, response.StatusCode)
			}
			_ = conn.Close()
			if _, ran := x.received("smuggled"); ran {
				t.Fatalf("%q makes a target run what was sent as a body", r.bytes)
			}
			if got, ran := x.received(r.id); ran {
				path := r.target
				if _, behind, absolute := strings.Cut(r.target, "://www.example"); absolute {
					path = behind
				}
				if got.method != r.method || got.target != path || !slices.Equal(got.header["X-Tenant"], []string{"north"}) {
					t.Fatalf("%q reaches a target as %v", r.bytes, got)
				}
			}
			x.Update(func(s *standin.Target) { clear(s.Runs); clear(s.Arrivals); s.ArrivalLog, s.TimeLimits = nil, nil })
		}
		t.Logf("%d heads, seed %d, statuses %v", count, seed, statuses)
		f.is.True(statuses[http.StatusOK] > 0 && statuses[http.StatusBadRequest] > 0)
		f.is.Equal(f.callWithKeys("h0", "/lookup/1", "sound", "n1").status, http.StatusOK)
	})
}
