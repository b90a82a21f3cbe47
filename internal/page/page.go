// Package page writes a host's own pages.
package page

import (
	"encoding/json"
	"net/http"
)

// WriteJSON answers with a value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller went away if this fails.
	_, _ = w.Write(append(text, '\n'))
}
