package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"briarcroft/internal/note"
	"briarcroft/internal/settings"

	"github.com/rs/zerolog"
)

// BenchmarkProxyRequest measures requests over loopback through an entry host to a backend server that responds immediately.
func BenchmarkProxyRequest(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	defer backend.Close()
	s := settings.Default()
	s.Host = settings.Host{Name: "entry-1", Domain: "a", Listen: "127.0.0.1:0", Inner: "127.0.0.1:0"}
	listener, err := net.Listen("tcp", s.Host.Listen)
	if err != nil {
		b.Fatal(err)
	}
	h, closeHost, err := New(Config{Settings: s, Logger: zerolog.Nop(), Listener: listener})
	if err != nil {
		b.Fatal(err)
	}
	defer closeHost()
	n, err := note.Parse("n", fmt.Appendf(nil, "[Note]\nFollows = 0\nOperator = o\nReason = r\n[Service s]\n[Rule r]\nPath = /\nService = s\n[Target t]\nService = s\nAddress = %s\nDomain = a\nSlots = 64\n",
		strings.TrimPrefix(backend.URL, "http://")))
	if err != nil {
		b.Fatal(err)
	}
	configuration, err := note.Configuration{}.Apply(n)
	if err != nil {
		b.Fatal(err)
	}
	h.dispatcher.Apply(configuration)
	done := make(chan error, 1)
	go func() { done <- h.callerServer.Serve(listener) }()
	defer func() { _ = h.callerServer.Close(); <-done }()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		transport := &http.Transport{MaxIdleConnsPerHost: 16}
		defer transport.CloseIdleConnections()
		for pb.Next() {
			r, _ := http.NewRequest(http.MethodGet, "http://"+h.Listen()+"/x", nil)
			response, err := transport.RoundTrip(r)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d", response.StatusCode)
				return
			}
		}
	})
}
