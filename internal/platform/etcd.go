package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// maxResponseBytes limits the size of one response of the store or of the host list; one value has at most 1 MB.
const maxResponseBytes = 64 << 20

// Etcd is a client of etcd, or of a store with the same protocol; it implements Store through etcd's v3 JSON gateway.
type Etcd struct {
	url     string
	timeout time.Duration
	client  *http.Client
}

// EtcdConfig configures an Etcd. Timeout limits each call except Watch.
type EtcdConfig struct {
	URL     string
	Timeout time.Duration
	// Dial opens connections; nil means the default dialer of net/http.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewEtcd returns a client and a function that closes the client's idle connections.
func NewEtcd(c EtcdConfig) (*Etcd, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DialContext: c.Dial}
	e := &Etcd{url: c.URL, timeout: c.Timeout, client: &http.Client{Transport: transport}}
	return e, transport.CloseIdleConnections
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

func (k keyValue) entry() Entry {
	return Entry{Key: string(k.Key), Value: k.Value, Revision: k.ModRevision}
}

type rangeResponse struct {
	KVs []keyValue `json:"kvs"`
}

// Get implements Store.
func (e *Etcd) Get(ctx context.Context, key string) (Entry, bool, error) {
	var response rangeResponse
	err := e.call(ctx, "/v3/kv/range", struct {
		Key []byte `json:"key"`
	}{[]byte(key)}, &response)
	return firstEntry(response, err)
}

// Range implements Store.
func (e *Etcd) Range(ctx context.Context, prefix, from string, limit int) ([]Entry, error) {
	var response rangeResponse
	err := e.call(ctx, "/v3/kv/range", struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
		Limit    int    `json:"limit"`
	}{[]byte(max(prefix, from)), prefixEnd(prefix), limit}, &response)
	var entries []Entry
	for _, kv := range response.KVs {
		entries = append(entries, kv.entry())
	}
	return entries, err
}

// Last implements Store.
func (e *Etcd) Last(ctx context.Context, prefix string) (Entry, bool, error) {
	var response rangeResponse
	err := e.call(ctx, "/v3/kv/range", struct {
		Key        []byte `json:"key"`
		RangeEnd   []byte `json:"range_end"`
		Limit      int    `json:"limit"`
		SortOrder  string `json:"sort_order"`
		SortTarget string `json:"sort_target"`
	}{[]byte(prefix), prefixEnd(prefix), 1, "DESCEND", "KEY"}, &response)
	return firstEntry(response, err)
}

func firstEntry(response rangeResponse, err error) (Entry, bool, error) {
	if err != nil || len(response.KVs) == 0 {
		return Entry{}, false, err
	}
	return response.KVs[0].entry(), true, nil
}

// Create implements Store.
func (e *Etcd) Create(ctx context.Context, key string, value []byte, lease LeaseID) (CreateResult, error) {
	written, existing, err := e.putIfRevision(ctx, key, value, lease, 0)
	return CreateResult{Created: written, Existing: existing}, err
}

// CompareAndSwap implements Store.
func (e *Etcd) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (bool, error) {
	written, _, err := e.putIfRevision(ctx, key, value, 0, revision)
	return written, err
}

func (e *Etcd) putIfRevision(ctx context.Context, key string, value []byte, lease LeaseID, revision int64) (bool, Entry, error) {
	type compare struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	}
	type put struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string,omitempty"`
	}
	type get struct {
		Key []byte `json:"key"`
	}
	type operation struct {
		RequestPut   *put `json:"request_put,omitempty"`
		RequestRange *get `json:"request_range,omitempty"`
	}
	request := struct {
		Compare []compare   `json:"compare"`
		Success []operation `json:"success"`
		Failure []operation `json:"failure"`
	}{
		[]compare{{[]byte(key), "MOD", "EQUAL", revision}},
		[]operation{{RequestPut: &put{[]byte(key), value, int64(lease)}}},
		[]operation{{RequestRange: &get{[]byte(key)}}},
	}
	var response struct {
		Succeeded bool `json:"succeeded"`
		Responses []struct {
			ResponseRange *rangeResponse `json:"response_range"`
		} `json:"responses"`
	}
	if err := e.call(ctx, "/v3/kv/txn", request, &response); err != nil {
		return false, Entry{}, err
	}
	if response.Succeeded || len(response.Responses) == 0 || response.Responses[0].ResponseRange == nil {
		return response.Succeeded, Entry{}, nil
	}
	existing, _, err := firstEntry(*response.Responses[0].ResponseRange, nil)
	return false, existing, err
}

// GrantLease implements Store. It rounds length down to whole seconds, the unit of etcd's leases.
func (e *Etcd) GrantLease(ctx context.Context, length time.Duration) (LeaseID, error) {
	var response struct {
		ID int64 `json:"ID,string"`
	}
	err := e.call(ctx, "/v3/lease/grant", struct {
		TTL int64 `json:"TTL,string"`
	}{int64(length / time.Second)}, &response)
	return LeaseID(response.ID), err
}

// KeepAlive implements Store.
func (e *Etcd) KeepAlive(ctx context.Context, lease LeaseID) error {
	var response struct {
		Result struct {
			TTL int64 `json:"TTL,string"`
		} `json:"result"`
	}
	err := e.call(ctx, "/v3/lease/keepalive", struct {
		ID int64 `json:"ID,string"`
	}{int64(lease)}, &response)
	if err == nil && response.Result.TTL <= 0 {
		return ErrLeaseExpired.New("lease %d has expired; request a new one", lease)
	}
	return err
}

// Watch implements Store.
func (e *Etcd) Watch(ctx context.Context, prefix string, onWrite func(Entry)) error {
	type create struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
	}
	body, err := e.post(ctx, "/v3/watch", struct {
		CreateRequest create `json:"create_request"`
	}{create{[]byte(prefix), prefixEnd(prefix)}})
	if err != nil {
		return err
	}
	defer body.Close()
	decoder := json.NewDecoder(body)
	for {
		var message struct {
			Result struct {
				Events []struct {
					Type string   `json:"type"`
					KV   keyValue `json:"kv"`
				} `json:"events"`
			} `json:"result"`
		}
		if err := decoder.Decode(&message); err != nil {
			return ErrUnavailable.New("watch ended: %v; start it again", err)
		}
		for _, event := range message.Result.Events {
			if event.Type == "" || event.Type == "PUT" {
				onWrite(event.KV.entry())
			}
		}
	}
}

func (e *Etcd) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	body, err := e.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(response); err != nil {
		return ErrUnavailable.New("%s: the response was truncated or is not valid JSON (%v); read the key again", path, err)
	}
	return nil
}

func (e *Etcd) post(ctx context.Context, path string, request any) (io.ReadCloser, error) {
	data, err := json.Marshal(request)
	if err != nil {
		return nil, ErrUnavailable.New("%s: cannot encode the request: %v", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, bytes.NewReader(data))
	if err != nil {
		return nil, ErrUnavailable.New("%s: invalid URL: %v; check the setting Store in [Platform]", path, err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(r)
	if err != nil {
		return nil, ErrUnavailable.New("%s: %v; check that the key-value store is running", path, err)
	}
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		err := errors.Join(response.Body.Close())
		return nil, ErrUnavailable.New("%s: the key-value store responded with status %d: %s (close error: %v)", path, response.StatusCode, message, err)
	}
	return response.Body, nil
}

// prefixEnd returns the end of the range of all keys that start with prefix: the first key after them.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}
