package host

import (
	"encoding/json"
	"net/http"
)

// Reply writes a JSON response of a target. It ignores write errors, since the
// caller may be gone.
func Reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
