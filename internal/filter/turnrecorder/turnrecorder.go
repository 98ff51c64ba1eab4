// Package turnrecorder has the filter that makes the turns of programs durable:
// it reserves a turn's tokens before the turn is sent, puts the earlier turns
// before its input, and stores the turn before its answer ends.
package turnrecorder

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Turnrecorder reserves and stores turns.
type Turnrecorder struct {
	ledger *ledger.Ledger
	timers *timer.Service
}

// New returns the filter on a ledger.
func New(l *ledger.Ledger, timers *timer.Service) *Turnrecorder {
	return &Turnrecorder{ledger: l, timers: timers}
}

// Serve passes requests that are no turns.
func (t *Turnrecorder) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	stream, isStream := x.Route.Kind.(routing.Stream)
	program := x.Request.Program
	if !isStream || program == nil || program.Budget <= 0 || x.Request.Prompt == nil {
		return next(ctx, x)
	}
	turn := ledger.Turn{
		Program:  program.ID,
		Turn:     x.Request.ID,
		Budget:   program.Budget,
		Largest:  x.Request.Prompt.Output,
		Retained: stream.Retained,
	}
	if stream.Retained {
		turn.Previous = program.Previous
	}
	reservation, err := t.ledger.Reserve(ctx, turn)
	x.Trace.Reserved = t.timers.Now().Sub(x.Arrived)
	if err != nil {
		return err
	}
	x.Body = append(reservation.History, x.Request.Body...)
	recorder := &recorder{
		Responder: x.Responder, ctx: ctx, exchange: x, ledger: t.ledger, timers: t.timers,
		reservation: reservation, perEvent: eventTokens(x), retained: stream.Retained,
	}
	x.Responder = recorder
	err = next(ctx, x)
	if !recorder.kept {
		t.ledger.Settle(reservation, recorder.used())
	}
	return err
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
	ctx         context.Context
	exchange    *traffic.Exchange
	ledger      *ledger.Ledger
	timers      *timer.Service
	reservation *ledger.Reservation
	perEvent    unit.Tokens
	retained    bool

	status int
	events int
	output []byte
	kept   bool
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
	err := r.ledger.Keep(r.ctx, r.reservation, r.exchange.Request.Body, r.output, r.used())
	r.exchange.Trace.Kept = max(r.timers.Now().Sub(started), time.Nanosecond)
	if err != nil {
		return failure.New(failure.NotDurable, "the turn could not be stored: %v; send it again", err)
	}
	r.kept = true
	return r.Responder.End()
}
