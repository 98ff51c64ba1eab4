package front

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// limit bounds the size of a request's body and the time in which it arrives. A
// time limit of the whole connection would cut long answers.
func (f *Front) limit(w http.ResponseWriter, r *http.Request) io.ReadCloser {
	bounded := http.MaxBytesReader(w, r.Body, int64(f.maxBody))
	if r.ContentLength == 0 {
		return bounded
	}
	control := http.NewResponseController(w)
	// The deadline is one of the system's clock. A writer without deadlines is
	// one of a test.
	_ = control.SetReadDeadline(time.Now().Add(f.bodyLimit))
	return &body{ReadCloser: bounded, control: control}
}

// body lifts the deadline at its end, because the server goes on reading to
// learn that the caller has gone. After an error the deadline stays, so that the
// server does not wait for the rest.
type body struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read passes errors unwrapped, as io.Reader demands.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// unknown answers requests for which there is no route.
func (f *Front) unknown(w http.ResponseWriter, r *http.Request) {
	f.refuse(w, r, asProblem(failure.Refusal(failure.NotFound, 0,
		"there is no %s %s; use a method and path of the interface", r.Method, r.URL.Path)))
}

// refuse answers a request outside of the generated services.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, err error) {
	refused := format(r.Context(), err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refused.StatusCode())
	if err := encoder(r.Context(), w).Encode(refused); err != nil {
		f.encodingFailed(r.Context(), w, err)
	}
}
