package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// HostState is what the platform says of a host.
type HostState string

// The states of a listed host.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// HostRole is what a listed host does.
type HostRole string

// The roles of a listed host; an empty role is that of a backend server.
const (
	RoleEntry   HostRole = "Entry"
	RoleBackend HostRole = "Backend"
)

// ListedHost is one host of the platform's list; Address is an entry host's inner address or a target's address.
type ListedHost struct {
	Name    string
	Address string
	State   HostState
	Role    HostRole
}

// HostList reads the platform's lagging list of live and leaving hosts. It is not safe for concurrent use.
type HostList struct {
	url    string
	client *http.Client
	// etag and hosts are the last list, so that an unchanged one need not be sent again.
	etag  string
	hosts []ListedHost
}

// HostListConfig locates the list.
type HostListConfig struct {
	URL     string
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewHostList returns a reader of the list and the function that closes its connections.
func NewHostList(c HostListConfig) (*HostList, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: c.Dial}
	return &HostList{url: c.URL, client: &http.Client{Transport: transport, Timeout: c.Timeout}}, transport.CloseIdleConnections
}

// Read returns the list as it is now; errors are ErrUnavailable.
func (h *HostList) Read(ctx context.Context) ([]ListedHost, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return nil, ErrUnavailable.New("host list: %v; check [Platform] HostList", err)
	}
	if h.etag != "" {
		request.Header.Set("If-None-Match", h.etag)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, ErrUnavailable.New("host list: %v; the last list stays in use", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return h.hosts, nil
	}
	var body struct{ Hosts []ListedHost }
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&body); err != nil {
		return nil, ErrUnavailable.New("host list: status %d, %v; the last list stays in use", response.StatusCode, err)
	}
	h.etag, h.hosts = response.Header.Get("ETag"), body.Hosts
	return body.Hosts, nil
}
