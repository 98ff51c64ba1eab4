// Package replica is a stand-in for the platform's replicas: a model engine or a
// plain service that checks the expected instance, echoes the request ID, signs
// its answers and records the requests that it ran.
package replica

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Behaviour is how a replica handles a request. The interface is sealed: its
// variants are the types of this package.
type Behaviour interface{ behaviour() }

// Serve runs and answers the request.
type Serve struct{}

// Shed refuses the request and reports that it was not run.
type Shed struct{}

// Break runs the request and closes the connection after the event with number
// After, or before the response headers if the answer is not a stream.
type Break struct{ After int }

// WrongID runs the request and answers with the ID of another one.
type WrongID struct{}

// Hang runs the request and never answers; it returns when the caller
// disconnects.
type Hang struct{}

// Fail runs the request and answers with an internal server error.
type Fail struct{}

func (Fail) behaviour()    {}
func (Serve) behaviour()   {}
func (Shed) behaviour()    {}
func (Break) behaviour()   {}
func (WrongID) behaviour() {}
func (Hang) behaviour()    {}

// Run is a request that the replica ran. After is the ID of the last event that
// the caller has received.
type Run struct {
	Request  ident.RequestID
	Target   string
	Body     string
	After    ident.EventID
	TimeLeft time.Duration
	// Key and Account are the key and the name of a client account that the request had.
	Key, Account string
}

// Replica serves requests of one pool.
type Replica struct {
	id       ident.UpstreamID
	events   int
	workTime time.Duration
	engine   bool

	mu     sync.Mutex
	decide func(Run) Behaviour
	runs   []Run
	// limit is the request limit that answers name, empty for none.
	limit string
}

// Option configures a Replica.
type Option func(*Replica)

// WithEvents makes the replica an engine whose streams have the given number of
// events.
func WithEvents(events int) Option {
	return func(r *Replica) { r.engine, r.events = true, events }
}

// WithWorkTime sets the processing time of a request or of each event of a
// stream.
func WithWorkTime(workTime time.Duration) Option {
	return func(r *Replica) { r.workTime = workTime }
}

// New returns a replica with the behaviour Serve.
func New(id ident.UpstreamID, options ...Option) *Replica {
	r := &Replica{id: id, decide: func(Run) Behaviour { return Serve{} }}
	for _, option := range options {
		option(r)
	}
	return r
}

// Decide sets the function that returns the behaviour for each request.
func (r *Replica) Decide(decide func(Run) Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decide = decide
}

// SetLimit sets the request limit that answers name, in requests a second. An empty
// limit ends it. The replica serves what exceeds it.
func (r *Replica) SetLimit(limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
}

// Runs returns the requests that were run so far.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ServeHTTP handles one request according to the decided behaviour.
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
	run := Run{
		Request: ident.RequestID(id), Target: request.RequestURI, Body: string(body),
		After: ident.EventID(headerInteger(request, "Last-Event-Id")),
		Key:   strings.Join(request.Header.Values("X-Key"), ","), Account: strings.Join(request.Header.Values("X-Tenant"), ","),
	}
	run.TimeLeft = time.Duration(headerInteger(request, "X-Deadline-Ms")) * time.Millisecond
	behaviour, limit := r.decideAndRecord(run)
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	if _, shed := behaviour.(Shed); shed {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Signature", "signature-of-"+string(r.id))
	switch b := behaviour.(type) {
	case WrongID:
		id = "another-request"
		run.Request = ident.RequestID(id)
		w.Header().Set("X-Attempt-Id", id)
	case Fail:
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
	time.Sleep(r.workTime)
	// A write fails only when the caller has disconnected.
	_, _ = fmt.Fprintf(w, "done %s", id)
}

// headerInteger returns the integer in a header, or 0 if there is none.
func headerInteger(request *http.Request, name string) int64 {
	n, err := strconv.ParseInt(request.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// decideAndRecord returns the behaviour for a request and the current limit, and records
// the run unless the request is shed.
func (r *Replica) decideAndRecord(run Run) (Behaviour, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	behaviour := r.decide(run)
	if _, shed := behaviour.(Shed); !shed {
		r.runs = append(r.runs, run)
	}
	return behaviour, r.limit
}

// stream writes the events after run.After up to and including last.
func (r *Replica) stream(w http.ResponseWriter, run Run, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := int(run.After) + 1; n <= last; n++ {
		time.Sleep(r.workTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: word-%d-of-%s\n\n", n, n, run.Request); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}
