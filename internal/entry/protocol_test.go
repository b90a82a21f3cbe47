package entry

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/settings"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// writeCertificate writes the certificate and key of httptest as PEM files and returns their paths and a pool that trusts
// the certificate.
func writeCertificate(is *is.I, dir string) (certificate, key string, pool *x509.CertPool) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	pair := server.TLS.Certificates[0]
	der, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	is.NoErr(err)
	certificate, key = filepath.Join(dir, "caller.pem"), filepath.Join(dir, "caller-key.pem")
	is.NoErr(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), 0o600))
	pool = x509.NewCertPool()
	pool.AddCert(server.Certificate())
	return certificate, key, pool
}

// TestCallerProtocols checks that callers can use HTTP/1.1 and HTTP/2, with and without TLS, and that a header above the
// limit is refused.
func TestCallerProtocols(t *testing.T) {
	is := is.New(t)
	certificate, key, pool := writeCertificate(is, t.TempDir())
	for _, encrypted := range []bool{false, true} {
		s := settings.Default()
		s.Host = settings.Host{Name: "entry-1", Domain: "a", Listen: "127.0.0.1:0", Inner: "127.0.0.1:0"}
		s.Limits.HeaderBytes = 8 << 10
		scheme := "http"
		if encrypted {
			s.TLS.CallerCertificate, s.TLS.CallerKey = certificate, key
			scheme = "https"
		}
		h, closeHost, err := New(Config{Settings: s, Logger: zerolog.Nop()})
		is.NoErr(err)
		done := make(chan error, 1)
		go func() { done <- h.serveCallers() }()
		for _, version := range []int{1, 2} {
			protocols := &http.Protocols{}
			protocols.SetHTTP1(version == 1)
			protocols.SetHTTP2(version == 2 && encrypted)
			protocols.SetUnencryptedHTTP2(version == 2 && !encrypted)
			client := &http.Client{Transport: &http.Transport{Protocols: protocols, TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "example.com"}}}
			response, err := client.Get(scheme + "://" + h.Listen() + "/Health")
			is.NoErr(err)
			is.Equal(response.ProtoMajor, version)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable) // no note yet
			is.NoErr(response.Body.Close())
			client.CloseIdleConnections()
		}
		if !encrypted {
			checkLimits(is, h)
		}
		is.NoErr(h.callerServer.Close())
		<-done
		is.NoErr(h.peerListener.Close())
		closeHost()
	}
}

// checkLimits checks that a request with a header above the limit is refused.
func checkLimits(is *is.I, h *Host) {
	r, err := http.NewRequest(http.MethodGet, "http://"+h.Listen()+"/Health", nil)
	is.NoErr(err)
	r.Header.Set("X", strings.Repeat("x", 64<<10))
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.NoErr(response.Body.Close())
}

// TestSilentStreamIsReplaced silences the connection on which a keyed request is being forwarded to a peer: the response
// must arrive over a new connection, and the request must not run again.
func TestSilentStreamIsReplaced(t *testing.T) {
	slow := func(b *fakeBackend, w http.ResponseWriter, r *http.Request, body string) {
		b.recordRun(r)
		time.Sleep(1500 * time.Millisecond)
		_, _ = w.Write([]byte("slow"))
	}
	withFleetServing(t, 2, 1, slow, func(f *fleet, backends []*fakeBackend) {
		grant := f.nodes["entry-1"].host.idempotency.IssueGrant(f.nodes["entry-1"].host.now()).String()
		time.AfterFunc(300*time.Millisecond, func() { f.net.Blackhole("entry-1", "entry-2") })
		began := time.Now()
		response, body, err := f.send(f.nodes["entry-2"], http.MethodPost, "/sign", "", map[string]string{"Idempotency-Key": grant + ".k"})
		f.is.NoErr(err)
		f.is.Equal(response.StatusCode, http.StatusOK)
		f.is.Equal(body, "slow")
		f.is.Equal(backends[0].totalRuns(), 1)
		f.is.True(time.Since(began) < 1600*time.Millisecond) // the connection was replaced while the request ran
	})
}

// TestBodyLimit checks that bodies above the limits for keyed and for all requests are refused without a run.
func TestBodyLimit(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.adjustSettings = func(s *settings.Settings) { s.Limits.KeyedBodyBytes, s.Limits.BodyBytes = 100, 1000 }
		f.start("entry-1", "a")
		backends, content := f.backends(1, echo)
		f.publish(content)
		f.awaitNote(1, 5*time.Second)
		cases := []struct {
			size   int
			key    string
			status int
		}{{50, "k1", http.StatusOK}, {101, "k2", http.StatusRequestEntityTooLarge}, {101, "", http.StatusOK}, {1001, "", http.StatusRequestEntityTooLarge}}
		for _, c := range cases {
			header := map[string]string{}
			if c.key != "" {
				header["Idempotency-Key"] = c.key
			}
			response, _, err := f.send(f.nodes["entry-1"], http.MethodPost, "/x", strings.Repeat("b", c.size), header)
			f.is.NoErr(err)
			f.is.Equal(response.StatusCode, c.status)
		}
		f.is.Equal(backends[0].totalRuns(), 2)
	})
}
