// Package page writes the JSON responses of the endpoints that an entry host serves itself, such as its status.
package page

import (
	"encoding/json"
	"net/http"
)

// WriteJSON writes a response with the status code and the value as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// This fails only if the client has closed the connection, so there is nobody to report the error to.
	_, _ = w.Write(append(encoded, '\n'))
}
