package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/settings"
	"briarcroft/internal/steering"
)

// endlessBackend sends response bodies without end to requests for /endless, at 8 MB/s, and short ones to others.
type endlessBackend struct {
	mu sync.Mutex
	// taken is the number of bytes that were taken of the responses that are open, and most its highest value.
	open, taken, most int
}

// shortBody is the size in bytes of a short response.
const shortBody = 60 << 10

func (b *endlessBackend) respond(_ *fakeBackend, w http.ResponseWriter, r *http.Request, _ string) {
	if r.URL.Path != "/endless" {
		_, _ = w.Write(make([]byte, shortBody))
		return
	}
	part, sent := bytes.Repeat([]byte("x"), 8<<10), 0
	b.add(1, 0)
	for {
		n, err := w.Write(part)
		sent += n
		b.add(0, n)
		if err != nil {
			b.add(-1, -sent)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (b *endlessBackend) add(open, taken int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open += open
	b.taken += taken
	b.most = max(b.most, b.taken)
}

// TestEndlessResponsesToKeysStayWithinMemory guards against a host that runs out of memory because it keeps what a target sends without end
// in response to requests with keys, whose responses are read completely before they are sent.
func TestEndlessResponsesToKeysStayWithinMemory(t *testing.T) {
	const budget, requests, buffers = 8 << 20, 20, 128 << 10
	var backend endlessBackend
	withFleet(t, func(f *fleet) {
		f.adjustSettings = func(s *settings.Settings) { s.Limits.HeldBytes = budget }
		f.startAll(1)
		_, content := f.backends(2, backend.respond)
		f.publish(content)
		f.awaitNote(1, 10*time.Second)
		host := f.nodes["entry-1"]
		var group sync.WaitGroup
		for i := range requests {
			group.Go(func() {
				response, _, err := f.send(host, http.MethodPost, "/endless", "", map[string]string{"Idempotency-Key": fmt.Sprint("endless-", i)})
				f.is.NoErr(err)
				f.is.True(response.StatusCode >= http.StatusBadGateway)
				f.is.True(response.StatusCode == http.StatusServiceUnavailable || response.Header.Get(steering.HeaderOutcome) == "Unknown")
			})
			group.Go(func() {
				response, body, err := f.send(host, http.MethodGet, "/short", "", nil)
				f.is.NoErr(err)
				f.is.Equal(response.StatusCode, http.StatusOK)
				f.is.Equal(len(body), shortBody)
			})
			time.Sleep(25 * time.Millisecond)
		}
		group.Wait()
		time.Sleep(100 * time.Millisecond)
		f.is.Equal(backend.open, 0)
		f.is.True(backend.most <= budget+requests*buffers)
		response, body, err := f.send(host, http.MethodPost, "/short", "", map[string]string{"Idempotency-Key": "short"})
		f.is.NoErr(err)
		f.is.Equal(response.StatusCode, http.StatusOK)
		f.is.Equal(len(body), shortBody)
	})
}
