package record

import (
	"encoding/json"
	"net/http"
	"time"
)

// ServeHTTP answers with the records that concern the parameter Target since the time Since; both may be left out.
func (b *Book) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since := time.Time{}
	if text := r.URL.Query().Get("Since"); text != "" {
		var err error
		if since, err = time.Parse(time.RFC3339, text); err != nil {
			http.Error(w, "Since is not a time; write it as 2006-01-02T15:04:05Z", http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone reads no error either.
	_ = json.NewEncoder(w).Encode(struct{ Records []Record }{b.Since(r.URL.Query().Get("Target"), since)})
}
