// Package turnrecorder has the filter that makes the turns of programs durable:
// it reserves a turn's tokens before the turn is sent, puts the earlier turns
// before its input, and stores the turn before its answer ends.
package turnrecorder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/granter"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Turnrecorder reserves and stores turns.
type Turnrecorder struct {
	granter *granter.Granter
	ledger  *ledger.Ledger
	timers  *timer.Service
	domain  ident.Domain
}

// New returns the filter of a VM in a failure domain.
func New(domain ident.Domain, g *granter.Granter, l *ledger.Ledger, timers *timer.Service) *Turnrecorder {
	return &Turnrecorder{granter: g, ledger: l, timers: timers, domain: domain}
}

// Serve passes requests that are no turns.
func (t *Turnrecorder) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	stream, isStream := x.Route.Kind.(routing.Stream)
	program := x.Request.Program
	if !isStream || program == nil || x.Request.Prompt == nil || program.Budget <= 0 && !stream.Retained {
		return next(ctx, x)
	}
	turn := ledger.Turn{Program: program.ID, Turn: x.Request.ID}
	if stream.Retained {
		turn.Previous = program.Previous
	}
	grant, history, err := t.prepare(ctx, x, turn, stream.Retained)
	x.Trace.Reserved = t.timers.Now().Sub(x.Arrived)
	if err != nil {
		return err
	}
	x.Trace.Holder = grant.Holder
	x.Body = slices.Concat(history, x.Request.Body)
	recorder := &recorder{
		Responder: x.Responder, ctx: ctx, exchange: x, ledger: t.ledger, timers: t.timers,
		turn: turn, perEvent: eventTokens(x), retained: stream.Retained,
	}
	x.Responder = recorder
	err = next(ctx, x)
	grant.Return(recorder.used())
	return err
}

// waitShare is the part of the time left in which a turn waits for the store. A
// caller that is refused with time left comes again.
const waitShare = 3

// prepare reserves the turn's tokens, and reads the history of a retained turn at
// the same time.
func (t *Turnrecorder) prepare(ctx context.Context, x *traffic.Exchange, turn ledger.Turn, retained bool) (granter.Grant, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, x.Deadline.Sub(t.timers.Now())/waitShare)
	defer cancel()
	var history []byte
	read := make(chan error, 1)
	if retained {
		go func() {
			var err error
			history, err = t.ledger.History(ctx, turn)
			read <- err
		}()
	} else {
		read <- nil
	}
	grant, err := t.take(ctx, x)
	unread := <-read
	if err != nil {
		return granter.Grant{}, nil, err
	}
	if unread != nil {
		grant.Return(0)
		return granter.Grant{}, nil, unread
	}
	return grant, history, nil
}

// take reserves the turn's tokens. A program without a budget needs no grant.
func (t *Turnrecorder) take(ctx context.Context, x *traffic.Exchange) (granter.Grant, error) {
	program := x.Request.Program
	if program.Budget <= 0 {
		return granter.Grant{Return: func(unit.Tokens) {}}, nil
	}
	return t.granter.Take(ctx, t.domain, escrow.Request{
		Program: program.ID, Budget: program.Budget, Largest: x.Request.Prompt.Output,
	})
}

// eventTokens is the number of tokens in an event of the exchange's pool.
func eventTokens(x *traffic.Exchange) unit.Tokens {
	if engine := x.Table.Pools[x.Pool].Engine; engine != nil && engine.EventTokens > 0 {
		return engine.EventTokens
	}
	return 1
}

// recorder takes down what the caller receives.
type recorder struct {
	traffic.Responder
	ctx      context.Context
	exchange *traffic.Exchange
	ledger   *ledger.Ledger
	timers   *timer.Service
	turn     ledger.Turn
	perEvent unit.Tokens
	retained bool

	status int
	events int
	output []byte
}

func (r *recorder) used() unit.Tokens { return unit.Tokens(r.events) * r.perEvent }

// Begin passes the head of the stream on.
func (r *recorder) Begin(status int, header http.Header) error {
	r.status = status
	return r.Responder.Begin(status, header)
}

// Event counts an event before it is passed on, since a part of it may reach the
// caller even if the rest fails.
func (r *recorder) Event(e upstream.Event) error {
	r.events++
	if r.retained {
		r.output = append(append(r.output, e.Data...), '\n')
	}
	return r.Responder.Event(e)
}

// End stores a retained turn and then completes the answer. A turn that can't be
// stored is broken off, since the caller could not continue it.
func (r *recorder) End() error {
	if !r.retained {
		return r.Responder.End()
	}
	started := r.timers.Now()
	err := r.ledger.Keep(r.ctx, r.turn, r.exchange.Request.Body, r.output)
	r.exchange.Trace.Kept = max(r.timers.Now().Sub(started), time.Nanosecond)
	if err != nil {
		return failure.New(failure.NotDurable, "the turn could not be stored: %v; send it again", errors.Cause(err))
	}
	return r.Responder.End()
}
