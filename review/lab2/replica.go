package main

import (
	"io"
	"net/http"
	"sync"
)

// execution is a request that a replica ran.
type execution struct {
	id, target, body string
	header           http.Header
}

// replica is a replica of a service. It answers liveness checks, refuses requests for
// another instance, and records what it runs.
type replica struct {
	id string
	// run answers a request.
	run func(w http.ResponseWriter, r *http.Request, e execution)

	mu   sync.Mutex
	runs []execution
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", r.id)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e := execution{id: request.Header.Get("X-Attempt-Id"), target: request.RequestURI, body: string(body), header: request.Header.Clone()}
	r.mu.Lock()
	r.runs = append(r.runs, e)
	r.mu.Unlock()
	w.Header().Set("X-Attempt-Id", e.id)
	w.Header().Set("X-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	r.run(w, request, e)
}

func (r *replica) executions() []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]execution(nil), r.runs...)
}

// count returns how often the replica ran a request.
func (r *replica) count(id string) int {
	n := 0
	for _, e := range r.executions() {
		if e.id == id {
			n++
		}
	}
	return n
}
