// Package operator queries the status and the event records of entry hosts and checks which release note each has in
// force, for the commands of operators and of a monitor. A release note, or note for short, is one revision of the
// configuration; the store holds the chain of all accepted notes, linked by hashes.
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
	"briarcroft/internal/quota"
	"briarcroft/internal/record"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("operator").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrHostRequest reports a request to an entry host that got no usable response.
var ErrHostRequest = namespace.NewType("host")

// Config sets up a Client.
type Config struct {
	// Hosts are addresses of entry hosts, as IP:PORT or as URL.
	Hosts []string
	// Timeout limits each request.
	Timeout time.Duration
}

// Client sends requests to a list of entry hosts.
type Client struct {
	config     Config
	httpClient *http.Client
}

// New returns a client and the function that closes its connections.
func New(c Config) (*Client, func()) {
	transport := &http.Transport{}
	return &Client{c, &http.Client{Transport: transport, Timeout: c.Timeout}}, transport.CloseIdleConnections
}

// HostStatus is the status of one host, from its endpoints /Note and /Status. Error says why it could not be read.
type HostStatus struct {
	Address string
	Error   string `json:",omitempty"`
	Note    note.Status
	Status  entry.Status
}

// Status returns the status of every host, in the order of Config.Hosts; it queries them concurrently.
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

// Explanation holds event records, which say what changed in the routing of requests, when and why.
type Explanation struct {
	// Records are the records of all hosts, oldest first.
	Records []record.Record
	// Missing lists the hosts whose records could not be read, each as "host: error".
	Missing []string
}

// Explain returns the records of every host, from the given time on, that concern a target or all targets. The time is
// truncated to seconds. An empty target selects all records.
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

// AccountCounts is what one host says of the allowance of an account.
type AccountCounts struct {
	// Address is the address that was queried. Error is set if the host has not answered.
	Address string
	quota.AccountState
	Error string `json:",omitempty"`
}

// Account returns what every host says of the allowance of an account, in the order of Config.Hosts.
func (c *Client) Account(ctx context.Context, account string) []AccountCounts {
	counts := make([]AccountCounts, len(c.config.Hosts))
	query := url.Values{"Account": {account}}
	c.forEachHost(func(i int, host string) {
		counts[i].Address = host
		if err := c.getJSON(ctx, host, "/Allowance?"+query.Encode(), &counts[i].AccountState); err != nil {
			counts[i].Error = err.Error()
		}
	})
	return counts
}

// Addresses returns the response of the first host that answers GET /Addresses for a service and a caller's failure
// domain. Errors are ErrHostRequest.
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

// Finding is the result of a verification for one host.
type Finding struct {
	// Address is the address that was queried, and Host the name of the host there.
	Address string
	Host    string
	// Number is the number of the note that the host has in force; 0 means none.
	Number int
	// Agrees is set if the host has the newest note and its configuration in force; otherwise Detail says what differs.
	Agrees bool
	Detail string
}

// Verification is the result of comparing the notes in the store with the hosts.
type Verification struct {
	// Number is the number of the newest note. If the chain is broken, it is that of the last note before the break.
	Number int
	// Hash is the hash of that note's record; from VerifyConfiguration it is the hash of the configuration.
	Hash string
	// Chain says where and how the chain of notes is broken; it is empty if the chain is intact.
	Chain    string
	Findings []Finding
}

// Agrees reports whether the chain is intact and every host has its newest note in force.
func (v Verification) Agrees() bool {
	return v.Chain == "" && !slices.ContainsFunc(v.Findings, func(f Finding) bool { return !f.Agrees })
}

// Verify verifies the chain of notes in the store from the first note on and compares the status of every host with its
// head, the newest note. Errors are platform.ErrUnavailable; a broken chain is not an error but part of the result.
func Verify(ctx context.Context, store platform.Store, hosts []HostStatus) (Verification, error) {
	head, hashes, err := note.NewArchive(note.ArchiveConfig{Store: store}).Verify(ctx)
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

// VerifyConfiguration compares the status of every host with the newest configuration in the store. It is for the
// users' platform, whose store keeps no chain of notes.
func VerifyConfiguration(newest note.Configuration, hosts []HostStatus) Verification {
	v := Verification{Number: newest.Number, Hash: newest.Hash()}
	for _, s := range hosts {
		f := Finding{Address: s.Address, Host: s.Note.Host, Number: s.Note.Number}
		switch {
		case s.Error != "":
			f.Detail = "status could not be read: " + s.Error
		case s.Note.Number != newest.Number:
			f.Detail = fmt.Sprintf("has note %d in force; the newest is %d", s.Note.Number, newest.Number)
		case s.Note.Configuration != v.Hash:
			f.Detail = "has a configuration with that number in force that differs from the one in the store"
		default:
			f.Agrees = true
		}
		v.Findings = append(v.Findings, f)
	}
	return v
}

// compareHost compares the note that a host has in force with the chain: head is the newest record, and hashes holds
// the hash of each record by its number.
func compareHost(s HostStatus, head note.Record, hashes map[int]string) Finding {
	f := Finding{Address: s.Address, Host: s.Note.Host, Number: s.Note.Number}
	hash, inChain := hashes[s.Note.Number]
	switch {
	case s.Error != "":
		f.Detail = "status could not be read: " + s.Error
	case !inChain && s.Note.Number != 0:
		f.Detail = fmt.Sprintf("has note %d in force, which the chain does not hold", s.Note.Number)
	case hash != s.Note.Hash && s.Note.Number != 0:
		f.Detail = fmt.Sprintf("has a note %d in force that differs from the one in the chain", s.Note.Number)
	case s.Note.Number != head.Number:
		f.Detail = fmt.Sprintf("has note %d in force; the newest is %d", s.Note.Number, head.Number)
	case s.Note.Configuration != head.Configuration:
		f.Detail = "applied the notes of the chain, but its configuration differs from the one that the chain leads to"
	default:
		f.Agrees = true
	}
	return f
}

// forEachHost calls a function for every host, concurrently, and waits until all calls have returned.
func (c *Client) forEachHost(fn func(i int, host string)) {
	var group sync.WaitGroup
	for i, host := range c.config.Hosts {
		group.Go(func() { fn(i, host) })
	}
	group.Wait()
}

// getJSON sends a GET request to a host and decodes the JSON body of the response into value; errors are
// ErrHostRequest.
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
		body, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return ErrHostRequest.New("the host responded with %s %s", response.Status, strings.TrimSpace(string(body)))
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return ErrHostRequest.New("cannot decode the response of the host: %v", err)
	}
	return nil
}
