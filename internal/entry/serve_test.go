package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/caller"
	"briarcroft/internal/steering"
)

// TestAnswersArePassedOnAsTheyAre checks answers without a body, of unknown length, and header fields of one hop.
func TestAnswersArePassedOnAsTheyAre(t *testing.T) {
	behave := func(_ *fakeBackend, w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Hop", r.Header.Get("X-Hop"))
		switch r.URL.Path {
		case "/unchanged":
			w.Header().Set("Content-Length", "700")
			w.WriteHeader(http.StatusNotModified)
		case "/head":
			w.Header().Set("Content-Length", "800")
		case "/chunked":
			_, _ = w.Write([]byte("part one, "))
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write([]byte("part two"))
		default:
			w.WriteHeader(http.StatusTeapot)
			_, _ = w.Write([]byte(r.URL.RequestURI() + body))
		}
	}
	cases := []struct {
		method, path, body string
		status             int
		want               string
		length             int64
	}{
		{"GET", "/unchanged", "", http.StatusNotModified, "", -2},
		{"HEAD", "/head", "", http.StatusOK, "", 800},
		{"GET", "/chunked", "", http.StatusOK, "part one, part two", 18},
		{"PUT", "/a//b/../c?d=%20e", "text", http.StatusTeapot, "/a//b/../c?d=%20etext", 21},
		{"POST", "/x", strings.Repeat("y", replayBytes+1), http.StatusTeapot, "/x" + strings.Repeat("y", replayBytes+1), -2},
	}
	inService(t, 1, 2, behave, func(f *fleet, _ []*fakeBackend) {
		for _, c := range cases {
			response, body, err := f.send(f.nodes["entry-1"], c.method, c.path, c.body, map[string]string{"Connection": "X-Hop", "X-Hop": "secret"})
			f.is.NoErr(err)
			f.is.Equal(response.StatusCode, c.status)
			f.is.Equal(body, c.want)
			f.is.True(c.length == -2 || response.ContentLength == c.length)
			f.is.Equal(response.Header.Get("X-Hop"), "")
			f.is.Equal(response.Header.Get("Keep-Alive"), "")
		}
	})
}

func TestFleetServes(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.startAll(3)
		backends, text := f.backends(2, work)
		f.is.Equal(f.publish(text), 1)
		f.is.True(f.await(1, 5*time.Second) < 2*time.Second)
		f.awaitPeers(5 * time.Second)
		response, body, err := f.send(f.nodes["entry-2"], http.MethodGet, "/x", "", nil)
		f.is.NoErr(err)
		f.is.Equal(response.StatusCode, http.StatusOK)
		f.is.Equal(body, "GET /x ")
		f.is.True(response.Header.Get(steering.HeaderTarget) != "")
		answer, err := f.newCaller(1).Do(context.Background(), caller.Request{Service: "s", Method: http.MethodPost, Path: "/y", Body: []byte("b"), Once: true})
		f.is.NoErr(err)
		f.is.Equal(string(answer.Body), "POST /y b")
		f.is.Equal(backends[0].runsOf(answer.Keys[0])+backends[1].runsOf(answer.Keys[0]), 1)
	})
}
