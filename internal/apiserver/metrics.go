package apiserver

import (
	"context"
	"io"
	"net/http"
	"strings"
)

// OperatorOnly returns a handler that serves the text written by write to operators
// only. Metrics include the names of all teams, which callers must not see.
func (a *Apiserver) OperatorOnly(write func(io.Writer)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		ctx := context.WithValue(r.Context(), credentialKey{}, token)
		if _, err := a.operator(ctx); err != nil {
			a.writeError(w, r, err)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		write(w)
	})
}
