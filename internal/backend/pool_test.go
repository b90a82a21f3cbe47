package backend

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func TestPoolReusesConnections(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "complete") }))
	defer server.Close()
	pool, closePool := New(Config{Address: strings.TrimPrefix(server.URL, "http://"), MaxConnections: 4, DialTimeout: time.Second})
	defer closePool()
	for range 50 {
		r, _ := http.NewRequest(http.MethodGet, server.URL, nil)
		response, err := pool.Do(r, Options{})
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "complete")
		is.NoErr(response.Body.Close())
	}
	is.Equal(pool.Usage(), Usage{Open: 1, Idle: 1})
}

// TestPoolSendsOnce checks that a POST with an Idempotency-Key is not sent again when its pooled connection breaks.
// http.Transport would send it again.
func TestPoolSendsOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	pool, closePool := New(Config{Address: strings.TrimPrefix(server.URL, "http://"), MaxConnections: 4, DialTimeout: time.Second})
	defer closePool()
	first, _ := http.NewRequest(http.MethodGet, server.URL, nil)
	response, err := pool.Do(first, Options{})
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	second, _ := http.NewRequest(http.MethodPost, server.URL, nil)
	second.Header.Set("Idempotency-Key", "k")
	_, err = pool.Do(second, Options{})
	is.True(errorx.IsOfType(err, ErrConnectionBroke))
	is.Equal(runs.Load(), int64(1))
	is.Equal(pool.Usage().Idle, 0)
}

func TestPoolRefusedDialIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	pool, closePool := New(Config{Address: address, MaxConnections: 1, DialTimeout: time.Second})
	defer closePool()
	r, _ := http.NewRequest(http.MethodPost, "http://"+address, nil)
	_, err = pool.Do(r, Options{RecentlyUsed: true})
	is.True(errorx.IsOfType(err, ErrNotSent))
	is.Equal(pool.Usage(), Usage{})
}
