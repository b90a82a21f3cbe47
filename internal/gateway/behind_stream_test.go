package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// TestNothingIsPassedOnBehindLargeResponse guards against requests that run and get no answer, because a response ahead of them on the
// connection, which is passed on while it is read, breaks off. The first such response of a rule shows that there are.
func TestNothingIsPassedOnBehindLargeResponse(t *testing.T) {
	const size, behind = 3 << 20, 3
	withFleet(t, 1, 0, func(f *fleet) {
		f.configure(2, safeRule("download", "/download/"), safeRule("lookup", "/lookup/"))
		x := &brokenTarget{Target: standin.NewTarget("t0"), length: size, sent: size / 2}
		x.Address = f.serve(x.Name, "", x)
		f.register(x.Target, "ready")
		f.targets[x.Name] = x.Target
		time.Sleep(2 * time.Second)
		for round := range 4 {
			requests := []string{getRequest("/download/cut", fmt.Sprint("cut", round))}
			for i := range behind {
				requests = append(requests, getRequest("/lookup/1", fmt.Sprint("behind", round, "-", i)))
			}
			conn := f.sendPipeline("h0", requests...)
			_, _ = io.Copy(io.Discard, conn)
			f.is.NoErr(conn.Close())
			time.Sleep(time.Second)
			for i := range behind {
				f.is.True(round == 0 || f.arrivalsOf(fmt.Sprint("behind", round, "-", i)) == 0)
			}
		}
	})
}

// TestRequestsBehindLargeResponseAreAnswered guards against pipelined requests that are held back behind a large response and then not
// answered, and measures what that costs them.
func TestRequestsBehindLargeResponseAreAnswered(t *testing.T) {
	const behind = 3
	withFleet(t, 1, 8, func(f *fleet) {
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) {
				t.LargePath, t.LargeBytes, t.RunDuration = "/download/1", 3<<19, 200*time.Millisecond
			})
		}
		f.configure(2, safeRule("download", "/download/"), safeRule("lookup", "/lookup/"))
		time.Sleep(2 * time.Second)
		for round := range 3 {
			requests := []string{getRequest("/download/1", fmt.Sprint("large", round))}
			for i := range behind {
				requests = append(requests, getRequest("/lookup/1", fmt.Sprint("behind", round, "-", i)))
			}
			began := time.Now()
			conn := f.sendPipeline("h0", requests...)
			reader := bufio.NewReader(conn)
			for range 1 + behind {
				response, err := http.ReadResponse(reader, nil)
				f.is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				f.is.NoErr(err)
				f.is.Equal(response.StatusCode, http.StatusOK)
			}
			took := time.Since(began)
			t.Logf("round %d: a large response and %d behind it, each of 200 ms, took %v", round, behind, took)
			// Those behind it still run at the same time.
			f.is.True(took < 500*time.Millisecond)
			f.is.NoErr(conn.Close())
		}
	})
}
