// Package server serves stand-ins over HTTP and announces their addresses.
package server

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// headerTimeout limits the time in which a client must send its headers.
const headerTimeout = 10 * time.Second

// Server serves handlers on several addresses.
type Server struct {
	listeners []net.Listener
	servers   []*http.Server
	addresses map[string][]string
}

// New returns a server without listeners.
func New() *Server { return &Server{addresses: map[string][]string{}} }

// Listen binds an address for a handler, to be announced under name.
func (s *Server) Listen(name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, listener)
	s.servers = append(s.servers, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout})
	s.addresses[name] = append(s.addresses[name], listener.Addr().String())
	return nil
}

// Announce writes one line of JSON with the process ID and the bound addresses
// by name.
func (s *Server) Announce(w io.Writer) error {
	body := map[string]any{"pid": os.Getpid()}
	for name, addresses := range s.addresses {
		body[name] = addresses
	}
	return json.NewEncoder(w).Encode(body)
}

// Serve serves until stop is closed or a listener fails, then closes all
// connections. It returns the error of the listener that failed, if any.
func (s *Server) Serve(stop <-chan struct{}) error {
	var group errgroup.Group
	failed := make(chan struct{}, len(s.servers))
	for i, server := range s.servers {
		group.Go(func() error {
			err := server.Serve(s.listeners[i])
			failed <- struct{}{}
			if err == http.ErrServerClosed {
				return nil
			}
			return err
		})
	}
	select {
	case <-stop:
	case <-failed:
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	return group.Wait()
}
