// Package certificate reads certificates, keys and authorities from files, and reads them again when they change,
// so that keys can be replaced without a restart.
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

// ErrFile reports certificate files that cannot be used.
var ErrFile = namespace.NewType("file")

// ErrUntrustedPeer reports a peer whose certificate the authority did not sign.
var ErrUntrustedPeer = namespace.NewType("stranger")

// defaultCheckInterval is how often files are looked at.
const defaultCheckInterval = 10 * time.Second

// Config names the PEM files; Authority is empty where callers are not asked for a certificate.
type Config struct {
	Certificate string
	Key         string
	Authority   string
	// CheckInterval is the least time between two looks at the files; zero means the default.
	CheckInterval time.Duration
}

// Files holds the newest usable certificate and authority. It is safe for concurrent use.
type Files struct {
	config    Config
	mu        sync.Mutex
	keyPair   *tls.Certificate
	roots     *x509.CertPool
	modTimes  []time.Time
	lastCheck time.Time
	reloadErr error
}

// Load reads the files; errors are ErrFile.
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

// load replaces what is held by what the files hold, or leaves it as it is.
func (f *Files) load() error {
	keyPair, err := tls.LoadX509KeyPair(f.config.Certificate, f.config.Key)
	if err != nil {
		return ErrFile.New("%s: %v; give a PEM certificate and the key that belongs to it", f.config.Certificate, err)
	}
	var roots *x509.CertPool
	if f.config.Authority != "" {
		text, err := os.ReadFile(f.config.Authority)
		if err != nil {
			return ErrFile.New("%s: %v; give a readable PEM file", f.config.Authority, err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(text) {
			return ErrFile.New("%s holds no PEM certificate; give the authority's", f.config.Authority)
		}
	}
	f.keyPair, f.roots = &keyPair, roots
	return nil
}

// statModTimes returns when each file was last changed; a file that is missing counts as never.
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

// current returns what is in use, after another look at the files if the last one is long ago.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.lastCheck) >= f.config.CheckInterval {
		f.lastCheck = now
		f.reloadIfChanged()
	}
	return f.keyPair, f.roots
}

// reloadIfChanged reads the files again if any has changed. Files that do not fit together, as in the middle of a replacement,
// leave the old ones in use and are read again at the next look.
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

// ReloadError returns why changed files are not in use, or nil.
func (f *Files) ReloadError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reloadErr
}

// CallerTLS returns the TLS configuration towards callers.
func (f *Files) CallerTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: f.serverCertificate}
}

// PeerTLS returns the mutual TLS configuration of peers, for both sides of a connection.
// Peers are known by the authority, not by name: hosts are replaced and addressed by IP number.
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

// verifyPeer checks the other side's chain against the authority, without its name; errors are ErrStranger.
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
		return ErrUntrustedPeer.New("the peer is a stranger (%v); sign its certificate with the authority", err)
	}
	return nil
}
