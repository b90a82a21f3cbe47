package gateway

import (
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/notice"

	"github.com/matryer/is"
)

// TestParseNotice lists header fields of responses and what is read of them.
func TestParseNotice(t *testing.T) {
	g := &Gateway{dialect: Dialect{LeavingHeader: "Leaving", LeavingValue: "1", PauseHeader: "Retry-After"}}
	const unavailable = http.StatusServiceUnavailable
	for _, c := range []struct {
		name      string
		status    int
		header    http.Header
		want      notice.Notice
		malformed bool
	}{
		{"nothing", 200, http.Header{}, notice.Notice{}, false},
		{"leaving", 200, http.Header{"Leaving": {"1"}}, notice.Notice{Leaving: true}, false},
		{"leaving, in a failure", 500, http.Header{"Leaving": {" 1 "}}, notice.Notice{Leaving: true}, false},
		{"not leaving", 200, http.Header{"Leaving": {"0"}}, notice.Notice{}, true},
		{"leaving, repeated", 200, http.Header{"Leaving": {"yes", "1"}}, notice.Notice{Leaving: true}, true},
		{"pause", unavailable, http.Header{"Retry-After": {"4"}}, notice.Notice{Pause: 4 * time.Second}, false},
		{"pause, fractional", unavailable, http.Header{"Retry-After": {"0.25"}}, notice.Notice{Pause: 250 * time.Millisecond}, false},
		{"pause, repeated", unavailable, http.Header{"Retry-After": {"2", "5", "x"}}, notice.Notice{Pause: 5 * time.Second}, true},
		{"pause, zero", unavailable, http.Header{"Retry-After": {"0"}}, notice.Notice{}, false},
		{"pause, negative", unavailable, http.Header{"Retry-After": {"-3"}}, notice.Notice{}, true},
		{"pause, huge", unavailable, http.Header{"Retry-After": {"1e300"}}, notice.Notice{Pause: notice.MaxPause}, true},
		{"pause, infinite", unavailable, http.Header{"Retry-After": {"Inf"}}, notice.Notice{Pause: notice.MaxPause}, true},
		{"pause, not a number", unavailable, http.Header{"Retry-After": {"NaN"}}, notice.Notice{}, true},
		{"pause, a date", unavailable, http.Header{"Retry-After": {"Wed, 21 Oct 2026 07:28:00 GMT"}}, notice.Notice{}, true},
		{"pause, another status", 429, http.Header{"Retry-After": {"4"}}, notice.Notice{}, false},
		{"declined for another server", http.StatusMisdirectedRequest, http.Header{"Leaving": {"1"}, "Retry-After": {"4"}}, notice.Notice{}, false},
		{"both", unavailable, http.Header{"Leaving": {"1"}, "Retry-After": {"4"}}, notice.Notice{Leaving: true, Pause: 4 * time.Second}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n, malformed := g.parseNotice(c.status, c.header)
			is.Equal(n, c.want)
			is.Equal(malformed != "", c.malformed)
		})
	}
}
