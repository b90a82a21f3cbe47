package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/note"
	"briarcroft/platform/standin"

	"github.com/rs/zerolog"
)

// logBuffer keeps what is written to a log. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what was written.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func publicRule(name, prefix string) rule {
	r := safeRule(name, prefix)
	r["public"] = true
	return r
}

// withAccounts runs a test with a fleet whose configuration has a public rule and the accounts north (keys n1 and n2) and south
// (key s1).
func withAccounts(t *testing.T, hosts int, run func(f *fleet)) {
	withFleet(t, hosts, 2, func(f *fleet) {
		f.tenants = []tenant{
			{"name": "north", "api-keys": []string{"n1", "n2"}, "priority": 1, "rate-per-s": 40, "burst": 40},
			{"name": "south", "api-keys": []string{"s1"}, "priority": 2, "rate-per-s": 10.5, "burst": 11},
		}
		f.configureAccounts(2)
		time.Sleep(configurationBound)
		run(f)
	})
}

// configureAccounts writes a configuration with the accounts in f.tenants.
func (f *fleet) configureAccounts(version int) {
	f.configure(version, safeRule("lookup", "/lookup/"), unsafeRule("order", "/order/"), publicRule("open", "/open/"))
}

// callWithKeys sends one request with header fields for the key and for the account.
func (f *fleet) callWithKeys(host, path, id string, keys ...string) reply {
	return f.callWith("caller", host, http.MethodGet, path, id, http.Header{"X-Credential": keys, "X-Tenant": {"forged"}})
}

// lastHeader returns the values of a header field in the request with an attempt ID, which was the last one of its target.
func (f *fleet) lastHeader(id, name string) []string {
	var values []string
	for _, t := range f.targets {
		t.Update(func(t *standin.Target) {
			if t.LastHeader.Get("X-Attempt-Id") == id {
				values = t.LastHeader.Values(name)
			}
		})
	}
	return values
}

// TestRequestsNeedKeys guards against requests that run without a key of an account, and against keys and forged account names
// that reach a target.
func TestRequestsNeedKeys(t *testing.T) {
	withAccounts(t, 3, func(f *fleet) {
		for i, c := range []struct {
			path    string
			keys    []string
			status  int
			account []string
		}{
			{"/lookup/1", []string{"n1"}, 200, []string{"north"}},
			{"/lookup/1", []string{"n2"}, 200, []string{"north"}},
			{"/lookup/1", []string{"s1"}, 200, []string{"south"}},
			{"/open/1", []string{"n1"}, 200, nil},
			{"/open/1", []string{"unknown"}, 200, nil},
			{"/open/1", nil, 200, nil},
			{"/nowhere/1", nil, 404, nil},
			{"/lookup/1", nil, 401, nil},
			{"/lookup/1", []string{""}, 401, nil},
			{"/lookup/1", []string{"N1"}, 401, nil},
			{"/lookup/1", []string{"n1", "n1"}, 401, nil},
			{"/lookup/1", []string{"n1, n1"}, 401, nil},
			{"/lookup/1", []string{"Bearer n1"}, 401, nil},
			{"/lookup/1", []string{strings.Repeat("n", 2000)}, 401, nil},
		} {
			for name := range f.hosts {
				id := fmt.Sprintf("a%d-%s", i, name)
				r := f.callWithKeys(name, c.path, id, c.keys...)
				f.is.NoErr(r.err)
				f.is.Equal(r.status, c.status)
				f.is.Equal(f.lastHeader(id, "X-Tenant"), c.account)
				f.is.Equal(f.lastHeader(id, "X-Credential"), nil)
				if c.status == 401 {
					f.is.Equal(r.header.Get("Briarcroft-Reason"), "UnknownKey")
					f.is.Equal(f.arrivalsOf(id), 0)
				}
			}
		}
	})
}

// TestEmptyListTakesKeysAway guards against hosts that ask for no key after all accounts have been taken away.
func TestEmptyListTakesKeysAway(t *testing.T) {
	withAccounts(t, 3, func(f *fleet) {
		f.tenants = []tenant{}
		f.configureAccounts(3)
		time.Sleep(configurationBound)
		expect := func(version int, path string, status int, keys ...string) {
			for name := range f.hosts {
				id := fmt.Sprintf("%s%s-%d-%v", name, path, version, keys)
				f.is.Equal(f.callWithKeys(name, path, id, keys...).status, status)
				f.is.Equal(f.lastHeader(id, "X-Credential"), nil)
			}
		}
		expect(3, "/lookup/1", 401, "n1")
		expect(3, "/lookup/1", 401)
		expect(3, "/open/1", 200, "n1")

		// What is no list changes nothing.
		f.store.Put("op/config", []byte(`{"version":"4","tenants":null}`))
		time.Sleep(configurationBound)
		f.is.Equal(f.hosts["h0"].gateway.NoteNumber(), 3)
		expect(4, "/lookup/1", 401, "n1")

		f.tenants = []tenant{{"name": "north", "api-keys": []string{"n1"}}, {"name": "south", "api-keys": []string{}}, {"name": "east"}}
		f.configureAccounts(5)
		time.Sleep(configurationBound)
		expect(5, "/lookup/1", 200, "n1")
		expect(5, "/lookup/1", 401, "s1")

		// A version without the list asks for no keys.
		f.tenants = nil
		f.configureAccounts(6)
		time.Sleep(configurationBound)
		f.is.Equal(f.callWithKeys("h0", "/lookup/1", "none").status, 200)
	})
}

// TestEmptyListBindsAnyHost guards against hosts that ask for no key under an empty list because they have not seen the accounts before it:
// after a version without accounts, and from their start. A request that waits for a target when the list is emptied must not run.
func TestEmptyListBindsAnyHost(t *testing.T) {
	withAccounts(t, 2, func(f *fleet) {
		for i, tenants := range [][]tenant{nil, {}, nil, {}} {
			version := 3 + i
			f.tenants = tenants
			f.configureAccounts(version)
			time.Sleep(configurationBound)
			status := map[bool]int{true: 200, false: 401}[tenants == nil]
			for _, host := range []string{"h0", "h1"} {
				f.is.Equal(f.callWithKeys(host, "/lookup/1", fmt.Sprint(host, version), "n1").status, status)
			}
		}
		f.crash("h1")
		f.start("h1", "b")
		f.start("h2", "c")
		time.Sleep(4 * time.Second)
		for _, host := range []string{"h1", "h2"} {
			f.is.Equal(f.callWithKeys(host, "/lookup/1", "started-"+host, "n1").status, 401)
		}

		f.tenants = []tenant{{"name": "north", "api-keys": []string{"n1"}}}
		f.configureAccounts(7)
		time.Sleep(configurationBound)
		f.slowTargets(300 * time.Millisecond)
		for i := range 6 {
			go func() { f.callWithKeys("h0", "/lookup/1", fmt.Sprint("busy-", i), "n1") }()
		}
		time.Sleep(50 * time.Millisecond)
		waiting := make(chan reply, 1)
		go func() { waiting <- f.callWithKeys("h0", "/lookup/1", "waiting", "n1") }()
		time.Sleep(50 * time.Millisecond)
		f.tenants = []tenant{}
		f.configureAccounts(8)
		r := <-waiting
		f.is.Equal(r.status, 401)
		f.is.Equal(f.arrivalsOf("waiting"), 0)
		time.Sleep(time.Second)
	})
}

// TestFieldsPassWithoutAccounts guards against changing the header fields of deployments that have no accounts.
func TestFieldsPassWithoutAccounts(t *testing.T) {
	withFleet(t, 1, 1, func(f *fleet) {
		f.is.Equal(f.callWithKeys("h0", "/lookup/1", "plain", "some key").status, 200)
		f.is.Equal(f.lastHeader("plain", "X-Credential"), []string{"some key"})
		f.is.Equal(f.lastHeader("plain", "X-Tenant"), []string{"forged"})
	})
}

// TestKeysAreRotated guards against refusing callers while an account's key is replaced: the new key is added, callers change to
// it, and then the old one is withdrawn.
func TestKeysAreRotated(t *testing.T) {
	withAccounts(t, 5, func(f *fleet) {
		expect := func(key string, status int) {
			for name := range f.hosts {
				f.is.Equal(f.callWithKeys(name, "/lookup/1", fmt.Sprintf("%s-%s-%d", key, name, time.Now().UnixNano()), key).status, status)
			}
		}
		f.tenants[1]["api-keys"] = []string{"s1", "s2"}
		f.configureAccounts(3)
		expect("s1", 200)
		time.Sleep(configurationBound)
		expect("s1", 200)
		expect("s2", 200)
		f.tenants[1]["api-keys"] = []string{"s2"}
		f.configureAccounts(4)
		time.Sleep(configurationBound)
		expect("s1", 401)
		expect("s2", 200)
		// A malformed configuration changes nothing.
		f.tenants = append(f.tenants, tenant{"name": "thief", "api-keys": []string{"s2"}})
		f.configureAccounts(5)
		time.Sleep(configurationBound)
		expect("s2", 200)
	})
}

// TestUnknownKeyOfHostOutOfTouch guards against refusing a new key for good on a host that has not heard of it: the answer is 503
// with a time to return, and the known keys go on.
func TestUnknownKeyOfHostOutOfTouch(t *testing.T) {
	withAccounts(t, 3, func(f *fleet) {
		f.net.Partition("h1", "store")
		f.net.Partition("h1", "h0")
		f.net.Partition("h1", "h2")
		time.Sleep(3 * time.Second)
		f.tenants[0]["api-keys"] = []string{"n1", "n3"}
		f.configureAccounts(3)
		time.Sleep(configurationBound)
		r := f.callWithKeys("h1", "/lookup/1", "new", "n3")
		f.is.Equal(r.status, 503)
		f.is.Equal(r.header.Get("Briarcroft-Reason"), "ConfigurationTooOld")
		f.is.True(r.header.Get("Retry-After") != "")
		f.is.Equal(f.arrivalsOf("new"), 0)
		f.is.Equal(f.callWithKeys("h1", "/lookup/1", "missing").status, 401)
		f.is.Equal(f.callWithKeys("h0", "/lookup/1", "in touch", "n3").status, 200)
		f.is.Equal(f.callWithKeys("h1", "/lookup/1", "known", "n1").status, 200)
	})
}

// TestKeysAreNotLogged guards against keys in the log, which holds all records too, also those of configurations that were refused.
func TestKeysAreNotLogged(t *testing.T) {
	withAccounts(t, 2, func(f *fleet) {
		var log logBuffer
		f.logger = zerolog.New(&log)
		f.start("h2", "c")
		time.Sleep(2 * time.Second)
		secret, stray := "s3cret-of-south", "s3cret-of-nobody"
		f.tenants[1]["api-keys"] = []string{"s1", secret}
		f.configureAccounts(3)
		time.Sleep(configurationBound)
		f.is.Equal(f.callWithKeys("h2", "/lookup/1", "known", secret).status, 200)
		f.is.Equal(f.callWithKeys("h2", "/lookup/1", "stray", stray).status, 401)
		f.tenants = append(f.tenants, tenant{"name": "thief", "api-keys": []string{secret}})
		f.configureAccounts(4)
		f.store.Put("op/config", []byte(`{"version":"5","tenants":[{"name":"x","api-keys":"`+secret+`"}]}`))
		f.store.Put("op/config", []byte(`{"version":"6","tenants":[{"name":"x","api-keys":["`+secret))
		time.Sleep(configurationBound)
		f.is.True(!strings.Contains(log.String(), "s3cret"))
		f.is.True(strings.Contains(log.String(), `"Account":"south"`))
		f.is.True(strings.Contains(log.String(), `"KeyFingerprint":"`+note.Fingerprint(stray)+`"`))
		f.is.True(strings.Contains(log.String(), `Account \"south\" and Account \"thief\" share the key with the fingerprint `+note.Fingerprint(secret)))
	})
}

// TestManyAccounts guards against a configuration of 10,000 accounts that is late, or that makes each change of a target expensive.
func TestManyAccounts(t *testing.T) {
	withFleet(t, 5, 2, func(f *fleet) {
		for i := range 10_000 {
			f.tenants = append(f.tenants, tenant{"name": fmt.Sprint("a", i), "api-keys": []string{fmt.Sprint("k", i)}, "priority": i % 3, "rate-per-s": 20, "burst": 20})
		}
		size := f.configure(2, safeRule("lookup", "/lookup/"))
		time.Sleep(configurationBound)
		for name := range f.hosts {
			f.is.Equal(f.callWithKeys(name, "/lookup/1", "many-"+name, "k9999").status, 200)
		}
		t.Logf("configuration of %d bytes", size)
	})
}
