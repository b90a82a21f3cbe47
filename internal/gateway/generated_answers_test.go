package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/fakenet"
	"briarcroft/platform/standin"
)

// answerGenerator generates answers of targets from a grammar in which most parts have odd forms.
type answerGenerator struct{ *rand.Rand }

// form is a form of a part of an answer; a whole answer has only sound forms.
type form struct {
	text  string
	sound bool
}

// pick returns the plain form in five of six cases, and else one of the odd ones.
func (g answerGenerator) pick(plain string, odd ...form) form {
	if g.IntN(6) > 0 {
		return form{plain, true}
	}
	return odd[g.IntN(len(odd))]
}

// generatedAnswer is an answer to one request.
type generatedAnswer struct {
	text string
	// sent is the number of bytes that are sent of it, and reset is set if the connection is reset behind them and not closed.
	sent  int
	reset bool
	// upload is the size in bytes of the request's body, and readBefore the share in 100 of it that is read before the answer. Short
	// bodies fit into the buffers of sockets, which the simulated network lacks, and are read.
	upload, readBefore int
	body               string
	// whole is set if the answer is a whole and sound success, and undecidable if its reader cannot tell whether it is.
	whole, undecidable bool
}

func (g answerGenerator) next(id string) generatedAnswer {
	a := generatedAnswer{body: "answer to " + id + strings.Repeat(".", g.IntN(3)*g.IntN(3000)), upload: []int{0, 10, 40 << 10}[g.IntN(3)], readBefore: 100}
	if a.upload > 10 {
		a.readBefore = []int{0, 50, 100}[g.IntN(3)]
	}
	interim := g.pick("", form{"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", true}, form{"HTTP/1.1 100 Continue\r\n\r\n", true}, form{"HTTP/1.1 000 OK\r\n\r\n", false},
		form{"HTTP/1.1 099 OK\r\nX-Attempt-Id: " + id + "\r\n\r\n", false}, form{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", false})
	line := g.pick("HTTP/1.1 200 OK", form{"HTTP/1.0 200 OK", true}, form{"HTTP/1.1 200", true}, form{"HTTP/1.7 200 OK", true}, form{"HTTP/2.0 200 OK", false},
		form{"HTTP/1.1 000 OK", false}, form{"HTTP/1.1 +20 OK", false}, form{"HTTP/1.1 2000 OK", false}, form{"HTTP/1.1 700 OK", false}, form{"HTTP/1.1  200 OK", false},
		form{"200 OK", false}, form{"HTTP/1.1 200 OK\rA: b", false}, form{"HTTP/1.1 200 HTTP/1.1 200 OK", false})
	own := g.pick("X-Attempt-Id: "+id+"\r\n", form{"x-attempt-id:\t" + id + " \r\n", true}, form{"", false}, form{"X-Attempt-Id: other\r\n", false}, form{"X-Attempt-Id : " + id + "\r\n", false})
	seal := g.pick("X-Response-Seal: seal\r\n", form{"", false}, form{"X-Response-Seal : seal\r\n", false})
	field := g.pick("", form{"A: b\r\n", true}, form{"A: b\r\n c\r\n", true}, form{"A b: c\r\n", false}, form{"A\x01: c\r\n", false}, form{"A: b\x00\r\n", false}, form{"A: b\rc\r\n", false},
		form{"A\r\n", false}, form{": b\r\n", false}, form{"\xff: b\r\n", false}, form{"A: HTTP/1.1 200 OK\r\n", false}, form{"Connection: X-Response-Seal, X-Attempt-Id\r\n", true})
	length := fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	framing, sent := g.pick([]string{length, ""}[g.IntN(2)], form{"Transfer-Encoding: chunked\r\n", line.text != "HTTP/1.0 200 OK"}, form{length + length, false},
		form{length + "Transfer-Encoding: chunked\r\n", false}, form{"Transfer-Encoding:\r\n chunked\r\n", false}, form{"Transfer-Encoding: gzip\r\n", false},
		form{fmt.Sprintf("Content-Length: %d\r\n", len(a.body)+1), false}, form{fmt.Sprintf("Content-Length : %d\r\n", len(a.body)), false}, form{"Content-Length: 4x\r\n", false}), a.body
	if strings.Contains(framing.text, "chunked") {
		sent = chunked(a.body)
	}
	fields := []string{own.text, seal.text, field.text, framing.text}
	g.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	a.text = interim.text + line.text + "\r\n" + strings.Join(fields, "") + "\r\n" + sent
	a.sent, a.reset = len(a.text), g.IntN(4) == 0
	if g.IntN(6) == 0 {
		a.sent = g.IntN(len(a.text))
	}
	a.whole = interim.sound && line.sound && own.sound && seal.sound && field.sound && framing.sound && a.sent == len(a.text)
	if framing.text == "" {
		// Nothing but the end of the connection tells the end. A part before it looks like all of the body, and so does an end at which the
		// target has not read all of the request.
		a.undecidable = interim.sound && line.sound && own.sound && seal.sound && field.sound && !a.reset
		a.whole = a.whole && !a.reset && a.readBefore == 100
	}
	return a
}

// generatingTarget answers requests as a generator says.
type generatingTarget struct {
	*standin.Target
	answers chan generatedAnswer
}

// serveConn serves one connection. Errors mean that the host has closed it.
func (t *generatingTarget) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if !strings.HasPrefix(id, "own-") {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\nX-Server-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n", t.Name, id)
			continue
		}
		select {
		case a := <-t.answers:
			_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength*int64(a.readBefore)/100)
			_, _ = io.WriteString(conn, a.text[:a.sent])
			if a.reset {
				fakenet.Reset(conn)
			}
		default:
			// The request is sent a second time.
		}
		return
	}
}

// TestGeneratedAnswersAreWhole guards against answers of targets that reach callers as a success without being whole, sound answers to their
// requests, or that end a host. They reach the caller's host straight or through a peer. BRIARCROFT_ANSWERS is the number of answers.
func TestGeneratedAnswersAreWhole(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("BRIARCROFT_ANSWERS"))
	if count == 0 {
		count = 3000
	}
	const seed = 62
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %v", relayed), func(t *testing.T) {
			withFleet(t, 2, 0, func(f *fleet) {
				answers := make(chan generatedAnswer, 1)
				for i := range 4 {
					x := &generatingTarget{standin.NewTarget(fmt.Sprint("t", i)), answers}
					f.addRawTarget(x.Target, x.serveConn)
				}
				time.Sleep(time.Second)
				if relayed {
					f.cutOff("h0")
				}
				g := answerGenerator{rand.New(rand.NewPCG(seed, 1))}
				outcomes := map[string]int{}
				for n := range count / 2 {
					id := fmt.Sprint("own-", n)
					a := g.next(id)
					answers <- a
					r := f.upload("h0", id, a.upload)
					unsent := len(answers)
					if unsent > 0 {
						<-answers
					}
					success := r.err == nil && r.status < http.StatusMultipleChoices
					outcomes[fmt.Sprintf("whole %v, success %v, refused %v", a.whole, success, unsent > 0)]++
					switch {
					case success && !a.whole && !a.undecidable || success && a.whole && r.body != a.body:
						t.Fatalf("%d bytes of %q, reset %v, are answered %d %q", a.sent, a.text, a.reset, r.status, r.body)
					case r.err != nil || !success && r.status < http.StatusBadRequest:
						t.Fatalf("%d bytes of %q, reset %v, are answered %d, error %v", a.sent, a.text, a.reset, r.status, r.err)
					case !success && a.whole && unsent == 0 && !a.reset:
						t.Fatalf("%.300q is whole, the upload has %d bytes of which %d in 100 are read before it, and is answered %d %q", a.text, a.upload, a.readBefore, r.status, r.body)
					}
					time.Sleep(500 * time.Millisecond)
				}
				t.Logf("%d answers, seed %d: %v", count/2, seed, outcomes)
				f.is.True(outcomes["whole true, success true, refused false"] > count/10)
				f.is.True(outcomes["whole false, success false, refused false"] > count/10)
				f.is.Equal(f.hosts["h0"].gateway.RelayedRequests() > int64(count/10), relayed)
			})
		})
	}
}

// upload sends a request that must not run twice, with a body of a size, and returns the answer.
func (f *fleet) upload(host, id string, size int) reply {
	conn := f.dial(host)
	defer conn.Close()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /order/%s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\nContent-Length: %d\r\n\r\n%s", id, id, size, strings.Repeat("x", size))
	}()
	return readReply(conn)
}
