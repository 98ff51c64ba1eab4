// Package stopper stops an HTTP server without interrupting requests.
//
// http.Server.Shutdown waits for connections on which no request was sent until they
// are 5 s old, which can exceed a grace period although no request is in progress.
// Callers' connection pools open such connections in advance.
package stopper

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// maxUnusedTimeout is how long a connection may stay without a request after the
// listener has been closed. A caller that has just connected sends its request
// within a few round trips between regions.
const maxUnusedTimeout = 900 * time.Millisecond

// Stopper stops one server.
type Stopper struct {
	server *http.Server
	timers *timer.Service

	mu sync.Mutex
	// unused has the connections on which no request was received.
	unused map[net.Conn]struct{}
}

// New returns the stopper of a server that does not serve yet.
func New(server *http.Server, timers *timer.Service) *Stopper {
	s := &Stopper{server: server, timers: timers, unused: map[net.Conn]struct{}{}}
	server.ConnState = s.observe
	return s
}

func (s *Stopper) observe(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[c] = struct{}{}
		return
	}
	delete(s.unused, c)
}

// Stop closes the listener, waits for the requests in progress and closes all
// connections. It returns the error of the context if that ends first.
func (s *Stopper) Stop(ctx context.Context) error {
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Shutdown(ctx) }()
	wait := s.timers.After(s.unusedTimeout(ctx))
	defer wait.Cancel()
	select {
	case err := <-stopped:
		return err
	case <-wait.C:
	}
	s.closeUnused()
	return <-stopped
}

// unusedTimeout is half of the time that is left if that is short, so that the
// server stops before the context ends.
func (s *Stopper) unusedTimeout(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(maxUnusedTimeout, deadline.Sub(s.timers.Now())/2)
	}
	return maxUnusedTimeout
}

// Close closes the server without waiting for requests.
func (s *Stopper) Close() error { return s.server.Close() }

func (s *Stopper) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unused {
		// The connection carries no request, so that its error concerns nobody.
		_ = c.Close()
	}
}
