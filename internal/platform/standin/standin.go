// Package standin is a small in-memory stand-in for the platform's key-value service and host list, with faults to switch on.
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

// CallKind names one kind of call that the platform counts.
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

// Faults are the failures in force; the zero value is a healthy service.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Delay holds each call back.
	Delay time.Duration
	// DropWriteResponses applies writes and drops the connection instead of answering, for so many writes.
	DropWriteResponses int
	// DelayedWrites drops the connection at once and applies the write WriteDelay afterwards, for so many writes.
	DelayedWrites int
	WriteDelay    time.Duration
	// StaleRevision serves reads as of that revision when above zero.
	StaleRevision int64
	// SuppressWatchEvents keeps watches open without telling them of changes.
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

// Server is the service's state and its HTTP handler.
type Server struct {
	mu       sync.Mutex
	revision int64
	keys     map[string][]keyVersion
	leases   map[int64]time.Time
	watches  map[*watch]bool
	hosts    []platform.ListedHost
	// hostsVersion counts the changes of the list.
	hostsVersion int64
	faults       Faults
	calls        map[CallKind]int64
	mux          *http.ServeMux
}

// New returns an empty healthy service.
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

// SetFaults replaces the faults in force.
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

// Revision returns the revision of the newest write.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// ExpireLeases ends every lease now, with the keys attached to it.
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

// versionAt returns the newest version of a key at or below a revision; revision 0 means now.
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
