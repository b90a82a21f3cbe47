package gateway_test

import (
	"net/http"
	"testing"

	"briarcroft/platform/standin"
)

// latinTarget adds a header field that is not UTF-8, as HTTP allows, to its responses.
type latinTarget struct{ *standin.Target }

func (t latinTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Place", "Orl\xe9ans")
	t.Target.ServeHTTP(w, r)
}

// TestRelayOfOtherEncodings guards against runs through a peer whose response is lost, because a field of the response is not UTF-8, and
// against "may have run" for a request that was not sent because one of its fields is not.
func TestRelayOfOtherEncodings(t *testing.T) {
	withFleet(t, 2, 0, func(f *fleet) {
		for _, name := range []string{"t0", "t1"} {
			x := latinTarget{standin.NewTarget(name)}
			x.Address = f.serve(name, "", x)
			f.targets[name] = x.Target
			f.register(x.Target, "ready")
		}
		f.cutOff("h0")
		r := f.call("h0", http.MethodPost, "/order/1", "response")
		f.is.NoErr(r.err)
		f.is.Equal(r.status, 200)
		f.is.Equal(r.body, "answer to response")
		f.is.Equal(f.runsOf("response"), 1)
		r = f.callWith("caller", "h0", http.MethodPost, "/order/1", "request", http.Header{"X-Place": {"Orl\xe9ans"}})
		f.is.NoErr(r.err)
		f.is.Equal(f.arrivalsOf("request"), 0)
		f.is.Equal(r.status, 503)
	})
}
