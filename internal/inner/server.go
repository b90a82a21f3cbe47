package inner

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/joomcode/errorx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// ErrCertificate reports certificate files that cannot be used.
var ErrCertificate = namespace.NewType("certificate")

// ServerConfig sets up a server; TLS is nil for plain TCP.
type ServerConfig struct {
	Listener net.Listener
	Handler  DRPCPeerServer
	TLS      *tls.Config
}

// Serve answers peers until the context ends and reports its end on the returned channel.
func Serve(ctx context.Context, c ServerConfig) (<-chan error, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterPeer(mux, c.Handler); err != nil {
		return nil, errorx.Decorate(err, "register the inner protocol")
	}
	listener := c.Listener
	if c.TLS != nil {
		listener = tls.NewListener(listener, c.TLS)
	}
	done := make(chan error, 1)
	go func() { done <- drpcserver.New(mux).Serve(ctx, listener) }()
	return done, nil
}

// LoadTLS returns the mutual TLS configuration of peers; a peer whose certificate the authority did not sign is refused.
// Errors are ErrCertificate.
func LoadTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, ErrCertificate.New("[TLS] PeerCertificate: %v; give PEM files that belong together", err)
	}
	text, err := os.ReadFile(authority)
	if err != nil {
		return nil, ErrCertificate.New("[TLS] PeerAuthority: %v; give a readable PEM file", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, ErrCertificate.New("[TLS] PeerAuthority: %s holds no PEM certificate", authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: roots, ClientCAs: roots,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		// Peers are known by the authority, not by name: hosts are replaced and addressed by IP number.
		InsecureSkipVerify: true, VerifyConnection: verifyPeer(roots),
	}, nil
}

// verifyPeer checks the server's chain against the authority, without its name.
func verifyPeer(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrCertificate.New("the peer sent no certificate; set its [TLS] keys")
		}
		intermediates := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		options := x509.VerifyOptions{Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
		if _, err := state.PeerCertificates[0].Verify(options); err != nil {
			return ErrCertificate.New("the peer is a stranger (%v); sign its certificate with the authority", err)
		}
		return nil
	}
}
