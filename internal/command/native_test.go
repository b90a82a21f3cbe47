package command

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/settings"
	"briarcroft/platform/standin"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// freeAddress returns a loopback address with a port that is free at the moment.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestVerifyAndExplainGateway runs verify and explain, as a monitor does, against a gateway, the entry host for the
// users' platform.
func TestVerifyAndExplainGateway(t *testing.T) {
	is := is.New(t)
	store := standin.New()
	store.Put("op/config", []byte(`{"version":"00000007","routes":[{"name":"r","host":"h","prefix":"/p/","kind":"safe","timeout-ms":900,"service":"s"}],"services":[{"name":"s","health-path":"/health"}]}`))
	store.Put("servers/i-1", []byte(`{"service":"s","address":"127.0.0.1:1","zone":"a","slots":3,"state":"ready"}`))
	server := httptest.NewServer(store.HandlerFor("h"))
	defer server.Close()
	metrics := freeAddress(t)
	ini := fmt.Sprintf("[Host]\nName = g\nDomain = a\nListen = %s\nInner = %s\nMetrics = %s\n[Platform]\nKind = Native\nStore = %s\n",
		freeAddress(t), freeAddress(t), metrics, server.URL)
	s, err := settings.Parse("settings.ini", []byte(ini))
	is.NoErr(err)
	gateway, closeGateway := newGateway(s, zerolog.Nop(), nil)
	defer closeGateway()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- gateway.Serve(context.Background(), ctx) }()
	run := func(arguments ...string) (int, string) {
		var out bytes.Buffer
		code := Run(Config{Arguments: append(arguments, "--host", metrics), Out: &out, Err: &out})
		return code, out.String()
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		code, out := run("verify", "--kind", "Native", "--store", server.URL)
		if code == ExitSuccess {
			is.True(strings.Contains(out, "agrees"))
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("verify: %d %s", code, out)
		}
	}
	code, out := run("explain", "--target", "i-1")
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, "i-1"))
	code, out = run("explain", "--account", "north")
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, "no allowance in its configuration"))
	is.True(strings.Contains(out, `account "north" on 1 hosts: spent 0, refused 0`))
	cancel()
	is.NoErr(<-done)
}
