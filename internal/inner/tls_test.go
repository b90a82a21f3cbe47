package inner_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	certificates "briarcroft/internal/certificate"
	"briarcroft/internal/inner"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// authority is a certificate authority whose certificates and keys are written to files in dir.
type authority struct {
	is          *is.I
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(is *is.I, dir string) *authority {
	a := &authority{is: is, dir: dir}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	is.NoErr(err)
	a.certificate, err = x509.ParseCertificate(der)
	is.NoErr(err)
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	a.is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// sign issues a certificate, writes it and its key to files and returns their paths.
func (a *authority) sign(name string) (certificate, key string) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &privateKey.PublicKey, a.key)
	a.is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	a.is.NoErr(err)
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+"-key.pem", "EC PRIVATE KEY", keyDER)
}

// loadPeerTLS returns the mutual TLS configuration of a host that checks its certificate files for changes at every
// handshake.
func loadPeerTLS(certificate, key, authority string) (*tls.Config, error) {
	files, err := certificates.Load(certificates.Config{Certificate: certificate, Key: key, Authority: authority, CheckInterval: time.Nanosecond})
	if err != nil {
		return nil, err
	}
	return files.PeerTLS(), nil
}

// countsServer answers Counts calls and no others.
type countsServer struct {
	inner.DRPCPeerUnimplementedServer
}

func (*countsServer) Counts(context.Context, *inner.CountsRequest) (*inner.CountsReply, error) {
	return &inner.CountsReply{}, nil
}

// TestPeersWithoutTrustedCertificateAreRejected calls a host over TLS with a certificate of its own authority, with one
// of another authority and over plain TCP, and replaces keys and the authority while the server runs. A peer is
// accepted exactly if both sides trust each other's authority at the time of the handshake.
func TestPeersWithoutTrustedCertificateAreRejected(t *testing.T) {
	is := is.New(t)
	trusted, untrusted := newAuthority(is, t.TempDir()), newAuthority(is, t.TempDir())
	authorityFile := filepath.Join(trusted.dir, "authority.pem")
	certificate, key := trusted.sign("host")
	server, err := loadPeerTLS(certificate, key, authorityFile)
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done, err := inner.Serve(ctx, inner.ServerConfig{Listener: listener, Handler: &countsServer{}, TLS: server})
	is.NoErr(err)
	defer func() { cancel(); <-done }()

	call := func(c inner.ClientConfig) error {
		client, closeClient := inner.NewClient(c)
		defer closeClient()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := client.Peer(ctx, listener.Addr().String()).Counts(ctx, &inner.CountsRequest{})
		return err
	}
	certificate, key = trusted.sign("peer")
	peer, err := loadPeerTLS(certificate, key, authorityFile)
	is.NoErr(err)
	is.NoErr(call(inner.ClientConfig{TLS: peer}))
	// The peer's files are replaced while both sides run; while they are incomplete, the old ones stay in use.
	is.NoErr(os.WriteFile(filepath.Join(trusted.dir, "peer.pem"), []byte("half"), 0o600))
	is.NoErr(call(inner.ClientConfig{TLS: peer}))
	trusted.sign("peer")
	is.NoErr(call(inner.ClientConfig{TLS: peer}))
	certificate, key = untrusted.sign("untrusted-peer")
	untrustedPeer, err := loadPeerTLS(certificate, key, authorityFile)
	is.NoErr(err)
	is.True(call(inner.ClientConfig{TLS: untrustedPeer}) != nil) // the server rejects the client
	certificate, key = trusted.sign("distrustful-peer")
	peerWithOtherAuthority, err := loadPeerTLS(certificate, key, filepath.Join(untrusted.dir, "authority.pem"))
	is.NoErr(err)
	is.True(call(inner.ClientConfig{TLS: peerWithOtherAuthority}) != nil) // the client rejects the server
	is.True(call(inner.ClientConfig{}) != nil)                            // plain TCP
	// The server gets another authority: certificates that it accepted before are rejected now.
	untrustedPEM, err := os.ReadFile(filepath.Join(untrusted.dir, "authority.pem"))
	is.NoErr(err)
	is.NoErr(os.WriteFile(authorityFile, untrustedPEM, 0o600))
	is.True(call(inner.ClientConfig{TLS: peer}) != nil)
	_, err = loadPeerTLS(filepath.Join(trusted.dir, "none.pem"), key, authorityFile)
	is.True(errorx.IsOfType(err, certificates.ErrFile))
}
