// Package uri compares the paths and hosts of requests with those of rules, and passes request targets on unchanged.
package uri

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("uri").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrTarget reports a request target that cannot be passed on.
var ErrTarget = namespace.NewType("target")

// isUnreserved reports whether a byte means the same encoded and not (RFC 3986, section 2.3).
func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}

// mayStand holds the bytes that may stand in a path without encoding (RFC 3986, section 3.3).
var mayStand = func() (set [256]bool) {
	for c := range set {
		set[c] = isUnreserved(byte(c)) || strings.IndexByte("/!$&'()*+,;=:@", byte(c)) >= 0
	}
	return set
}()

// CanonicalPath returns a path in the form in which equivalent paths are equal: of what is percent-encoded only unreserved characters are
// decoded, as an encoded slash separates no segments (RFC 3986, section 6.2.2). Dot segments stay, because they are passed on.
func CanonicalPath(path string) string {
	i := 0
	for i < len(path) && mayStand[path[i]] {
		i++
	}
	if i == len(path) {
		return path
	}
	var b strings.Builder
	b.WriteString(path[:i])
	for ; i < len(path); i++ {
		c, encoded := path[i], false
		if c == '%' && i+2 < len(path) {
			if decoded, err := strconv.ParseUint(path[i+1:i+3], 16, 8); err == nil {
				c, encoded = byte(decoded), true
				i += 2
			}
		}
		if isUnreserved(c) || !encoded && mayStand[c] {
			b.WriteByte(c)
			continue
		}
		fmt.Fprintf(&b, "%%%02X", c)
	}
	return b.String()
}

// CanonicalHost returns a host in lower case without a port and a trailing dot (RFC 3986, section 3.2.2).
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// PathOf returns the path of a request target in origin form, as it was sent.
func PathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// Origin returns a request target in origin form, with path and query as they were sent, given that net/http has parsed it as u. The
// error is ErrTarget for the authority form and for userinfo, which no target is to get.
func Origin(target string, u *url.URL) (string, error) {
	switch {
	case strings.HasPrefix(target, "/"), target == "*":
		return target, nil
	case u.User != nil || u.Scheme != "http" && u.Scheme != "https" || u.Opaque != "":
		return "", ErrTarget.New("request target %.80q is neither a path nor a URL of http", target)
	}
	// The authority ends with the first slash or question mark behind "://".
	_, rest, _ := strings.Cut(target, "://")
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/", nil
	case rest[i] == '?':
		return "/" + rest[i:], nil
	}
	return rest[i:], nil
}

// URL returns the URL by which net/http sends a request target in origin form to an address unchanged.
func URL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	// Of an opaque part with two slashes net/http would make a URL with another host.
	path, query, found := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		decoded = path
	}
	return &url.URL{Scheme: "http", Host: address, Path: decoded, RawPath: path, RawQuery: query, ForceQuery: found && query == ""}
}

// IsSentUnchanged reports whether URL keeps a request target as it is.
func IsSentUnchanged(target string) bool {
	return !strings.HasPrefix(target, "//") || URL("host", target).RequestURI() == target
}
