package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/caller"
	"briarcroft/internal/steering"
)

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
