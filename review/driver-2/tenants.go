//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["last-tenant"] = playLastTenant
	cases["tenant-header"] = playTenantHeader
}

// strict are the settings of an installation with tenants whose keys bind strictly.
var strict = map[string]string{
	"bounds.strict-revocation": "true", "bounds.revoke-ms": "5000", "bounds.quota-window-s": "5", "bounds.quota-overage": "0.1", "bounds.quota-slack": "20",
	"bounds.warmup-overage": "1.5", "bounds.warmup-slack": "8",
}

// revoke is revoke-ms of these settings.
const revoke = 5 * time.Second

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api-keys": append([]string{}, keys...), "priority": 0, "rate-per-s": 107, "burst": 107}
}

// startTenants starts a deployment with two tenants.
func startTenants(rec *recorder, root string) (*fleet, []map[string]any, error) {
	f, err := newFleet(rec, root, strict, "a", "b")
	if err != nil {
		return f, nil, err
	}
	routes := []map[string]any{route("port", "port.example", "/port/", "unsafe", "portdesk", 3000, 400, 2)}
	f.store.put("op/config", config(12, routes, []map[string]any{service("portdesk")}, []map[string]any{tenant("carrier-1", "key-of-carrier-1"), tenant("carrier-2", "key-of-carrier-2")}))
	for i, zone := range []string{"a", "b"} {
		if _, err := f.addTarget(fmt.Sprintf("i-portdesk%d", i+1), "portdesk", zone, 4, func(*http.Request) time.Duration { return 50 * time.Millisecond }); err != nil {
			return f, nil, err
		}
	}
	return f, routes, f.startAll()
}

// run returns the header with which an attempt ran, or nil if it did not run.
func (f *fleet) run(id string) http.Header {
	for _, t := range f.targets {
		t.mu.Lock()
		h := t.heads[id]
		t.mu.Unlock()
		if h != nil {
			return h
		}
	}
	return nil
}

// playLastTenant takes away all keys with a version that lists no tenants, while clients go on sending.
func playLastTenant(rec *recorder, root string, trouble bool) (int, error) {
	f, routes, err := startTenants(rec, root)
	defer f.close()
	if err != nil {
		return 0, err
	}
	send := func(i int) {
		n := i%2 + 1
		f.send(f.hosts[i%len(f.hosts)], attempt{
			id: fmt.Sprintf("order-%d", i), method: "POST", host: "port.example", uri: fmt.Sprintf("/port/%d", i), timeout: 3 * time.Second,
			header: []string{fmt.Sprintf("X-Credential: key-of-carrier-%d", n)}, body: "number",
		})
	}
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() { send(i) })
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	left := []map[string]any{tenant("carrier-1", "key-of-carrier-1"), tenant("carrier-2", "key-of-carrier-2")}
	if trouble {
		left = []map[string]any{}
	}
	ack := f.store.put("op/config", config(15, routes, []map[string]any{service("portdesk")}, left))
	f.rec.add("the store has accepted version 0000000f, which lists %d tenants", len(left))
	breaks := 0
	for i := 100; time.Since(ack) < 9*time.Second; i++ {
		sent := time.Since(ack)
		send(i)
		head := f.run(fmt.Sprintf("order-%d", i))
		switch {
		case head == nil || sent <= revoke || !trouble:
		default:
			f.rec.add("CONFIG: order-%d was sent %d ms after the ack of the version that took its key away, and has run; the target got X-Tenant %q and X-Credential %q",
				i, sent.Milliseconds(), head.Get("X-Tenant"), head.Get("X-Credential"))
			breaks++
		}
		time.Sleep(200 * time.Millisecond)
	}
	// Besides, a key that no config ever held; its run is recorded and not counted here.
	f.send(f.hosts[0], attempt{id: "unknown-key", method: "POST", host: "port.example", uri: "/port/unknown", timeout: 3 * time.Second, header: []string{"X-Credential: no-key-at-all"}, body: "number"})
	f.rec.add("unknown-key has run: %v (ROUTE: no config ever held its key)", f.run("unknown-key") != nil)
	return breaks, nil
}

// playTenantHeader has a client name the header field of the tenant among those of its connection.
func playTenantHeader(rec *recorder, root string, trouble bool) (int, error) {
	f, _, err := startTenants(rec, root)
	defer f.close()
	if err != nil {
		return 0, err
	}
	breaks := 0
	for i := range 20 {
		a := attempt{
			id: fmt.Sprintf("order-%d", i), method: "POST", host: "port.example", uri: fmt.Sprintf("/port/%d", i), timeout: 3 * time.Second,
			header: []string{"X-Credential: key-of-carrier-1"}, body: "number",
		}
		if trouble {
			a.header = append(a.header, "X-Tenant: carrier-2", "Connection: X-Tenant")
		}
		f.send(f.hosts[i%len(f.hosts)], a)
		if head := f.run(a.id); head != nil && head.Get("X-Tenant") != "carrier-1" {
			f.rec.add("UNASKED: %s has the key of carrier-1 and has run with X-Tenant %q", a.id, head.Get("X-Tenant"))
			breaks++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return breaks, nil
}
