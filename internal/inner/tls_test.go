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

// authority signs certificates for tests.
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

// sign writes a certificate and its key and returns their paths.
func (a *authority) sign(name string) (certificate, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &private.PublicKey, a.key)
	a.is.NoErr(err)
	text, err := x509.MarshalECPrivateKey(private)
	a.is.NoErr(err)
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+"-key.pem", "EC PRIVATE KEY", text)
}

// load returns the mutual TLS configuration of a host that looks at its files at every handshake.
func load(certificate, key, authority string) (*tls.Config, error) {
	files, err := certificates.Load(certificates.Config{Certificate: certificate, Key: key, Authority: authority, CheckInterval: time.Nanosecond})
	if err != nil {
		return nil, err
	}
	return files.PeerTLS(), nil
}

type echo struct {
	inner.DRPCPeerUnimplementedServer
}

func (*echo) Counts(context.Context, *inner.CountsRequest) (*inner.CountsReply, error) {
	return &inner.CountsReply{}, nil
}

// TestStrangersAreRefused calls a host with a certificate of its authority, of another, and without one.
func TestStrangersAreRefused(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(is, t.TempDir()), newAuthority(is, t.TempDir())
	ca := filepath.Join(ours.dir, "authority.pem")
	certificate, key := ours.sign("host")
	server, err := load(certificate, key, ca)
	is.NoErr(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done, err := inner.Serve(ctx, inner.ServerConfig{Listener: listener, Handler: &echo{}, TLS: server})
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
	certificate, key = ours.sign("peer")
	peer, err := load(certificate, key, ca)
	is.NoErr(err)
	is.NoErr(call(inner.ClientConfig{TLS: peer}))
	// The keys are replaced while both run; half a replacement leaves the old ones in use.
	is.NoErr(os.WriteFile(filepath.Join(ours.dir, "peer.pem"), []byte("half"), 0o600))
	is.NoErr(call(inner.ClientConfig{TLS: peer}))
	ours.sign("peer")
	is.NoErr(call(inner.ClientConfig{TLS: peer}))
	certificate, key = theirs.sign("stranger")
	stranger, err := load(certificate, key, ca)
	is.NoErr(err)
	is.True(call(inner.ClientConfig{TLS: stranger}) != nil) // the server refuses it
	certificate, key = ours.sign("wary")
	wary, err := load(certificate, key, filepath.Join(theirs.dir, "authority.pem"))
	is.NoErr(err)
	is.True(call(inner.ClientConfig{TLS: wary}) != nil) // the client refuses the server
	is.True(call(inner.ClientConfig{}) != nil)          // plain TCP
	// A new authority for the server: who was known is a stranger now.
	text, err := os.ReadFile(filepath.Join(theirs.dir, "authority.pem"))
	is.NoErr(err)
	is.NoErr(os.WriteFile(ca, text, 0o600))
	is.True(call(inner.ClientConfig{TLS: peer}) != nil)
	_, err = load(filepath.Join(ours.dir, "none.pem"), key, ca)
	is.True(errorx.IsOfType(err, certificates.ErrFile))
}
