package uri

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// TestCanonicalPath guards against paths that select the rule of another path, and against equivalent ones that do not.
func TestCanonicalPath(t *testing.T) {
	for _, c := range []struct{ path, want string }{
		{"/batch/2026/1", "/batch/2026/1"},
		{"/batch/2026%2F1", "/batch/2026%2F1"},
		{"/batch/2026%2f1", "/batch/2026%2F1"},
		{"/b%61tch/%7Ea", "/batch/~a"},
		{"/%2e%2e/a", "/../a"},
		{"/a/../b", "/a/../b"},
		{"//x/y", "//x/y"},
		{"/k\xc3\xa4se/", "/k%C3%A4se/"},
		{"/k%c3%a4se/", "/k%C3%A4se/"},
		{"/100%", "/100%25"},
		{"/a%2", "/a%252"},
		{"/a b|c", "/a%20b%7Cc"},
		{"/a;b=c,d", "/a;b=c,d"},
		{"", ""},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CanonicalPath(c.path), c.want)
			is.Equal(CanonicalPath(c.want), c.want)
		})
	}
}

// TestCanonicalHost guards against hosts that are the same and select no rule.
func TestCanonicalHost(t *testing.T) {
	for _, c := range []struct{ host, want string }{
		{"mills.example", "mills.example"}, {"MILLS.Example", "mills.example"}, {"mills.example:8080", "mills.example"},
		{"mills.example.", "mills.example"}, {"mills.example.:80", "mills.example"}, {"[::1]:80", "[::1]"}, {"[::1]", "[::1]"}, {"10.0.0.1:80", "10.0.0.1"}, {"", ""},
	} {
		t.Run(c.host, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CanonicalHost(c.host), c.want)
		})
	}
}

// TestTargetIsSentUnchanged guards against request targets that reach a backend server with another path or query.
func TestTargetIsSentUnchanged(t *testing.T) {
	for _, c := range []struct {
		target, want string
		refused      bool
	}{
		{"/a", "/a", false}, {"/a?b=c", "/a?b=c", false}, {"/a?", "/a?", false}, {"//x/y", "//x/y", false}, {"//x/y?q", "//x/y?q", false}, {"//x%2Fy?", "//x%2Fy?", false},
		{"/a/../b", "/a/../b", false}, {"/%2Fx%2e%2e/y", "/%2Fx%2e%2e/y", false}, {"/a%2Fb?c=%2F", "/a%2Fb?c=%2F", false}, {"/a//b", "/a//b", false},
		{"http://h/a%2Fb?c", "/a%2Fb?c", false}, {"http://h", "/", false}, {"http://h?q", "/?q", false}, {"HTTP://h//x", "//x", false},
		{"http://user@h/a", "", true}, {"ftp://h/a", "", true}, {"mailto:x", "", true},
	} {
		t.Run(c.target, func(t *testing.T) {
			is := is.New(t)
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", c.target))))
			is.NoErr(err)
			origin, err := Origin(r.RequestURI, r.URL)
			is.Equal(errorx.IsOfType(err, ErrTarget), c.refused)
			is.Equal(origin, c.want)
			if c.refused {
				return
			}
			is.True(IsSentUnchanged(origin))
			var sent bytes.Buffer
			is.NoErr((&http.Request{Method: "GET", URL: URL("10.0.0.1:80", origin), Host: "h", Header: http.Header{}}).Write(&sent))
			line, _, _ := strings.Cut(sent.String(), "\r\n")
			is.Equal(line, "GET "+c.want+" HTTP/1.1")
		})
	}
}

// BenchmarkCanonicalPath measures an ordinary path.
func BenchmarkCanonicalPath(b *testing.B) {
	for b.Loop() {
		CanonicalPath("/certificates/heat-4711/2026")
	}
}
