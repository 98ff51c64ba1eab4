// Package replica is a stand-in for the replicas of the platform: a model
// engine or a plain service that checks the expected instance, echoes the
// request's id, signs its answers and notes what it ran.
package replica

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Behaviour says how a replica treats a request. The interface is sealed: the
// variants are the types of this package.
type Behaviour interface{ behaviour() }

// Serve runs the request and answers it.
type Serve struct{}

// Shed says that the request was not run.
type Shed struct{}

// Break runs the request and breaks the answer off after some events, or before
// the head of an answer that is no stream.
type Break struct{ After int }

// Garble runs the request and answers as if to another one.
type Garble struct{}

// Hang runs the request and does not answer until the caller leaves.
type Hang struct{}

// Err runs the request and answers with an error of its own.
type Err struct{}

func (Err) behaviour()    {}
func (Serve) behaviour()  {}
func (Shed) behaviour()   {}
func (Break) behaviour()  {}
func (Garble) behaviour() {}
func (Hang) behaviour()   {}

// Run is a request that the replica ran.
type Run struct {
	Request ident.RequestID
	Target  string
	Body    string
	After   ident.EventID
	Left    time.Duration
}

// Replica serves requests of one pool.
type Replica struct {
	id     ident.UpstreamID
	events int
	work   time.Duration
	engine bool

	mu     sync.Mutex
	decide func(Run) Behaviour
	runs   []Run
}

// Option changes how New builds a Replica.
type Option func(*Replica)

// WithEvents makes the replica an engine whose streams have some events.
func WithEvents(events int) Option {
	return func(r *Replica) { r.engine, r.events = true, events }
}

// WithWork sets how long a request, or an event of a stream, takes.
func WithWork(work time.Duration) Option {
	return func(r *Replica) { r.work = work }
}

// New returns a replica that serves all requests.
func New(id ident.UpstreamID, options ...Option) *Replica {
	r := &Replica{id: id, decide: func(Run) Behaviour { return Serve{} }}
	for _, option := range options {
		option(r)
	}
	return r
}

// Decide sets what decides on each request.
func (r *Replica) Decide(decide func(Run) Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decide = decide
}

// Runs returns what was run so far.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ServeHTTP serves one request.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Attempt-Id")
	if expected := request.Header.Get("X-Expect-Instance"); expected != string(r.id) {
		w.Header().Set("X-Instance-Id", string(r.id))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := Run{Request: ident.RequestID(id), Target: request.RequestURI, Body: string(body), After: ident.EventID(integer(request, "Last-Event-Id"))}
	run.Left = time.Duration(integer(request, "X-Deadline-Ms")) * time.Millisecond
	behaviour := r.take(run)
	if _, shed := behaviour.(Shed); shed {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Signature", "signature-of-"+string(r.id))
	switch b := behaviour.(type) {
	case Garble:
		id = "another-request"
		run.Request = ident.RequestID(id)
		w.Header().Set("X-Attempt-Id", id)
	case Err:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Hang:
		<-request.Context().Done()
		return
	case Break:
		if !r.engine {
			panic(http.ErrAbortHandler)
		}
		r.stream(w, run, b.After)
		panic(http.ErrAbortHandler)
	}
	if r.engine {
		r.stream(w, run, r.events)
		return
	}
	time.Sleep(r.work)
	// A caller that is gone does not need the answer.
	_, _ = fmt.Fprintf(w, "done %s", id)
}

// integer returns a header's number, 0 without one.
func integer(request *http.Request, name string) int64 {
	n, err := strconv.ParseInt(request.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// take notes a run, unless the request is to be shed.
func (r *Replica) take(run Run) Behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	behaviour := r.decide(run)
	if _, shed := behaviour.(Shed); !shed {
		r.runs = append(r.runs, run)
	}
	return behaviour
}

// stream writes the events up to the last one.
func (r *Replica) stream(w http.ResponseWriter, run Run, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := int(run.After) + 1; n <= last; n++ {
		time.Sleep(r.work)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: word-%d-of-%s\n\n", n, n, run.Request); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}
