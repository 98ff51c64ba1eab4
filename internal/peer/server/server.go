// Package server answers the other entry VMs.
//
// A request that came in is worked on to its end, also if the connection is
// lost: the caller repeats the request and joins or replays the answer.
package server

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/news"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	defaultHelloLimit = time.Second
	// defaultAliveInterval is a third of the dialer's default limit on silence,
	// so that one late notification closes no connection.
	defaultAliveInterval = time.Second
	defaultWriteLimit    = 5 * time.Second
	// acceptPause is the pause after a failed accept, which fails again at once
	// while the process has no file descriptors left.
	acceptPause = 100 * time.Millisecond
)

// Gossiper answers the news of another entry VM with the node's own.
type Gossiper func(ctx context.Context, heard news.News) news.News

// Server serves the connections of other entry VMs.
type Server struct {
	listener      net.Listener
	vm            ident.VMID
	key           []byte
	handler       chain.Handler
	gossiper      Gossiper
	timer         *timer.Service
	logger        zerolog.Logger
	helloLimit    time.Duration
	aliveInterval time.Duration
	writeLimit    time.Duration

	// ctx is that of the requests, which outlive their connections.
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	conns   map[*jsonrpc2.Conn]struct{}
	closing bool
}

// Option changes how New builds a Server.
type Option func(*Server)

// WithVM sets the VM that the server speaks for.
func WithVM(vm ident.VMID) Option { return func(s *Server) { s.vm = vm } }

// WithKey sets the deployment's key. Without a key all connections are closed.
func WithKey(key []byte) Option { return func(s *Server) { s.key = key } }

// WithHandler sets what runs the requests.
func WithHandler(h chain.Handler) Option { return func(s *Server) { s.handler = h } }

// WithGossiper sets what answers gossip.
func WithGossiper(g Gossiper) Option { return func(s *Server) { s.gossiper = g } }

// WithTimer sets the timer service.
func WithTimer(t *timer.Service) Option { return func(s *Server) { s.timer = t } }

// WithLogger sets the log for faults of connections.
func WithLogger(l zerolog.Logger) Option { return func(s *Server) { s.logger = l } }

// WithHelloLimit bounds the time from the accept to the dialer's proof.
func WithHelloLimit(d time.Duration) Option { return func(s *Server) { s.helloLimit = d } }

// WithAliveInterval sets the interval of the notifications during a request.
// It must be well below the dialers' limits on silence.
func WithAliveInterval(d time.Duration) Option { return func(s *Server) { s.aliveInterval = d } }

// WithWriteLimit bounds a write to a dialer that does not read.
func WithWriteLimit(d time.Duration) Option { return func(s *Server) { s.writeLimit = d } }

// New returns a server that accepts connections from listener until Close.
func New(listener net.Listener, options ...Option) *Server {
	s := &Server{
		listener:      listener,
		handler:       func(context.Context, *chain.Exchange) error { return errors.NotImplementedf("handler") },
		gossiper:      func(context.Context, news.News) news.News { return news.News{} },
		timer:         timer.New(),
		logger:        zerolog.Nop(),
		helloLimit:    defaultHelloLimit,
		aliveInterval: defaultAliveInterval,
		writeLimit:    defaultWriteLimit,
		conns:         map[*jsonrpc2.Conn]struct{}{},
	}
	for _, option := range options {
		option(s)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				s.logger.Error().Err(err).Msg("accepting a peer connection failed")
				<-s.timer.After(acceptPause).C
				continue
			}
			s.open(conn)
		}
	}()
	return s
}

// Close stops accepting connections and refuses new requests. It returns when
// the requests under way have ended, or with ctx's error when ctx has.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	err := s.listener.Close()
	drained := make(chan struct{})
	go func() {
		s.work.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.cancel()
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	return errors.Trace(err)
}

// open serves a connection and closes it unless the proof comes in time.
func (s *Server) open(conn net.Conn) {
	l := &link{
		server: s,
		stream: protocol.NewStream(conn, s.writeLimit, s.timer.Now),
		proven: make(chan struct{}),
	}
	c := jsonrpc2.NewConn(context.Background(), l.stream, l, jsonrpc2.SetLogger(&s.logger))
	if !s.add(c) {
		_ = c.Close()
		return
	}
	go func() {
		defer s.remove(c)
		late := s.timer.After(s.helloLimit)
		select {
		case <-l.proven:
		case <-late.C:
			_ = c.Close()
		case <-c.DisconnectNotify():
		}
		late.Cancel()
		<-c.DisconnectNotify()
	}()
}

func (s *Server) add(conn *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// begin counts a request, unless the server is closing.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		s.work.Add(1)
	}
	return !s.closing
}
