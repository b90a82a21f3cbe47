package record

import (
	"net/http"
	"time"

	"briarcroft/internal/page"
)

// ServeHTTP writes the records about the target in the query parameter Target, from the time in the parameter Since on, as
// JSON; both parameters are optional.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since := time.Time{}
	if value := r.URL.Query().Get("Since"); value != "" {
		var err error
		if since, err = time.Parse(time.RFC3339, value); err != nil {
			http.Error(w, "Since is not a time; write it as 2006-01-02T15:04:05Z", http.StatusBadRequest)
			return
		}
	}
	page.WriteJSON(w, http.StatusOK, struct{ Records []Record }{l.Since(r.URL.Query().Get("Target"), since)})
}
