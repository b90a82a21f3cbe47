package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// uploadBytes is the size in bytes of uploads that do not fit into the buffers of sockets.
const uploadBytes = 16 << 20

// serveResetUploads answers health checks, and uploads before it has read them: with a response that has no length, of which it sends a part
// before it resets the connection.
func serveResetUploads(conn net.Conn, name string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.Method == http.MethodGet {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n", name)
			continue
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\n\r\npart", r.Header.Get("X-Attempt-Id"))
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
}

// TestEarlyAnswerOfResetUploadIsNotWhole guards against a success with a part of the body when a target answers an upload at once, without a
// length, and resets the connection while the upload is still being written.
func TestEarlyAnswerOfResetUploadIsNotWhole(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 2, 0)
	for i := range 12 {
		x := standin.NewTarget(fmt.Sprint("t", i))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		f.is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go serveResetUploads(conn, x.Name)
			}
		}()
		x.Address = l.Addr().String()
		f.store.Put("servers/"+x.Name, x.StoreValue("stock", "ready"))
	}
	value, err := json.Marshal(map[string]any{
		"version": "00000002", "services": []any{map[string]any{"name": "stock", "health-path": "/health", "max-connections": 100}},
		"routes": []any{map[string]any{"name": "order", "host": "www.example", "prefix": "/order/", "kind": "unsafe", "timeout-ms": 2000, "service": "stock"}},
		"limits": map[string]any{"max-header-bytes": 4096, "max-body-bytes": 2 * uploadBytes, "header-timeout-ms": 2000, "idle-timeout-ms": 15000},
	})
	f.is.NoErr(err)
	f.store.Put("op/config", value)
	body := bytes.Repeat([]byte("x"), uploadBytes)
	const uploads = 10
	failed := 0
	for i, end := 0, time.Now().Add(waitTimeout); failed < uploads && time.Now().Before(end); i++ {
		chunked := i%2 == 0
		// A request that breaks connections is refused for a while, so each is another one.
		copy(body, fmt.Sprintf("%08d", i))
		var reader io.Reader = bytes.NewReader(body)
		if chunked {
			reader = io.MultiReader(reader) // of unknown length
		}
		r, err := http.NewRequest(http.MethodPost, "http://"+f.hosts[i%2].listen+fmt.Sprint("/order/", i), reader)
		f.is.NoErr(err)
		r.Host = "www.example"
		r.Header.Set("X-Attempt-Id", fmt.Sprint("upload-", i))
		response, err := f.client.Do(r)
		if err != nil {
			// The host has refused the upload before it has read it.
			continue
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			t.Fatalf("upload %d, chunked %v, was answered 200 with %q", i, chunked, content)
		}
		if response.StatusCode == http.StatusBadGateway {
			failed++
		} else {
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.is.Equal(failed, uploads) // the uploads reached the target
}
