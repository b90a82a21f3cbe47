package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a listed host. A leaving host is about to be stopped and gets no new requests.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// HostRole is the role of a host in the platform's list.
type HostRole string

// The roles of a listed host. A host without a role is a backend server.
const (
	RoleEntry   HostRole = "Entry"
	RoleBackend HostRole = "Backend"
)

// ListedHost is one host of the platform's list. Address is the inner address of an entry host, where its peers
// connect, or the address of a backend server.
type ListedHost struct {
	Name    string
	Address string
	State   HostState
	Role    HostRole
}

// HostList is a client of the platform's list of live and leaving hosts. The list may be out of date: changes reach
// it late. A HostList is not safe for concurrent use.
type HostList struct {
	url    string
	client *http.Client
	// etag and hosts are those of the last response, so that the server need not send an unchanged list again.
	etag  string
	hosts []ListedHost
}

// HostListConfig configures a HostList. Timeout limits each call.
type HostListConfig struct {
	URL     string
	Timeout time.Duration
	// Dial opens connections; nil means the default dialer of net/http.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewHostList returns a client of the list and a function that closes the client's idle connections.
func NewHostList(c HostListConfig) (*HostList, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: c.Dial}
	return &HostList{url: c.URL, client: &http.Client{Transport: transport, Timeout: c.Timeout}}, transport.CloseIdleConnections
}

// Read returns the present list; errors are ErrUnavailable.
func (h *HostList) Read(ctx context.Context) ([]ListedHost, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return nil, ErrUnavailable.New("host list: invalid URL: %v; check the setting HostList in [Platform]", err)
	}
	if h.etag != "" {
		request.Header.Set("If-None-Match", h.etag)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, ErrUnavailable.New("host list: %v; the previous list stays in use", err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotModified && h.etag != "":
		return h.hosts, nil
	case response.StatusCode != http.StatusOK:
		return nil, ErrUnavailable.New("host list: the response has status %d; the previous list stays in use", response.StatusCode)
	}
	var body struct{ Hosts []ListedHost }
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&body); err != nil {
		return nil, ErrUnavailable.New("host list: cannot decode the response with status %d: %v; the previous list stays in use", response.StatusCode, err)
	}
	h.etag, h.hosts = response.Header.Get("ETag"), body.Hosts
	return body.Hosts, nil
}
