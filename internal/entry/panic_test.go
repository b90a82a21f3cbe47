package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"briarcroft/internal/claim"
	"briarcroft/internal/steering"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestPanicOfRequestIsAnswered guards against a panic of one request that closes its connection without an answer.
func TestPanicOfRequestIsAnswered(t *testing.T) {
	is := is.New(t)
	f := &frontend{host: &Host{config: Config{Logger: zerolog.Nop()}}} // without a dispatcher
	w := httptest.NewRecorder()
	f.proxyRecovered(&responseState{ResponseWriter: w}, httptest.NewRequest(http.MethodPost, "/", nil))
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(w.Header().Get(steering.HeaderOutcome), string(claim.Unknown))
}
