// Package caller is an HTTP client for services behind briarcroft. It gets the addresses of the entry hosts to use for a
// service from any entry host, caches them, sends requests to these hosts and retries where that is safe.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"briarcroft/internal/address"
	"briarcroft/internal/claim"
	"briarcroft/internal/steering"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("caller").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrNoAddress reports that no entry host returned addresses for a service.
var ErrNoAddress = namespace.NewType("no_address")

// ErrConnect reports that no connection could be opened, so that nothing was sent.
var ErrConnect = namespace.NewType("refused")

// ErrIncompleteResponse reports that a request was or may have been sent, but no complete response was received. It also
// reports a request whose method or path is invalid and which was therefore not sent.
var ErrIncompleteResponse = namespace.NewType("cut")

const (
	maxAttempts = 6
	// defaultRetryDelay is the delay before a further attempt if the response has no Retry-After field.
	defaultRetryDelay = 50 * time.Millisecond
	// addressTimeout limits a request for addresses.
	addressTimeout = time.Second
)

// Config configures a Client.
type Config struct {
	// Seeds are the addresses of entry hosts to ask while no addresses are known for a service, or none of them responds.
	Seeds []string
	// Domain is the failure domain of the client. It is sent with each request, and entry hosts take it into account when
	// they list addresses.
	Domain string
	// Seed is the seed of the random choices.
	Seed uint64
	// Dial opens connections. If it is nil, the client uses TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to services through entry hosts. It is safe for concurrent use.
type Client struct {
	config    Config
	transport *http.Transport
	mu        sync.Mutex
	random    *rand.Rand
	// addressesByService holds the newest address answer for each service.
	addressesByService map[string]cachedAddresses
	// addressesByHost holds the newest address answer of each entry host that requests were sent to. Only its grant is used.
	addressesByHost map[string]cachedAddresses
}

// cachedAddresses is an address answer with the time at which it expires.
type cachedAddresses struct {
	address.Response
	expiresAt time.Time
}

// New returns a client and a function that closes its idle connections.
func New(c Config) (*Client, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true, DialContext: c.Dial}
	client := &Client{config: c, transport: t, random: rand.New(rand.NewPCG(c.Seed, 3)), addressesByService: map[string]cachedAddresses{}, addressesByHost: map[string]cachedAddresses{}}
	return client, t.CloseIdleConnections
}

// Request is a request to a service.
type Request struct {
	Service string
	Method  string
	Path    string
	Body    []byte
	// AtMostOnce is set if the request must not run more than once. It is then sent with an Idempotency-Key.
	AtMostOnce bool
}

// Response is the response to the last attempt of a request.
type Response struct {
	Status int
	// Outcome says whether the request ran. It is empty if the response does not say so.
	Outcome claim.Outcome
	Header  http.Header
	Body    []byte
	// IdempotencyKeys holds all keys that the request was sent with, the last one last.
	IdempotencyKeys []string
	// Attempts is the number of times that the request was sent, or that sending it was tried.
	Attempts int
}

// Addresses returns the entry hosts for a service, from the cache until they expire. If no entry host responds, it
// returns the expired ones. Errors are ErrNoAddress.
func (c *Client) Addresses(ctx context.Context, service string) (address.Response, error) {
	c.mu.Lock()
	cached, found := c.addressesByService[service]
	c.mu.Unlock()
	if found && time.Now().Before(cached.expiresAt) {
		return cached.Response, nil
	}
	var lastErr error
	for _, host := range c.hostsToQuery(cached.Response) {
		response, err := c.FetchAddresses(ctx, host, service)
		if err != nil {
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.addressesByService[service] = cachedAddresses{response, time.Now().Add(time.Duration(response.MaxAge) * time.Second)}
		c.mu.Unlock()
		return response, nil
	}
	if found {
		return cached.Response, nil
	}
	return address.Response{}, ErrNoAddress.New("no entry host answered for service %q (%v); check the seeds", service, lastErr)
}

// hostsToQuery returns the hosts of the last address answer, followed by all seeds in their order, starting at a random
// one.
func (c *Client) hostsToQuery(last address.Response) []string {
	var hosts []string
	for _, a := range last.Addresses {
		hosts = append(hosts, a.Address)
	}
	c.mu.Lock()
	offset := c.random.IntN(max(1, len(c.config.Seeds)))
	c.mu.Unlock()
	return append(append(hosts, c.config.Seeds[offset:]...), c.config.Seeds[:offset]...)
}

// FetchAddresses requests the entry hosts for a service from one entry host, past the cache. Errors are ErrNoAddress.
func (c *Client) FetchAddresses(ctx context.Context, host, service string) (address.Response, error) {
	var answer address.Response
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	query := url.Values{"Service": {service}, "Domain": {c.config.Domain}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/Addresses?"+query.Encode(), nil)
	if err != nil {
		return answer, ErrNoAddress.New("%s: %v", host, err)
	}
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return answer, ErrNoAddress.New("%s: %v", host, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, ErrNoAddress.New("%s: got status %s (%s)", host, response.Status, response.Header.Get(steering.HeaderReason))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(&answer); err != nil {
		return answer, ErrNoAddress.New("%s: %v", host, err)
	}
	return answer, nil
}

// expireAddresses makes the next attempt request new addresses for a service, and new grants.
func (c *Client) expireAddresses(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.addressesByHost)
	if cached, found := c.addressesByService[service]; found {
		cached.expiresAt = time.Time{}
		c.addressesByService[service] = cached
	}
}

// Do sends a request and retries it, up to maxAttempts attempts, until its outcome is known. Retries of an AtMostOnce
// request use the same Idempotency-Key, since an earlier attempt may have run; only after a response that says that the
// request did not run, or if the first attempt could not connect, they use a new one. If all attempts are used
// up or ctx ends, Do returns the response or error of the last one. Errors are ErrNoAddress, ErrConnect or
// ErrIncompleteResponse.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	var response Response
	var keysUsed []string
	key := ""
	var err error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		var host string
		if host, key, err = c.chooseHost(ctx, r, key, attempt); err != nil {
			return response, err
		}
		if key != "" && (len(keysUsed) == 0 || keysUsed[len(keysUsed)-1] != key) {
			keysUsed = append(keysUsed, key)
		}
		response, err = c.send(ctx, r, host, key)
		response.IdempotencyKeys, response.Attempts = keysUsed, attempt
		if err == nil && isFinal(r, response) {
			return response, nil
		}
		if err != nil || response.Status == http.StatusServiceUnavailable {
			c.expireAddresses(r.Service)
		}
		if err == nil && response.Outcome == claim.NotRun || attempt == 1 && errorx.IsOfType(err, ErrConnect) {
			key = ""
		}
		if !sleep(ctx, retryDelay(response)) {
			break
		}
	}
	return response, err
}

// isFinal reports whether the request is not to be retried: the response says that it ran or does not say whether it ran,
// or that it was refused with a status other than 503 and 409, or it is an AtMostOnce request whose response was lost for
// good.
func isFinal(r Request, response Response) bool {
	if response.Outcome == "" || response.Outcome == claim.Ran {
		return true
	}
	if response.Outcome == claim.NotRun {
		return response.Status != http.StatusServiceUnavailable && response.Status != http.StatusConflict
	}
	return r.AtMostOnce && response.Header.Get(steering.HeaderReason) == string(claim.ReasonResponseLost)
}

// chooseHost returns the address of the entry host for an attempt, and the Idempotency-Key: the given one or, if that is
// empty and the request is AtMostOnce, a new one. Attempts go through the listed hosts in turn.
func (c *Client) chooseHost(ctx context.Context, r Request, key string, attempt int) (string, string, error) {
	addresses, err := c.Addresses(ctx, r.Service)
	if err != nil {
		return "", "", err
	}
	host := addresses.Addresses[(attempt-1)%len(addresses.Addresses)].Address
	if !r.AtMostOnce || key != "" {
		return host, key, nil
	}
	return host, fmt.Sprintf("%s.%s", c.grantFrom(ctx, host, r.Service, addresses.Grant), c.newKeySuffix()), nil
}

// grantFrom returns a grant, the first part of an Idempotency-Key, that was issued by the host to which the request is
// sent. With a grant of another host, the request would have to be forwarded to that one. If the host does not respond,
// grantFrom returns the fallback. Grants are cached for the MaxAge of the address answer that they come with.
func (c *Client) grantFrom(ctx context.Context, host, service, fallback string) string {
	c.mu.Lock()
	cached := c.addressesByHost[host]
	c.mu.Unlock()
	if time.Now().Before(cached.expiresAt) {
		return cached.Grant
	}
	addresses, err := c.FetchAddresses(ctx, host, service)
	if err != nil {
		return fallback
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addressesByHost[host] = cachedAddresses{addresses, time.Now().Add(time.Duration(addresses.MaxAge) * time.Second)}
	return addresses.Grant
}

// newKeySuffix returns a random second part for an Idempotency-Key.
func (c *Client) newKeySuffix() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strconv.FormatUint(c.random.Uint64(), 36)
}

// send sends a request once. The returned error is nil, ErrConnect or ErrIncompleteResponse.
func (c *Client) send(ctx context.Context, r Request, host, key string) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+host+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, ErrIncompleteResponse.New("%v", err)
	}
	request.Header.Set(steering.HeaderDomain, c.config.Domain)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.transport.RoundTrip(request)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return Response{}, ErrConnect.New("%s: %v; the next address is tried", host, err)
	}
	if err != nil {
		return Response{}, ErrIncompleteResponse.New("%s: %v", host, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result := Response{Status: response.StatusCode, Outcome: claim.Outcome(response.Header.Get(steering.HeaderOutcome)), Header: response.Header, Body: body}
	if err != nil {
		return result, ErrIncompleteResponse.New("%s: response truncated after %d bytes: %v", host, len(body), err)
	}
	return result, nil
}

// retryDelay returns the delay before the next attempt, from the Retry-After field if there is one in seconds.
func retryDelay(r Response) time.Duration {
	if n, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil && n > 0 {
		return time.Duration(n) * time.Second
	}
	return defaultRetryDelay
}

// sleep waits for a duration. It returns false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
