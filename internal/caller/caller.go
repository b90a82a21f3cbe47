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

// ErrRefused reports a connection that could not be opened; nothing was sent.
var ErrRefused = namespace.NewType("refused")

// ErrCut reports an answer that did not come whole.
var ErrCut = namespace.NewType("cut")

// Numbers of the client.
const (
	maxSends    = 6
	resendPause = 50 * time.Millisecond
	askTimeout  = time.Second
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
	config    Config
	transport *http.Transport
	mu        sync.Mutex
	random    *rand.Rand
	answers   map[string]kept
	// grants holds the answers of single entry hosts, for their grants.
	grants map[string]kept
}

type kept struct {
	address.Response
	until time.Time
}

// New returns a client and the function that closes its connections.
func New(c Config) (*Client, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true, DialContext: c.Dial}
	client := &Client{config: c, transport: t, random: rand.New(rand.NewPCG(c.Seed, 3)), answers: map[string]kept{}, grants: map[string]kept{}}
	return client, t.CloseIdleConnections
}

// Request is one request of a caller.
type Request struct {
	Service string
	Method  string
	Path    string
	Body    []byte
	// Once asks that the request runs at most once.
	Once bool
}

// Answer is how a request ended.
type Answer struct {
	Status  int
	Outcome claim.Outcome
	Header  http.Header
	Body    []byte
	// Key is the last Idempotency-Key used, and Keys all of them.
	Keys  []string
	Sends int
}

// Addresses returns the address answer for a service, kept or fresh; errors are ErrNoAddress.
func (c *Client) Addresses(ctx context.Context, service string) (address.Response, error) {
	c.mu.Lock()
	k, found := c.answers[service]
	c.mu.Unlock()
	if found && time.Now().Before(k.until) {
		return k.Response, nil
	}
	var last error
	for _, host := range c.askOrder(k.Response) {
		answer, err := c.Ask(ctx, host, service)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.answers[service] = kept{answer, time.Now().Add(time.Duration(answer.MaxAge) * time.Second)}
		c.mu.Unlock()
		return answer, nil
	}
	if found {
		return k.Response, nil
	}
	return address.Response{}, ErrNoAddress.New("no entry host answered for service %q (%v); check the seeds", service, last)
}

// askOrder returns the hosts of the last answer and then the seeds, from a random place on.
func (c *Client) askOrder(last address.Response) []string {
	var list []string
	for _, a := range last.Addresses {
		list = append(list, a.Address)
	}
	c.mu.Lock()
	first := c.random.IntN(max(1, len(c.config.Seeds)))
	c.mu.Unlock()
	return append(append(list, c.config.Seeds[first:]...), c.config.Seeds[:first]...)
}

// Ask asks one entry host for addresses; errors are ErrNoAddress.
func (c *Client) Ask(ctx context.Context, host, service string) (address.Response, error) {
	var answer address.Response
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

func (c *Client) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.grants)
	if k, found := c.answers[service]; found {
		k.until = time.Time{}
		c.answers[service] = k
	}
}

// Do sends a request until its outcome is known, as far as that is safe.
// A request with Once keeps its key while it may have run, and takes a new one only when it was not run.
// Errors are ErrNoAddress, ErrRefused or ErrCut.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	var answer Answer
	var keys []string
	key := ""
	var err error
	for send := 1; send <= maxSends; send++ {
		var target string
		if target, key, err = c.aim(ctx, r, key, send); err != nil {
			return answer, err
		}
		if key != "" && (len(keys) == 0 || keys[len(keys)-1] != key) {
			keys = append(keys, key)
		}
		answer, err = c.send(ctx, r, target, key)
		answer.Keys, answer.Sends = keys, send
		if err == nil && isFinal(r, answer) {
			return answer, nil
		}
		if err != nil || answer.Status == http.StatusServiceUnavailable {
			c.forget(r.Service)
		}
		if err == nil && answer.Outcome == claim.NotRun || send == 1 && errorx.IsOfType(err, ErrRefused) {
			key = ""
		}
		if !pause(ctx, retryAfter(answer)) {
			break
		}
	}
	return answer, err
}

// isFinal reports whether there is nothing to gain from sending again.
func isFinal(r Request, a Answer) bool {
	if a.Outcome == "" || a.Outcome == claim.Ran {
		return true
	}
	if a.Outcome == claim.NotRun {
		return a.Status != http.StatusServiceUnavailable && a.Status != http.StatusConflict
	}
	return r.Once && a.Header.Get(steering.HeaderReason) == string(claim.ReasonInterrupted)
}

// aim chooses where to send, and a key for a request that has none yet.
func (c *Client) aim(ctx context.Context, r Request, key string, send int) (string, string, error) {
	answer, err := c.Addresses(ctx, r.Service)
	if err != nil {
		return "", "", err
	}
	target := answer.Addresses[(send-1)%len(answer.Addresses)].Address
	if !r.Once || key != "" {
		return target, key, nil
	}
	return target, fmt.Sprintf("%s.%s", c.grant(ctx, target, r.Service, answer.Grant), c.suffix()), nil
}

// grant returns a grant of the host that a request is sent to, so that no other host has to pass it on; or the given one
// when that host does not answer. A grant is kept for as long as an address answer.
func (c *Client) grant(ctx context.Context, target, service, other string) string {
	c.mu.Lock()
	k := c.grants[target]
	c.mu.Unlock()
	if time.Now().Before(k.until) {
		return k.Grant
	}
	own, err := c.Ask(ctx, target, service)
	if err != nil {
		return other
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants[target] = kept{own, time.Now().Add(time.Duration(own.MaxAge) * time.Second)}
	return own.Grant
}

func (c *Client) suffix() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strconv.FormatUint(c.random.Uint64(), 36)
}

func (c *Client) send(ctx context.Context, r Request, target, key string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+target+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, ErrCut.New("%v", err)
	}
	request.Header.Set(steering.HeaderDomain, c.config.Domain)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.transport.RoundTrip(request)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return Answer{}, ErrRefused.New("%s: %v; the next address is tried", target, err)
	}
	if err != nil {
		return Answer{}, ErrCut.New("%s: %v", target, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer := Answer{Status: response.StatusCode, Outcome: claim.Outcome(response.Header.Get(steering.HeaderOutcome)), Header: response.Header, Body: body}
	if err != nil {
		return answer, ErrCut.New("%s cut its answer after %d bytes: %v", target, len(body), err)
	}
	return answer, nil
}

func retryAfter(a Answer) time.Duration {
	if n, err := strconv.Atoi(a.Header.Get("Retry-After")); err == nil && n > 0 {
		return time.Duration(n) * time.Second
	}
	return resendPause
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
