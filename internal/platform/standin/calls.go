package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"briarcroft/internal/platform"
)

// maxValueBytes is the size of the largest value that the store accepts.
const maxValueBytes = 1 << 20

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeResponse struct {
	KVs []keyValue `json:"kvs,omitempty"`
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Key       []byte `json:"key"`
		RangeEnd  []byte `json:"range_end"`
		Limit     int    `json:"limit"`
		SortOrder string `json:"sort_order"`
	}
	if !decodeRequest(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.endExpiredLeases()
	keys := s.keysBetween(string(request.Key), string(request.RangeEnd))
	if request.SortOrder == "DESCEND" {
		slices.Reverse(keys)
	}
	var response rangeResponse
	for _, key := range keys {
		v, found := s.versionAt(key, s.faults.StaleRevision)
		if !found {
			continue
		}
		response.KVs = append(response.KVs, keyValue{[]byte(key), v.value, v.revision})
		if request.Limit > 0 && len(response.KVs) == request.Limit {
			break
		}
	}
	s.mu.Unlock()
	writeJSON(w, response)
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
	if !decodeRequest(w, r, &request) {
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
	type operationResponse struct {
		ResponseRange *rangeResponse `json:"response_range,omitempty"`
	}
	var response struct {
		Succeeded bool                `json:"succeeded"`
		Responses []operationResponse `json:"responses"`
	}
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endExpiredLeases()
		v, found := s.versionAt(string(compare.Key), 0)
		if found && v.revision == compare.ModRevision || !found && compare.ModRevision == 0 {
			s.put(string(put.Key), put.Value, put.Lease)
			response.Succeeded = true
			return
		}
		existing := &rangeResponse{}
		if found {
			existing.KVs = []keyValue{{compare.Key, v.value, v.revision}}
		}
		response.Responses = []operationResponse{{existing}}
	}
	if s.consumeFault(func(f *Faults) *int { return &f.DelayedWrites }) {
		time.AfterFunc(s.writeDelay(), apply)
		panic(http.ErrAbortHandler)
	}
	apply()
	if s.consumeFault(func(f *Faults) *int { return &f.DropWriteResponses }) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, response)
}

// consumeFault decrements the counter of a fault and reports whether it was above zero.
func (s *Server) consumeFault(fault func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := fault(&s.faults)
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

func (s *Server) writeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.WriteDelay
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"TTL,string"`
	}
	if !decodeRequest(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = time.Now().Add(time.Duration(request.TTL) * time.Second)
	s.mu.Unlock()
	writeJSON(w, struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}{id, request.TTL})
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID int64 `json:"ID,string"`
	}
	if !decodeRequest(w, r, &request) {
		return
	}
	type result struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}
	response := struct {
		Result result `json:"result"`
	}{result{ID: request.ID}}
	s.mu.Lock()
	s.endExpiredLeases()
	if expiry, found := s.leases[request.ID]; found {
		response.Result.TTL = max(1, int64(time.Until(expiry)/time.Second))
	}
	s.mu.Unlock()
	writeJSON(w, response)
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID int64 `json:"ID,string"`
	}
	if !decodeRequest(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.endLease(request.ID)
	s.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		CreateRequest struct {
			Key      []byte `json:"key"`
			RangeEnd []byte `json:"range_end"`
		} `json:"create_request"`
	}
	if !decodeRequest(w, r, &request) {
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
		writeJSON(w, message)
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
	writeJSON(w, struct{ Hosts []platform.ListedHost }{hosts})
}
