package gateway_test

import (
	"net/http"
	"sync"

	"briarcroft/platform/standin"
)

// recordingTarget is a backend server that records what it gets, and names fields in the Connection field of its responses.
type recordingTarget struct {
	*standin.Target
	// got holds the requests that were received, without bodies, by attempt ID.
	got        sync.Map
	connection string
}

func (t *recordingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		t.got.Store(id, receivedRequest{r.Method, r.Host, r.RequestURI, r.Header.Clone()})
		if t.connection != "" {
			w.Header().Set("Connection", t.connection)
		}
	}
	t.Target.ServeHTTP(w, r)
}

// receivedRequest is the head of a request that a backend server got.
type receivedRequest struct {
	method, host, target string
	header               http.Header
}

// received returns the last request with an attempt ID, and forgets it.
func (t *recordingTarget) received(id string) (r receivedRequest, found bool) {
	got, found := t.got.LoadAndDelete(id)
	if !found {
		return receivedRequest{}, false
	}
	return got.(receivedRequest), true
}

// addRecordingTarget starts and registers a recordingTarget.
func (f *fleet) addRecordingTarget(name string) *recordingTarget {
	x := &recordingTarget{Target: standin.NewTarget(name)}
	x.Address = f.serve(x.Name, "", x)
	f.targets[x.Name] = x.Target
	f.register(x.Target, "ready")
	return x
}
