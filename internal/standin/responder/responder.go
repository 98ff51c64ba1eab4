// Package responder reads and writes the JSON bodies of the stand-ins.
package responder

import (
	"encoding/json"
	"io"
	"net/http"
)

// BodyLimit is the largest size of a request body in bytes. It accommodates an
// exported prefix of 390,000 tokens at 64 bytes per token, encoded in base64.
const BodyLimit = 64 << 20

// JSON writes a status and a JSON body. A write fails only when the client has
// disconnected, so its error is ignored.
func JSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Error writes an error response in the format of OpenAI's API.
func Error(w http.ResponseWriter, status int, message string) {
	JSON(w, status, map[string]any{"error": map[string]any{"message": message, "code": status}})
}

// RejectLeaving writes the response of an upstream that is leaving and refuses the
// request.
func RejectLeaving(w http.ResponseWriter) {
	w.Header().Set("X-Upstream-Leaving", "true")
	Error(w, http.StatusServiceUnavailable, "the upstream is leaving; the request did not run")
}

// RejectFull writes the response of an upstream that refuses the request because
// its queue is full.
func RejectFull(w http.ResponseWriter) {
	Error(w, http.StatusTooManyRequests, "the queue is full; the request did not run")
}

// DecodeBody decodes the JSON body of a request. On failure it responds with
// status 400 and returns false.
func DecodeBody(w http.ResponseWriter, r *http.Request, body any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, BodyLimit))
	if err == nil {
		err = json.Unmarshal(raw, body)
	}
	if err != nil {
		Error(w, http.StatusBadRequest, "decode request body: "+err.Error())
		return false
	}
	return true
}
