package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Engine is a stand-in for a model replica. It runs each request at once.
type Engine struct {
	ID string
	// Events is the number of events of a stream and Gap the time between two. The first
	// one takes First longer.
	Events     int
	Gap, First time.Duration

	lab          *Lab
	address      string
	registration *Registration
	server       *http.Server

	mu      sync.Mutex
	runs    map[string]string
	leaving bool
	limit   string
}

// SetLimit sets the request limit that the answers name, empty for none.
func (e *Engine) SetLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// StartEngines starts model replicas of a service, spread over the zones in turn.
func (l *Lab) StartEngines(service string, count, events int, gap time.Duration, zones ...Zone) ([]*Engine, error) {
	var engines []*Engine
	for i := range count {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		e := &Engine{ID: "i-" + NewID()[:8], Events: events, Gap: gap, lab: l, address: address, runs: map[string]string{}}
		if err := e.listen(); err != nil {
			return nil, err
		}
		if e.registration, err = l.Register(e.ID, service, address, zones[i%len(zones)].Name, 64); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	return engines, nil
}

func (e *Engine) listen() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	return nil
}

// Restart drains the replica, which serves for the time that it leaves, ends it when it
// has no request left, and starts it again under the same id after a pause.
func (e *Engine) Restart(leave, pause time.Duration) error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	if err := e.registration.Drain(); err != nil {
		return err
	}
	e.lab.Note("replica %s reports draining", e.ID)
	time.Sleep(leave)
	if err := e.registration.Remove(); err != nil {
		return err
	}
	if err := e.server.Shutdown(e.lab.ctx); err != nil {
		return err
	}
	e.lab.Note("replica %s has left", e.ID)
	time.Sleep(pause)
	e.mu.Lock()
	e.leaving = false
	e.mu.Unlock()
	if err := e.listen(); err != nil {
		return err
	}
	e.lab.Note("replica %s starts again and reports ready", e.ID)
	return e.registration.Restart()
}

// Crash ends the process of the replica at once. Its entry lapses after three heartbeat
// intervals.
func (e *Engine) Crash() {
	e.lab.Note("replica %s crashes", e.ID)
	e.registration.Stop()
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { _ = e.registration.Remove() })
}

// Body returns the body of a request that the engine ran.
func (e *Engine) Body(id string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body, ok := e.runs[id]
	return body, ok
}

// ServeHTTP runs one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("X-Expect-Instance") != e.ID {
		w.Header().Set("X-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	e.mu.Lock()
	e.runs[id] = string(body)
	leaving, limit := e.leaving, e.limit
	e.mu.Unlock()
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	if leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	e.lab.Note("replica %s runs %s, previous turn %q, %d bytes", e.ID, id, r.Header.Get("X-Previous-Turn"), len(body))
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Signature", "signature-of-"+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	// A first event is not a number if the caller has received none.
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	select {
	case <-time.After(e.First):
	case <-r.Context().Done():
		return
	}
	for n := after + 1; n <= e.Events; n++ {
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id[:4], n); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}
