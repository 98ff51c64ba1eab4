package apiserver

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// limitBody limits the size of a request body and the time in which it arrives. A
// timeout of the whole connection would also cut off long answers.
func (a *Apiserver) limitBody(w http.ResponseWriter, r *http.Request) io.ReadCloser {
	bounded := http.MaxBytesReader(w, r.Body, int64(a.maxBody))
	if r.ContentLength == 0 {
		return bounded
	}
	control := http.NewResponseController(w)
	// Connection deadlines use the system clock, not the timer service. Only
	// response writers in tests do not support deadlines.
	_ = control.SetReadDeadline(time.Now().Add(a.bodyTimeout))
	return &limitedBody{ReadCloser: bounded, control: control}
}

// limitedBody is a request body that removes the read deadline at its end, because
// the server keeps reading to detect a closed connection. After an error the
// deadline stays, so that the server does not wait for the rest of the body.
type limitedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read returns errors unwrapped, as io.Reader requires for io.EOF.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// serveNotFound responds to requests without a matching route.
func (a *Apiserver) serveNotFound(w http.ResponseWriter, r *http.Request) {
	a.writeError(w, r, toProblem(failure.Refusal(failure.NotFound, 0,
		"there is no %s %s; use a method and path of the interface", r.Method, r.URL.Path)))
}

// writeError writes the response for an error outside the generated services.
func (a *Apiserver) writeError(w http.ResponseWriter, r *http.Request, err error) {
	encodedError := formatError(r.Context(), err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(encodedError.StatusCode())
	if err := encoder(r.Context(), w).Encode(encodedError); err != nil {
		a.encodingFailed(r.Context(), w, err)
	}
}
