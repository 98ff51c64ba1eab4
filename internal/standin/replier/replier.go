// Package replier reads and writes the JSON bodies of the stand-ins.
package replier

import (
	"encoding/json"
	"io"
	"net/http"
)

// BodyLimit bounds a request body. An exported prefix of 390,000 tokens with
// 64 bytes a token, in base64, fits.
const BodyLimit = 64 << 20

// JSON writes a body with a status. A failed write is ignored, since the
// client has gone.
func JSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Error writes an error body as OpenAI's API has it.
func Error(w http.ResponseWriter, status int, message string) {
	JSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

// Leaving writes the refusal of an upstream that is leaving.
func Leaving(w http.ResponseWriter) {
	w.Header().Set("X-Upstream-Leaving", "true")
	Error(w, http.StatusServiceUnavailable, "the upstream is leaving; the request did not run")
}

// Full writes the refusal of an upstream whose queue is full.
func Full(w http.ResponseWriter) {
	Error(w, http.StatusTooManyRequests, "the queue is full; the request did not run")
}

// Read decodes the body of a request. If that fails it answers 400 and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, body any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, BodyLimit))
	if err == nil {
		err = json.Unmarshal(raw, body)
	}
	if err != nil {
		Error(w, http.StatusBadRequest, "the body can't be read: "+err.Error())
		return false
	}
	return true
}
