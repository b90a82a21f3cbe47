// Package certificate loads TLS certificates, keys and certificate authorities from PEM files and reloads them when the
// files change, so that keys can be replaced without a restart. It provides the TLS configuration for callers and the
// mutual TLS configuration for peers, which are the other entry hosts.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("certificate").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrFile reports a certificate, key or authority file that cannot be read or is invalid.
var ErrFile = namespace.NewType("file")

// ErrUntrustedPeer reports a peer that has no certificate or one that the authority did not sign.
var ErrUntrustedPeer = namespace.NewType("stranger")

// defaultCheckInterval is the default of Config.CheckInterval.
const defaultCheckInterval = 10 * time.Second

// Config names the PEM files. Authority verifies the certificates of peers; it is empty for the files of CallerTLS,
// which does not request client certificates.
type Config struct {
	Certificate string
	Key         string
	Authority   string
	// CheckInterval is the least time between two checks of the files for changes; zero means 10 s.
	CheckInterval time.Duration
}

// Files holds the last valid certificate and authority that were loaded from the files. The files are checked for
// changes during TLS handshakes. It is safe for concurrent use.
type Files struct {
	config    Config
	mu        sync.Mutex
	keyPair   *tls.Certificate
	roots     *x509.CertPool
	modTimes  []time.Time // modification times of the files that keyPair and roots were loaded from
	lastCheck time.Time
	reloadErr error // result of the last reload
}

// Load loads the files; errors are ErrFile.
func Load(c Config) (*Files, error) {
	if c.CheckInterval == 0 {
		c.CheckInterval = defaultCheckInterval
	}
	f := &Files{config: c, lastCheck: time.Now()}
	f.modTimes = f.statModTimes()
	if err := f.load(); err != nil {
		return nil, err
	}
	return f, nil
}

// load replaces the certificate and the authority by those in the files; on an error it leaves both as they are.
func (f *Files) load() error {
	keyPair, err := tls.LoadX509KeyPair(f.config.Certificate, f.config.Key)
	if err != nil {
		return ErrFile.New("%s: %v; give a PEM certificate and the key that belongs to it", f.config.Certificate, err)
	}
	var roots *x509.CertPool
	if f.config.Authority != "" {
		authorityPEM, err := os.ReadFile(f.config.Authority)
		if err != nil {
			return ErrFile.New("%s: %v; give a readable PEM file", f.config.Authority, err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(authorityPEM) {
			return ErrFile.New("%s holds no PEM certificate; give the file of the authority's certificate", f.config.Authority)
		}
	}
	f.keyPair, f.roots = &keyPair, roots
	return nil
}

// statModTimes returns the modification time of each file, which is zero for a missing file.
func (f *Files) statModTimes() []time.Time {
	var modTimes []time.Time
	for _, name := range []string{f.config.Certificate, f.config.Key, f.config.Authority} {
		var modTime time.Time
		if info, err := os.Stat(name); err == nil {
			modTime = info.ModTime()
		}
		modTimes = append(modTimes, modTime)
	}
	return modTimes
}

// current returns the certificate and the authority to use. If the last check is at least CheckInterval ago, it first
// checks the files for changes.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.lastCheck) >= f.config.CheckInterval {
		f.lastCheck = now
		f.reloadIfChanged()
	}
	return f.keyPair, f.roots
}

// reloadIfChanged loads the files again if one of them has changed. If the new files are invalid or the key does not
// belong to the certificate, as in the middle of a replacement, the old ones stay in use and the next check loads the
// files again.
func (f *Files) reloadIfChanged() {
	modTimes := f.statModTimes()
	unchanged := f.reloadErr == nil
	for i := range modTimes {
		unchanged = unchanged && modTimes[i].Equal(f.modTimes[i])
	}
	if unchanged {
		return
	}
	if f.reloadErr = f.load(); f.reloadErr == nil {
		f.modTimes = modTimes
	}
}

// ReloadError returns why the last reload of changed files failed, or nil if it succeeded.
func (f *Files) ReloadError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reloadErr
}

// CallerTLS returns the TLS configuration of the server for callers; it requests no client certificates.
func (f *Files) CallerTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: f.serverCertificate}
}

// PeerTLS returns the mutual TLS configuration for connections between peers, for both client and server. It verifies
// that the authority signed the other side's certificate, but not the name in it, since hosts are replaced and
// addressed by IP address.
func (f *Files) PeerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, GetCertificate: f.serverCertificate, GetClientCertificate: f.clientCertificate,
		ClientAuth: tls.RequireAnyClientCert, InsecureSkipVerify: true, VerifyConnection: f.verifyPeer,
	}
}

func (f *Files) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	keyPair, _ := f.current()
	return keyPair, nil
}

func (f *Files) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	keyPair, _ := f.current()
	return keyPair, nil
}

// verifyPeer verifies that the authority signed the other side's certificate chain; it ignores the name in the
// certificate. Errors are ErrUntrustedPeer.
func (f *Files) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUntrustedPeer.New("the peer sent no certificate; set its [TLS] keys")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, roots := f.current()
	options := x509.VerifyOptions{Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return ErrUntrustedPeer.New("the peer's certificate is not trusted (%v); sign its certificate with the authority", err)
	}
	return nil
}
