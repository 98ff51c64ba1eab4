// Package dialer sends requests and gossip to other entry VMs.
//
// A connection that gives no sign for too long, or a message that does not
// belong to the request, is closed and never used again. Nothing is sent twice:
// only a request of which no byte was written goes to a second connection.
package dialer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/news"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	defaultHelloLimit     = time.Second
	defaultFirstByteLimit = 3 * time.Second
	defaultBetweenLimit   = 3 * time.Second
	defaultWriteLimit     = 5 * time.Second
	defaultPingInterval   = 5 * time.Second
	// defaultIdleLimit keeps the pings of 440 entry VMs few: only connections
	// in use are kept.
	defaultIdleLimit = 30 * time.Second
	defaultPoolSize  = 4
	// backoff is the delay that callers get when an owner can't be reached.
	backoff = 500 * time.Millisecond
)

// Dialer has the connections to other entry VMs. It may be used concurrently.
type Dialer struct {
	vm             ident.VMID
	key            []byte
	timer          *timer.Service
	logger         zerolog.Logger
	helloLimit     time.Duration
	firstByteLimit time.Duration
	betweenLimit   time.Duration
	writeLimit     time.Duration
	pingInterval   time.Duration
	idleLimit      time.Duration
	poolSize       int

	mu     sync.Mutex
	idle   map[string][]*link
	closed bool
	done   chan struct{}
}

// Option changes how New builds a Dialer.
type Option func(*Dialer)

// WithVM sets the VM that the dialer speaks for.
func WithVM(vm ident.VMID) Option { return func(d *Dialer) { d.vm = vm } }

// WithKey sets the deployment's key.
func WithKey(key []byte) Option { return func(d *Dialer) { d.key = key } }

// WithTimer sets the timer service.
func WithTimer(t *timer.Service) Option { return func(d *Dialer) { d.timer = t } }

// WithLogger sets the log for faults of connections.
func WithLogger(l zerolog.Logger) Option { return func(d *Dialer) { d.logger = l } }

// WithHelloLimit bounds the dial, and each of hello, proof and ping.
func WithHelloLimit(limit time.Duration) Option { return func(d *Dialer) { d.helloLimit = limit } }

// WithSilenceLimits bounds the time without a byte after a request was sent,
// and after the first byte of its answer.
func WithSilenceLimits(firstByte, between time.Duration) Option {
	return func(d *Dialer) { d.firstByteLimit, d.betweenLimit = firstByte, between }
}

// WithWriteLimit bounds a write to a server that does not read.
func WithWriteLimit(limit time.Duration) Option { return func(d *Dialer) { d.writeLimit = limit } }

// WithPingInterval sets the interval of the pings on idle connections.
func WithPingInterval(interval time.Duration) Option {
	return func(d *Dialer) { d.pingInterval = interval }
}

// WithPool sets how many idle connections to an address are kept, and how long
// one that is not used.
func WithPool(size int, idleLimit time.Duration) Option {
	return func(d *Dialer) { d.poolSize, d.idleLimit = size, idleLimit }
}

// New returns a dialer, which pings its idle connections until Close.
func New(options ...Option) *Dialer {
	d := &Dialer{
		timer:          timer.New(),
		logger:         zerolog.Nop(),
		helloLimit:     defaultHelloLimit,
		firstByteLimit: defaultFirstByteLimit,
		betweenLimit:   defaultBetweenLimit,
		writeLimit:     defaultWriteLimit,
		pingInterval:   defaultPingInterval,
		idleLimit:      defaultIdleLimit,
		poolSize:       defaultPoolSize,
		idle:           map[string][]*link{},
		done:           make(chan struct{}),
	}
	for _, option := range options {
		option(d)
	}
	go func() {
		for {
			next := d.timer.After(d.pingInterval)
			select {
			case <-next.C:
				d.pingIdle()
			case <-d.done:
				next.Cancel()
				return
			}
		}
	}()
	return d
}

// Close closes the idle connections; those in use close after their request.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	close(d.done)
	for _, links := range d.idle {
		for _, l := range links {
			l.close()
		}
	}
	d.idle = nil
}

// Forward has the entry VM at address run a request and relays the answer to
// x.Sink or x.Reply. Errors are those of the owner, those of the sink, or have
// the kind owner_unreachable; NotRun is true only if nothing was sent.
func (d *Dialer) Forward(ctx context.Context, address string, x *chain.Exchange) error {
	method, body, err := protocol.Encode(x)
	if err != nil {
		return failure.New(failure.InvalidRequest, "the request can't be forwarded: %v; report this", err)
	}
	_, isCall := x.Request.(request.Call)
	r := &relay{sink: x.Sink, call: protocol.CallOf(x.Request), isCall: isCall}
	var result protocol.Result
	l, err := d.exchange(ctx, address, conversation{method: method, params: body, result: &result, notified: r.take})
	if err != nil {
		return err
	}
	if !isCall {
		reply, err := result.Outcome()
		if err != nil {
			l.close()
			return lost(err)
		}
		d.put(l)
		x.Reply = reply
		return nil
	}
	end, err := r.check(result)
	if err != nil {
		l.close()
		return lost(err)
	}
	d.put(l)
	x.Answer, x.Chunks = end.Answer, end.Chunks
	return errors.Trace(x.Sink.End(end))
}

// Gossip gives own news to the entry VM at address and returns that VM's news.
func (d *Dialer) Gossip(ctx context.Context, address string, own news.News) (news.News, error) {
	var heard news.News
	l, err := d.exchange(ctx, address, conversation{method: protocol.MethodGossip, params: own, result: &heard})
	if err != nil {
		return news.News{}, err
	}
	if heard.VM == "" {
		l.close()
		return news.News{}, lost(errors.NotValidf("news without a VM"))
	}
	d.put(l)
	return heard, nil
}

// exchange sends a request on an idle or a new connection and waits for the
// response. The returned link is free.
func (d *Dialer) exchange(ctx context.Context, address string, c conversation) (*link, error) {
	c.firstByte, c.between = d.firstByteLimit, d.betweenLimit
	for l := d.takeIdle(address); l != nil; l = d.takeIdle(address) {
		err := d.converse(ctx, l, c)
		if !errors.Is(err, errUnwritten) {
			return l, d.settle(l, err)
		}
	}
	l, err := d.dial(ctx, address)
	if err != nil {
		d.logger.Warn().Err(err).Str("address", address).Msg("peer could not be reached")
		return nil, failure.Refusal(failure.OwnerUnreachable, backoff,
			"the entry VM at %s could not be reached: %v; repeat the request", address, err)
	}
	err = d.converse(ctx, l, c)
	if errors.Is(err, errUnwritten) {
		return nil, failure.Refusal(failure.OwnerUnreachable, backoff,
			"the connection to the entry VM at %s was closed before the request was sent; repeat the request", address)
	}
	return l, d.settle(l, err)
}

// settle turns what ended a conversation into the caller's error. A link that
// brought an error of the owner is free, any other is closed already.
func (d *Dialer) settle(l *link, err error) error {
	if err == nil {
		return nil
	}
	if answered, ok := protocol.DecodeError(err); ok {
		d.put(l)
		return answered
	}
	var refused *sinkError
	if errors.As(err, &refused) {
		return errors.Trace(refused.err)
	}
	d.logger.Warn().Err(err).Str("address", l.address).Msg("peer connection closed")
	return lost(err)
}

func lost(err error) error {
	return &failure.Error{
		Kind:       failure.OwnerUnreachable,
		RetryAfter: backoff,
		Message:    "the answer of the program's owner was lost: " + err.Error() + "; repeat the request with the same call id",
	}
}
