// Package caller is a caller's side of the protocol: it asks for addresses, keeps the answer for a while and connects.
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

// ErrNoAddress reports that no known entry host gave an address answer.
var ErrNoAddress = namespace.NewType("no_address")

// ErrConnect reports a connection that could not be opened; nothing was sent.
var ErrConnect = namespace.NewType("refused")

// ErrIncompleteResponse reports an answer that did not come whole.
var ErrIncompleteResponse = namespace.NewType("cut")

// Numbers of the client.
const (
	maxAttempts       = 6
	defaultRetryDelay = 50 * time.Millisecond
	addressTimeout    = time.Second
)

// Config sets up a Client.
type Config struct {
	// Seeds are addresses of entry hosts to ask first.
	Seeds  []string
	Domain string
	Seed   uint64
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to services through entry hosts. It is safe for concurrent use.
type Client struct {
	config           Config
	transport        *http.Transport
	mu               sync.Mutex
	random           *rand.Rand
	answersByService map[string]cachedAnswer
	// answersByHost holds the answers of single entry hosts, for their grants.
	answersByHost map[string]cachedAnswer
}

type cachedAnswer struct {
	address.Answer
	expiresAt time.Time
}

// New returns a client and the function that closes its connections.
func New(c Config) (*Client, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true, DialContext: c.Dial}
	client := &Client{config: c, transport: t, random: rand.New(rand.NewPCG(c.Seed, 3)), answersByService: map[string]cachedAnswer{}, answersByHost: map[string]cachedAnswer{}}
	return client, t.CloseIdleConnections
}

// Request is one request of a caller.
type Request struct {
	Service string
	Method  string
	Path    string
	Body    []byte
	// AtMostOnce asks that the request runs at most once.
	AtMostOnce bool
}

// Response is how a request ended.
type Response struct {
	Status  int
	Outcome claim.Outcome
	Header  http.Header
	Body    []byte
	// Key is the last Idempotency-Key used, and Keys all of them.
	IdempotencyKeys []string
	Attempts        int
}

// Addresses returns the address answer for a service, kept or fresh; errors are ErrNoAddress.
func (c *Client) Addresses(ctx context.Context, service string) (address.Answer, error) {
	c.mu.Lock()
	cached, found := c.answersByService[service]
	c.mu.Unlock()
	if found && time.Now().Before(cached.expiresAt) {
		return cached.Answer, nil
	}
	var lastErr error
	for _, host := range c.hostsToAsk(cached.Answer) {
		answer, err := c.FetchAddresses(ctx, host, service)
		if err != nil {
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.answersByService[service] = cachedAnswer{answer, time.Now().Add(time.Duration(answer.MaxAge) * time.Second)}
		c.mu.Unlock()
		return answer, nil
	}
	if found {
		return cached.Answer, nil
	}
	return address.Answer{}, ErrNoAddress.New("no entry host answered for service %q (%v); check the seeds", service, lastErr)
}

// hostsToAsk returns the hosts of the last answer and then the seeds, from a random place on.
func (c *Client) hostsToAsk(last address.Answer) []string {
	var list []string
	for _, a := range last.Addresses {
		list = append(list, a.Address)
	}
	c.mu.Lock()
	offset := c.random.IntN(max(1, len(c.config.Seeds)))
	c.mu.Unlock()
	return append(append(list, c.config.Seeds[offset:]...), c.config.Seeds[:offset]...)
}

// FetchAddresses asks one entry host for addresses; errors are ErrNoAddress.
func (c *Client) FetchAddresses(ctx context.Context, host, service string) (address.Answer, error) {
	var answer address.Answer
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
		return answer, ErrNoAddress.New("%s answered %s (%s)", host, response.Status, response.Header.Get(steering.HeaderReason))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(&answer); err != nil {
		return answer, ErrNoAddress.New("%s: %v", host, err)
	}
	return answer, nil
}

func (c *Client) expireAnswers(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.answersByHost)
	if cached, found := c.answersByService[service]; found {
		cached.expiresAt = time.Time{}
		c.answersByService[service] = cached
	}
}

// Do sends a request until its outcome is known, as far as that is safe.
// A request with Once keeps its key while it may have run, and takes a new one only when it was not run.
// Errors are ErrNoAddress, ErrConnect or ErrIncompleteResponse.
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
			c.expireAnswers(r.Service)
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

// isFinal reports whether there is nothing to gain from sending again.
func isFinal(r Request, response Response) bool {
	if response.Outcome == "" || response.Outcome == claim.Ran {
		return true
	}
	if response.Outcome == claim.NotRun {
		return response.Status != http.StatusServiceUnavailable && response.Status != http.StatusConflict
	}
	return r.AtMostOnce && response.Header.Get(steering.HeaderReason) == string(claim.ReasonInterrupted)
}

// chooseHost chooses where to send, and a key for a request that has none yet.
func (c *Client) chooseHost(ctx context.Context, r Request, key string, attempt int) (string, string, error) {
	answer, err := c.Addresses(ctx, r.Service)
	if err != nil {
		return "", "", err
	}
	host := answer.Addresses[(attempt-1)%len(answer.Addresses)].Address
	if !r.AtMostOnce || key != "" {
		return host, key, nil
	}
	return host, fmt.Sprintf("%s.%s", c.grantFrom(ctx, host, r.Service, answer.Grant), c.newKeySuffix()), nil
}

// grantFrom returns a grant of the host that a request is sent to, so that no other host has to pass it on; or the given one
// when that host does not answer. A grant is kept for as long as an address answer.
func (c *Client) grantFrom(ctx context.Context, host, service, fallback string) string {
	c.mu.Lock()
	cached := c.answersByHost[host]
	c.mu.Unlock()
	if time.Now().Before(cached.expiresAt) {
		return cached.Grant
	}
	answer, err := c.FetchAddresses(ctx, host, service)
	if err != nil {
		return fallback
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersByHost[host] = cachedAnswer{answer, time.Now().Add(time.Duration(answer.MaxAge) * time.Second)}
	return answer.Grant
}

func (c *Client) newKeySuffix() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strconv.FormatUint(c.random.Uint64(), 36)
}

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
		return result, ErrIncompleteResponse.New("%s cut its answer after %d bytes: %v", host, len(body), err)
	}
	return result, nil
}

func retryDelay(r Response) time.Duration {
	if n, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil && n > 0 {
		return time.Duration(n) * time.Second
	}
	return defaultRetryDelay
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
