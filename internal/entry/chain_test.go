package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarcroft/internal/steering"
)

// Sizes of the chain of services, as required of the load balancer. A request may cause at most maxAttempts attempts per
// layer on average.
const (
	chainLayers   = 23
	chainRequests = 400
	maxAttempts   = 1.2
	chainTargets  = 2
)

// TestRetriesDoNotMultiply sends requests through 23 layers of services, the last of which always fails. It guards against
// a retry storm: if each layer retried on its own, the attempts would multiply from layer to layer.
func TestRetriesDoNotMultiply(t *testing.T) {
	withFleet(t, func(f *fleet) {
		host := f.start("entry-1", "a")
		var attempts [chainLayers]atomic.Int64
		var content strings.Builder
		content.WriteString("[Note]\nFollows = 0\nOperator = test\nReason = chain\n")
		client := &http.Transport{DialContext: f.net.Dialer("layers"), MaxIdleConnsPerHost: 64}
		for layer := range chainLayers {
			fmt.Fprintf(&content, "[Service s%d]\n[Rule r%d]\nPath = /%d/\nService = s%d\nDeadline = 5s\n", layer, layer, layer, layer)
			for i := range chainTargets {
				address := f.serve(fmt.Sprintf("layer-%d-%d", layer, i), "", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					attempts[layer].Add(1)
					if layer == chainLayers-1 {
						w.WriteHeader(http.StatusBadGateway)
						return
					}
					callNextLayer(f, w, r, client, host, layer+1)
				}))
				fmt.Fprintf(&content, "[Target t%d-%d]\nService = s%d\nAddress = %s\nDomain = a\n", layer, i, layer, address)
			}
		}
		f.publish(content.String())
		f.awaitNote(1, 5*time.Second)
		var group sync.WaitGroup
		for range chainRequests {
			group.Go(func() {
				response, _, err := f.send(host, http.MethodGet, "/0/x", "", nil)
				f.is.NoErr(err)
				f.is.True(response.StatusCode >= 500)
			})
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
		sum := int64(0)
		for layer := range attempts {
			sum += attempts[layer].Load()
		}
		lastLayer := float64(attempts[chainLayers-1].Load()) / chainRequests
		mean := float64(sum) / (chainRequests * chainLayers)
		t.Logf("%d requests through %d layers: %.3f attempts at the last layer per request, %.3f attempts per layer and request", chainRequests, chainLayers, lastLayer, mean)
		f.is.True(lastLayer <= maxAttempts)
		f.is.True(mean <= maxAttempts)
		f.is.True(lastLayer > 0.5) // the requests did reach the last layer
		client.CloseIdleConnections()
	})
}

// callNextLayer calls the next layer as a backend server should: it passes on the deadline and the retry allowance of its
// own request, and returns the retry header of the response.
func callNextLayer(f *fleet, w http.ResponseWriter, r *http.Request, client *http.Transport, host *node, layer int) {
	call, err := http.NewRequestWithContext(r.Context(), http.MethodGet, fmt.Sprintf("http://%s/%d/x", host.listen, layer), nil)
	f.is.NoErr(err)
	for _, name := range []string{steering.HeaderDeadline, steering.HeaderRetryAllowance} {
		call.Header.Set(name, r.Header.Get(name))
	}
	response, err := client.RoundTrip(call)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	w.Header().Set(steering.HeaderRetry, response.Header.Get(steering.HeaderRetry))
	w.WriteHeader(response.StatusCode)
}
