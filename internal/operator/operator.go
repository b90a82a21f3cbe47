// Package operator asks entry hosts what they do, for operators and for the monitor.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"briarcroft/internal/address"
	"briarcroft/internal/entry"
	"briarcroft/internal/note"
	"briarcroft/internal/platform"
	"briarcroft/internal/record"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("operator").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrHostRequest reports a host that did not answer.
var ErrHostRequest = namespace.NewType("host")

// Config sets up a Client.
type Config struct {
	Hosts   []string
	Timeout time.Duration
}

// Client asks a list of entry hosts.
type Client struct {
	config     Config
	httpClient *http.Client
}

// New returns a client and the function that closes its connections.
func New(c Config) (*Client, func()) {
	transport := &http.Transport{}
	return &Client{c, &http.Client{Transport: transport, Timeout: c.Timeout}}, transport.CloseIdleConnections
}

// HostStatus is one host's answer; Error says why there is none.
type HostStatus struct {
	Address string
	Error   string `json:",omitempty"`
	Note    note.Status
	Status  entry.Status
}

// Status asks every host, at the same time.
func (c *Client) Status(ctx context.Context) []HostStatus {
	statuses := make([]HostStatus, len(c.config.Hosts))
	c.forEachHost(func(i int, host string) {
		statuses[i].Address = host
		err := c.getJSON(ctx, host, "/Note", &statuses[i].Note)
		if err == nil {
			err = c.getJSON(ctx, host, "/Status", &statuses[i].Status)
		}
		if err != nil {
			statuses[i].Error = err.Error()
		}
	})
	return statuses
}

// Explanation holds the records of all hosts, and the hosts that gave none.
type Explanation struct {
	Records []record.Record
	Missing []string
}

// Explain asks every host for the records that concern a target since a time.
func (c *Client) Explain(ctx context.Context, target string, since time.Time) Explanation {
	var mu sync.Mutex
	var e Explanation
	query := url.Values{"Target": {target}, "Since": {since.UTC().Format(time.RFC3339)}}
	c.forEachHost(func(_ int, host string) {
		var response struct{ Records []record.Record }
		err := c.getJSON(ctx, host, "/Explain?"+query.Encode(), &response)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			e.Missing = append(e.Missing, fmt.Sprintf("%s: %v", host, err))
			return
		}
		e.Records = append(e.Records, response.Records...)
	})
	record.Sort(e.Records)
	slices.Sort(e.Missing)
	return e
}

// Addresses asks the first host that answers for a service's addresses; errors are ErrHost.
func (c *Client) Addresses(ctx context.Context, service, domain string) (address.Response, error) {
	var response address.Response
	var err error
	query := url.Values{"Service": {service}, "Domain": {domain}}
	for _, host := range c.config.Hosts {
		if err = c.getJSON(ctx, host, "/Addresses?"+query.Encode(), &response); err == nil {
			return response, nil
		}
	}
	return response, err
}

// Finding is what the monitor's check found on one host.
type Finding struct {
	Address string
	Host    string
	Number  int
	Agrees  bool
	Detail  string
}

// Verification is the monitor's check of the chain and of every host.
type Verification struct {
	Number   int
	Hash     string
	Chain    string
	Findings []Finding
}

// Agrees reports whether the chain is whole and every host has its head in force.
func (v Verification) Agrees() bool {
	return v.Chain == "" && !slices.ContainsFunc(v.Findings, func(f Finding) bool { return !f.Agrees })
}

// Verify walks the chain in the store from the first note and compares every host's answer with its head.
// Errors are platform.ErrUnavailable.
func Verify(ctx context.Context, store platform.Store, hosts []HostStatus) (Verification, error) {
	head, hashes, err := note.NewArchive(note.ArchiveConfig{Store: store}).Walk(ctx)
	if errorx.IsOfType(err, platform.ErrUnavailable) {
		return Verification{}, err
	}
	v := Verification{Number: head.Number, Hash: head.Hash()}
	if err != nil {
		v.Chain = err.Error()
	}
	for _, s := range hosts {
		v.Findings = append(v.Findings, compareHost(s, head, hashes))
	}
	return v, nil
}

// VerifyConfiguration compares every host's answer with the configuration that the users' platform holds as the newest.
func VerifyConfiguration(newest note.Configuration, hosts []HostStatus) Verification {
	v := Verification{Number: newest.Number, Hash: newest.Hash()}
	for _, s := range hosts {
		f := Finding{Address: s.Address, Host: s.Note.Host, Number: s.Note.Number}
		switch {
		case s.Error != "":
			f.Detail = "did not answer: " + s.Error
		case s.Note.Number != newest.Number:
			f.Detail = fmt.Sprintf("has note %d in force; the newest is %d", s.Note.Number, newest.Number)
		case s.Note.Configuration != v.Hash:
			f.Detail = "has another configuration of that number in force"
		default:
			f.Agrees = true
		}
		v.Findings = append(v.Findings, f)
	}
	return v
}

// compareHost checks one host's note against the chain.
func compareHost(s HostStatus, head note.Record, hashes map[int]string) Finding {
	f := Finding{Address: s.Address, Host: s.Note.Host, Number: s.Note.Number}
	hash, inChain := hashes[s.Note.Number]
	switch {
	case s.Error != "":
		f.Detail = "did not answer: " + s.Error
	case !inChain && s.Note.Number != 0:
		f.Detail = fmt.Sprintf("has note %d in force, which the chain does not hold", s.Note.Number)
	case hash != s.Note.Hash && s.Note.Number != 0:
		f.Detail = fmt.Sprintf("has another note %d in force than the chain", s.Note.Number)
	case s.Note.Number != head.Number:
		f.Detail = fmt.Sprintf("has note %d in force; the newest is %d", s.Note.Number, head.Number)
	case s.Note.Configuration != head.Configuration:
		f.Detail = "folded the notes to another configuration"
	default:
		f.Agrees = true
	}
	return f
}

func (c *Client) forEachHost(fn func(i int, host string)) {
	var group sync.WaitGroup
	for i, host := range c.config.Hosts {
		group.Go(func() { fn(i, host) })
	}
	group.Wait()
}

func (c *Client) getJSON(ctx context.Context, host, path string, value any) error {
	if !strings.Contains(host, "://") {
		host = "http://" + host
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, host+path, nil)
	if err != nil {
		return ErrHostRequest.New("%v; write the host as IP:PORT", err)
	}
	response, err := c.httpClient.Do(r)
	if err != nil {
		return ErrHostRequest.New("%v; check that the host runs", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return ErrHostRequest.New("answered %s %s", response.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return ErrHostRequest.New("answer cannot be read: %v", err)
	}
	return nil
}
