package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"briarcroft/internal/platform"
)

// maxValueBytes is the largest value that the service takes.
const maxValueBytes = 1 << 20

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeAnswer struct {
	KVs []keyValue `json:"kvs,omitempty"`
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Key       []byte `json:"key"`
		RangeEnd  []byte `json:"range_end"`
		Limit     int    `json:"limit"`
		SortOrder string `json:"sort_order"`
	}
	if !read(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.endExpiredLeases()
	keys := s.keysBetween(string(request.Key), string(request.RangeEnd))
	if request.SortOrder == "DESCEND" {
		slices.Reverse(keys)
	}
	var answer rangeAnswer
	for _, key := range keys {
		v, found := s.current(key, s.faults.StaleRevision)
		if !found {
			continue
		}
		answer.KVs = append(answer.KVs, keyValue{[]byte(key), v.value, v.revision})
		if request.Limit > 0 && len(answer.KVs) == request.Limit {
			break
		}
	}
	s.mu.Unlock()
	reply(w, answer)
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Compare []struct {
			Key         []byte `json:"key"`
			ModRevision int64  `json:"mod_revision,string"`
		} `json:"compare"`
		Success []struct {
			RequestPut struct {
				Key   []byte `json:"key"`
				Value []byte `json:"value"`
				Lease int64  `json:"lease,string"`
			} `json:"request_put"`
		} `json:"success"`
	}
	if !read(w, r, &request) {
		return
	}
	if len(request.Compare) != 1 || len(request.Success) != 1 {
		http.Error(w, "the stand-in takes one comparison and one put", http.StatusBadRequest)
		return
	}
	compare, put := request.Compare[0], request.Success[0].RequestPut
	if len(put.Value) > maxValueBytes {
		http.Error(w, "value is above one megabyte", http.StatusBadRequest)
		return
	}
	type response struct {
		ResponseRange *rangeAnswer `json:"response_range,omitempty"`
	}
	var answer struct {
		Succeeded bool       `json:"succeeded"`
		Responses []response `json:"responses"`
	}
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endExpiredLeases()
		v, found := s.current(string(compare.Key), 0)
		if found && v.revision == compare.ModRevision || !found && compare.ModRevision == 0 {
			s.put(string(put.Key), put.Value, put.Lease)
			answer.Succeeded = true
			return
		}
		existing := &rangeAnswer{}
		if found {
			existing.KVs = []keyValue{{compare.Key, v.value, v.revision}}
		}
		answer.Responses = []response{{existing}}
	}
	if s.spend(func(f *Faults) *int { return &f.DelayedWrites }) {
		time.AfterFunc(s.lateBy(), apply)
		panic(http.ErrAbortHandler)
	}
	apply()
	if s.spend(func(f *Faults) *int { return &f.DropWriteResponses }) {
		panic(http.ErrAbortHandler)
	}
	reply(w, answer)
}

// spend uses up one of a counted fault and reports whether there was one.
func (s *Server) spend(fault func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := fault(&s.faults)
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (s *Server) lateBy() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.WriteDelay
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"TTL,string"`
	}
	if !read(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = time.Now().Add(time.Duration(request.TTL) * time.Second)
	s.mu.Unlock()
	reply(w, struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}{id, request.TTL})
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID int64 `json:"ID,string"`
	}
	if !read(w, r, &request) {
		return
	}
	type result struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}
	answer := struct {
		Result result `json:"result"`
	}{result{ID: request.ID}}
	s.mu.Lock()
	s.endExpiredLeases()
	if until, held := s.leases[request.ID]; held {
		answer.Result.TTL = max(1, int64(time.Until(until)/time.Second))
	}
	s.mu.Unlock()
	reply(w, answer)
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID int64 `json:"ID,string"`
	}
	if !read(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.endLease(request.ID)
	s.mu.Unlock()
	reply(w, struct{}{})
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		CreateRequest struct {
			Key      []byte `json:"key"`
			RangeEnd []byte `json:"range_end"`
		} `json:"create_request"`
	}
	if !read(w, r, &request) {
		return
	}
	watcher := &watch{string(request.CreateRequest.Key), string(request.CreateRequest.RangeEnd), make(chan platform.Entry, 256)}
	s.mu.Lock()
	s.watches[watcher] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watches, watcher)
		s.mu.Unlock()
	}()
	type event struct {
		KV keyValue `json:"kv"`
	}
	type result struct {
		Events []event `json:"events,omitempty"`
	}
	message := struct {
		Result result `json:"result"`
	}{}
	flusher := http.NewResponseController(w)
	for {
		reply(w, message)
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case entry, open := <-watcher.events:
			if !open {
				return
			}
			message.Result.Events = []event{{keyValue{[]byte(entry.Key), entry.Value, entry.Revision}}}
		}
	}
}

func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	hosts := slices.Clone(s.hosts)
	etag := strconv.Quote(strconv.FormatInt(s.hostsVersion, 10))
	s.mu.Unlock()
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	reply(w, struct{ Hosts []platform.ListedHost }{hosts})
}
