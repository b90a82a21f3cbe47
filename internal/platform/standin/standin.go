// Package standin provides an in-memory stand-in, for tests and demos, of the platform's key-value store and host
// list. Tests can make it fail in several ways.
package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"briarcroft/internal/platform"
)

// CallKind is a kind of call; Server.Calls counts calls by kind.
type CallKind string

// The kinds of call.
const (
	CallRange     CallKind = "Range"
	CallTxn       CallKind = "Txn"
	CallGrant     CallKind = "Grant"
	CallKeepAlive CallKind = "KeepAlive"
	CallRevoke    CallKind = "Revoke"
	CallWatch     CallKind = "Watch"
	CallHosts     CallKind = "Hosts"
)

// Faults selects how a Server fails; the zero value is a healthy server.
type Faults struct {
	// Down refuses every call with status 503.
	Down bool
	// Delay is how long each call waits before it is handled.
	Delay time.Duration
	// DropWriteResponses is the number of writes that are applied without a response: the connection is closed instead.
	DropWriteResponses int
	// DelayedWrites is the number of writes that are applied only after WriteDelay; the connection is closed at once.
	DelayedWrites int
	// WriteDelay is the delay of DelayedWrites.
	WriteDelay time.Duration
	// StaleRevision, if above zero, makes reads return the entries as they were at that revision.
	StaleRevision int64
	// SuppressWatchEvents keeps watches open without sending changes to them.
	SuppressWatchEvents bool
}

type keyVersion struct {
	revision int64
	value    []byte
	lease    int64
	deleted  bool
}

type watch struct {
	start, end string
	events     chan platform.Entry
}

// Server is the HTTP handler of the key-value store and the host list. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	revision int64
	keys     map[string][]keyVersion
	leases   map[int64]time.Time
	watches  map[*watch]bool
	hosts    []platform.ListedHost
	// hostsVersion counts the changes of the host list; it is the list's ETag.
	hostsVersion int64
	faults       Faults
	calls        map[CallKind]int64
	mux          *http.ServeMux
}

// New returns an empty server without faults.
func New() *Server {
	s := &Server{
		keys: map[string][]keyVersion{}, leases: map[int64]time.Time{}, watches: map[*watch]bool{},
		calls: map[CallKind]int64{}, mux: http.NewServeMux(),
	}
	s.handle("POST /v3/kv/range", CallRange, s.serveRange)
	s.handle("POST /v3/kv/txn", CallTxn, s.serveTxn)
	s.handle("POST /v3/lease/grant", CallGrant, s.serveGrant)
	s.handle("POST /v3/lease/keepalive", CallKeepAlive, s.serveKeepAlive)
	s.handle("POST /v3/lease/revoke", CallRevoke, s.serveRevoke)
	s.handle("POST /v3/watch", CallWatch, s.serveWatch)
	s.handle("GET /Hosts", CallHosts, s.serveHosts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(hosts []platform.ListedHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
	s.hostsVersion++
}

// Calls returns the number of calls of each kind so far.
func (s *Server) Calls() map[CallKind]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[CallKind]int64{}
	for call, n := range s.calls {
		counts[call] = n
	}
	return counts
}

// Revision returns the store's present revision, which increases with every write, removal and lease.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// ExpireLeases ends every lease now and removes the keys that were written with one.
func (s *Server) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

func (s *Server) handle(pattern string, call CallKind, handler http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[call]++
		faults := s.faults
		s.mu.Unlock()
		if faults.Delay > 0 {
			select {
			case <-time.After(faults.Delay):
			case <-r.Context().Done():
				return
			}
		}
		if faults.Down {
			http.Error(w, "service is down", http.StatusServiceUnavailable)
			return
		}
		handler(w, r)
	})
}

func (s *Server) endLease(id int64) {
	delete(s.leases, id)
	for key, versions := range s.keys {
		if last := versions[len(versions)-1]; last.lease == id && !last.deleted {
			s.revision++
			s.keys[key] = append(versions, keyVersion{revision: s.revision, deleted: true})
		}
	}
}

func (s *Server) endExpiredLeases() {
	now := time.Now()
	for id, expiry := range s.leases {
		if now.After(expiry) {
			s.endLease(id)
		}
	}
}

// versionAt returns the newest version of a key at a revision; revision 0 means the present one. It returns false if
// the key did not exist then.
func (s *Server) versionAt(key string, revision int64) (keyVersion, bool) {
	versions := s.keys[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if revision == 0 || versions[i].revision <= revision {
			return versions[i], !versions[i].deleted
		}
	}
	return keyVersion{}, false
}

func (s *Server) put(key string, value []byte, lease int64) {
	s.revision++
	s.keys[key] = append(s.keys[key], keyVersion{revision: s.revision, value: value, lease: lease})
	if s.faults.SuppressWatchEvents {
		return
	}
	for w := range s.watches {
		if key < w.start || key >= w.end {
			continue
		}
		select {
		case w.events <- platform.Entry{Key: key, Value: value, Revision: s.revision}:
		default:
			delete(s.watches, w)
			close(w.events)
		}
	}
}

func (s *Server) keysBetween(start, end string) []string {
	var keys []string
	for key := range s.keys {
		if key == start || (end != "" && key >= start && key < end) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func writeJSON(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(response); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func decodeRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20)).Decode(request); err != nil {
		http.Error(w, "request is not valid JSON: "+strings.TrimSpace(err.Error()), http.StatusBadRequest)
		return false
	}
	return true
}
