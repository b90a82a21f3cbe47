package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// TestErrorPageIsNoHostList guards against a list that is emptied by the page of an error, which ends the draining of its targets.
func TestErrorPageIsNoHostList(t *testing.T) {
	is := is.New(t)
	var status int
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	list, closeList := NewHostList(HostListConfig{URL: server.URL, Timeout: 5 * time.Second})
	defer closeList()
	for _, c := range []struct {
		status int
		body   string
		hosts  int
	}{
		{http.StatusOK, `{"Hosts":[{"Name":"entry-1"}]}`, 1},
		{http.StatusOK, `{"Hosts":[]}`, 0},
		{http.StatusServiceUnavailable, `{"Error":"the list is not available"}`, -1},
		{http.StatusNotFound, `{}`, -1},
		{http.StatusNotModified, "", -1},
		{http.StatusOK, `{"Hosts":[{"Name":"entry-1"}`, -1},
	} {
		status, body = c.status, c.body
		hosts, err := list.Read(context.Background())
		is.Equal(errorx.IsOfType(err, ErrUnavailable), c.hosts < 0)
		is.Equal(len(hosts), max(0, c.hosts))
	}
}
