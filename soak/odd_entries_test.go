package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// memoryLimit is the memory that a host may use on the platform, in KiB.
const memoryLimit = 284 << 10

// oddEntries are values of other writers among the targets. The longest have a megabyte.
func oddEntries() [][]byte {
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	entry := func(field, value string) []byte {
		return fmt.Appendf(nil, `{"service":"stock","zone":"a","slots":3,"state":"ready","address":"127.0.0.1:1",%q:%s}`, field, value)
	}
	return [][]byte{
		entry("address", `"127.0.0.1:99999"`), entry("address", `"127.0.0.1:-1"`), entry("address", `"127.0.0.1:0"`), entry("address", `"127.0.0.1"`),
		entry("address", `"127.0.0.1:80/a\r\nb"`), entry("slots", "4611686018427387904"), entry("slots", "1e400"), entry("slots", strings.Repeat("9", 1<<20)),
		entry("warmup-left-ms", "1e400"), entry("sequence", "9223372036854775808"), entry("born", `"now"`), entry("status", nested(400000)),
		entry("other", nested(500000)), entry("zone", `"`+strings.Repeat("z", 1<<20)+`"`), []byte(nested(9000)), []byte(nested(500000)),
		bytes.Repeat([]byte{0xff}, 1<<20), []byte("null"), nil,
	}
}

// TestOddEntriesEndNoHost guards against hosts that end, or stop following the store, because another writer has left odd entries
// among those of the targets.
func TestOddEntriesEndNoHost(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 3, 2)
	for range 3 {
		for i, value := range oddEntries() {
			f.store.Put(fmt.Sprintf("servers/odd-%d", i), value)
		}
		f.store.Put("servers/", []byte("{}"))
		f.store.Put("servers/a\r\nb", oddEntries()[0])
		f.store.Put("briarcroft/hosts/odd", []byte("127.0.0.1:99999"))
		f.store.Put("briarcroft/hosts/", bytes.Repeat([]byte{0xff}, 1<<20))
		f.store.Put("op/evacuate/a\nb", nil)
	}
	// A host that starts now reads all entries at once.
	f.addHost("late", "a")
	f.startProcess(f.hosts[len(f.hosts)-1])
	f.waitReady(f.hosts[len(f.hosts)-1])
	f.addTarget("new")
	f.writeConfiguration(2)
	for _, p := range f.hosts {
		f.waitServed(p, "/v2/a")
	}
	f.waitUsed(f.targets[len(f.targets)-1])
	for _, p := range f.hosts {
		select {
		case <-p.current().exited:
			log, err := os.ReadFile(f.dir + "/" + p.name + ".log")
			t.Errorf("%s has ended (%v): %.2000s", p.name, err, log)
		default:
			used, running := p.current().peakMemory()
			t.Logf("%s has used %d KiB", p.name, used)
			if !running || used > memoryLimit {
				t.Errorf("%s has used %d KiB", p.name, used)
			}
		}
	}
}

// waitServed waits until a host serves a path.
func (f *fleet) waitServed(p *process, path string) {
	var last reply
	for i, start := 0, time.Now(); time.Since(start) < waitTimeout; i++ {
		if last = f.call(p, http.MethodGet, path, fmt.Sprintf("%s-%d", p.name, i)); last.status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Errorf("%s answers %d %q (%v) after %v", p.name, last.status, last.body, last.err, waitTimeout)
}

// waitUsed sends requests until one of them has run on a backend server.
func (f *fleet) waitUsed(s *backendServer) {
	for i, start := 0, time.Now(); time.Since(start) < waitTimeout; i++ {
		id := fmt.Sprintf("used-%d", i)
		f.call(f.hosts[i%len(f.hosts)], http.MethodGet, "/lookup/a", id)
		if s.RunCount(id) > 0 {
			return
		}
	}
	f.t.Errorf("%s gets no request within %v", s.Name, waitTimeout)
}
