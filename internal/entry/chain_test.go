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

// Sizes and bound of the chain, from the stated target.
const (
	chainLayers  = 23
	chainCalls   = 400
	mostTries    = 1.2
	chainTargets = 2
)

// TestRetriesDoNotMultiply sends calls through 23 layers whose last one always fails.
func TestRetriesDoNotMultiply(t *testing.T) {
	inFleet(t, func(f *fleet) {
		host := f.start("entry-1", "a")
		var tries [chainLayers]atomic.Int64
		var text strings.Builder
		text.WriteString("[Note]\nFollows = 0\nOperator = test\nReason = chain\n")
		client := &http.Transport{DialContext: f.net.Dialer("layers"), MaxIdleConnsPerHost: 64}
		for layer := range chainLayers {
			fmt.Fprintf(&text, "[Service s%d]\n[Rule r%d]\nPath = /%d/\nService = s%d\nDeadline = 5s\n", layer, layer, layer, layer)
			for i := range chainTargets {
				address := f.serve(fmt.Sprintf("layer-%d-%d", layer, i), "", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					tries[layer].Add(1)
					if layer == chainLayers-1 {
						w.WriteHeader(http.StatusBadGateway)
						return
					}
					passOnCall(f, w, r, client, host, layer+1)
				}))
				fmt.Fprintf(&text, "[Target t%d-%d]\nService = s%d\nAddress = %s\nDomain = a\n", layer, i, layer, address)
			}
		}
		f.publish(text.String())
		f.await(1, 5*time.Second)
		var group sync.WaitGroup
		for range chainCalls {
			group.Go(func() {
				response, _, err := f.send(host, http.MethodGet, "/0/x", "", nil)
				f.is.NoErr(err)
				f.is.True(response.StatusCode >= 500)
			})
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
		sum := int64(0)
		for layer := range tries {
			sum += tries[layer].Load()
		}
		leaf := float64(tries[chainLayers-1].Load()) / chainCalls
		all := float64(sum) / (chainCalls * chainLayers)
		t.Logf("%d calls through %d layers: %.3f tries of the last layer a call, %.3f tries a layer and call", chainCalls, chainLayers, leaf, all)
		f.is.True(leaf <= mostTries)
		f.is.True(all <= mostTries)
		f.is.True(leaf > 0.5) // the calls did reach the last layer
		client.CloseIdleConnections()
	})
}

// passOnCall calls the next layer as a backend server should: with the deadline and the allowance it was given.
func passOnCall(f *fleet, w http.ResponseWriter, r *http.Request, client *http.Transport, host *node, layer int) {
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
