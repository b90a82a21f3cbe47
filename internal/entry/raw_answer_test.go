package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/fakenet"
)

// answerRaw serves a connection: it answers load reports, and each other request with the given bytes before it has read its body. Then it
// resets the connection.
func answerRaw(conn net.Conn, answer string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/Report" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		_, _ = io.WriteString(conn, answer)
		fakenet.Reset(conn)
		return
	}
}

// TestOnlyWholeAnswersReachCallers guards against answers of targets that are no responses, or parts of one, and reach callers as a success.
func TestOnlyWholeAnswersReachCallers(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for _, c := range []struct {
		name, answer string
		whole        bool
	}{
		{"whole", whole, true},
		{"part without a length", "HTTP/1.1 200 OK\r\n\r\npart", false},
		{"long part without a length", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 100_000), false},
		{"part of a body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npart", false},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n" + whole, false},
		{"coding on HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 4\r\n\r\ndone", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.startAll(1)
				_, content := f.backends(0, nil)
				l := f.net.Listen("raw", "")
				defer l.Close()
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						go answerRaw(conn, c.answer)
					}
				}()
				f.publish(content + fmt.Sprintf("[Target raw]\nService = s\nAddress = %s\nDomain = a\n", l.Addr()))
				f.awaitNote(1, 10*time.Second)
				for _, key := range []string{"", "key-1"} {
					header := map[string]string{}
					if key != "" {
						header["Idempotency-Key"] = key
					}
					response, body, err := f.send(f.nodes["entry-1"], http.MethodPost, "/upload", strings.Repeat("x", 40<<10), header)
					success := err == nil && response.StatusCode == http.StatusOK
					if success != c.whole || c.whole && body != "done" {
						t.Errorf("key %q: answered %v with %q, error %v", key, response, body, err)
					}
				}
			})
		})
	}
}
