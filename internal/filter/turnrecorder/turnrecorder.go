// Package turnrecorder has the filter that stores the turns of programs durably: it
// reserves the tokens of a turn before the turn is sent, prepends the earlier turns
// to its input, and stores the turn before the end of its answer is sent.
package turnrecorder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/answerclaimer"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/granter"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
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
	confirm Confirm
}

// Confirm returns an error if the account of an exchange is not certain.
type Confirm func(ctx context.Context, x *traffic.Exchange) error

// Option configures a Turnrecorder.
type Option func(*Turnrecorder)

// WithConfirm sets the check that precedes the answer that a turn was not found. The turn
// may belong to the account to which the key of the request has moved.
func WithConfirm(confirm Confirm) Option { return func(t *Turnrecorder) { t.confirm = confirm } }

// New returns the filter of a VM in a failure domain.
func New(domain ident.Domain, g *granter.Granter, l *ledger.Ledger, timers *timer.Service, options ...Option) *Turnrecorder {
	t := &Turnrecorder{granter: g, ledger: l, timers: timers, domain: domain, confirm: func(context.Context, *traffic.Exchange) error { return nil }}
	for _, option := range options {
		option(t)
	}
	return t
}

// Serve reserves the tokens of a turn and records it. Other requests are passed on
// unchanged.
func (t *Turnrecorder) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	stream, isStream := x.Route.Kind.(routing.Stream)
	program := x.Request.Program
	if !isStream || program == nil || x.Request.Prompt == nil || program.Budget <= 0 && !stream.Retained {
		return next(ctx, x)
	}
	turn := ledger.Turn{Program: program.ID, Turn: x.Request.ID, Account: x.AccountID(), AccountsIgnored: !x.AccountsListed}
	if stream.Retained {
		turn.Previous = program.Previous
	}
	memory := answerclaimer.New(ctx, answerclaimer.WithCopies(outputCopies))
	if stream.Retained {
		if err := checkRetained(x); err != nil {
			return err
		}
		if err := reserve(ctx, memory, x); err != nil {
			return err
		}
	}
	historyMemory := answerclaimer.New(ctx, answerclaimer.WithCopies(historyCopies))
	grant, history, err := t.prepare(ctx, x, turn, stream.Retained, claimHistory(ctx, historyMemory))
	x.Trace.PrepareDuration = t.timers.Now().Sub(x.Arrived)
	if failure.Is(err, failure.NotFound) {
		if unsure := t.confirm(ctx, x); unsure != nil {
			return unsure
		}
	}
	if err != nil {
		return err
	}
	x.Trace.Holder = grant.Holder
	x.Placement = placement(x.Request.Program, grant)
	x.Body = slices.Concat(history, x.Request.Body)
	// The next filter claims the memory of the composed turn.
	historyMemory.Return()
	responder := &turnResponder{
		Responder: x.Responder, ctx: ctx, exchange: x, ledger: t.ledger, timers: t.timers,
		turn: turn, retained: stream.Retained, memory: memory,
	}
	x.Responder = responder
	err = next(ctx, x)
	grant.Return(responder.usedTokens(), x.Trace.Served)
	return err
}

// minRestartDelay and restartSpread give the retry delay of a caller that must send its turn
// again from its start. It need not wait, but the loss of a VM affects many at once.
const (
	minRestartDelay = 100 * time.Millisecond
	restartSpread   = 200 * time.Millisecond
)

// checkRetained refuses a turn that could not be stored whole, before it runs.
func checkRetained(x *traffic.Exchange) error {
	if x.Request.LastEventID > 0 {
		// The beginning of the answer is known to the caller alone.
		return failure.Refusal(failure.NotResumable, minRestartDelay+rand.N(restartSpread),
			"a turn that is kept can't be resumed after event %d; send it again from its start", x.Request.LastEventID)
	}
	return nil
}

// reserve claims the memory for storing a turn, with the output that the caller asks for.
func reserve(ctx context.Context, output *answerclaimer.Answerclaimer, x *traffic.Exchange) error {
	if err := output.Reserve(expectedOutput(x.Request.Prompt)); err != nil {
		return err
	}
	stored := min(unit.Bytes(len(x.Request.Body)), ledger.MaxTransactionBytes)
	return answerclaimer.New(ctx, answerclaimer.WithCopies(transactionCopies)).Reserve(stored)
}

// claimHistory returns the claim of the memory of a history. A history for which there can
// never be room is refused for good.
func claimHistory(ctx context.Context, memory *answerclaimer.Answerclaimer) ledger.Claim {
	return func(size unit.Bytes) error {
		err := memory.Reserve(size)
		if err != nil && !memorylimiter.FromContext(ctx).CanGrow(historyCopies*size) {
			return failure.Refusal(failure.TooLarge, 0,
				"the turns before this one have %d bytes, for which a VM has no memory; start a new session", size)
		}
		return err
	}
}

// storeTimeDivisor divides the time to the deadline: a turn waits for the store for
// a third of it, so that a refused caller has time left to retry.
const storeTimeDivisor = 3

// prepare reserves the tokens of a turn and concurrently reads the history of a
// retained turn.
func (t *Turnrecorder) prepare(ctx context.Context, x *traffic.Exchange, turn ledger.Turn, retained bool, claim ledger.Claim) (granter.Grant, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, x.Deadline.Sub(t.timers.Now())/storeTimeDivisor)
	defer cancel()
	var history []byte
	historyRead := make(chan error, 1)
	if retained {
		go func() {
			var err error
			history, err = t.ledger.History(ctx, turn, claim)
			historyRead <- err
		}()
	} else {
		historyRead <- nil
	}
	grant, err := t.reserve(ctx, x)
	if err != nil {
		// The turn is refused in any case.
		cancel()
	}
	historyErr := <-historyRead
	if err != nil {
		return granter.Grant{}, nil, err
	}
	if historyErr != nil {
		grant.Return(0, upstream.Process{})
		return granter.Grant{}, nil, historyErr
	}
	return grant, history, nil
}

// reserve reserves the tokens of a turn. A program without a budget needs no grant.
func (t *Turnrecorder) reserve(ctx context.Context, x *traffic.Exchange) (granter.Grant, error) {
	program := x.Request.Program
	if program.Budget <= 0 {
		return granter.Grant{Return: func(unit.Tokens, upstream.Process) {}}, nil
	}
	return t.granter.Take(ctx, t.domain, escrow.Request{
		Program: program.ID, Budget: program.Budget, MaxTokens: x.Request.Prompt.Output,
	})
}

// placement returns what is known of the engine of a turn's program. It is nothing for a
// turn that continues another one if the VM that granted it has restarted or is new in
// this role; the hash then finds the engine of most programs.
func placement(p *traffic.Program, g granter.Grant) traffic.Placement {
	switch {
	case !g.Engine.IsZero():
		return traffic.RememberedEngine{Process: g.Engine}
	case p.Budget > 0 && p.Previous == "":
		return traffic.NewProgram{}
	}
	return nil
}

const (
	// outputCopies is the number of copies of the output of a turn: as it grows, as the
	// text of the turn, and as a transaction in base64.
	outputCopies = 5
	// transactionCopies is the number of copies of the input in a transaction in base64, as
	// it is encoded.
	transactionCopies = 3
	// historyCopies is the number of copies of a history: its turns, and as composed.
	historyCopies = 2
	// maxOutputBytes bounds the output of a turn, as that of an answer that is no stream. An
	// upstream may send without end.
	maxOutputBytes = 4 << 20
	// tokenBytes is the size of the text of a token, above that of words of the languages
	// in use.
	tokenBytes unit.Bytes = 8
	// maxReservedOutput bounds the output that is reserved before a turn runs. Callers
	// may state any number of tokens.
	maxReservedOutput unit.Bytes = 16 << 10
)

// expectedOutput returns the size of the longest output that the caller asks for.
func expectedOutput(p *traffic.Prompt) unit.Bytes {
	tokens := min(p.Output, unit.Tokens(maxReservedOutput/tokenBytes))
	return tokenBytes * unit.Bytes(tokens)
}

// turnResponder records the answer that the caller receives.
type turnResponder struct {
	traffic.Responder
	ctx      context.Context
	exchange *traffic.Exchange
	ledger   *ledger.Ledger
	timers   *timer.Service
	turn     ledger.Turn
	retained bool
	// memory claims that of the output.
	memory *answerclaimer.Answerclaimer

	status int
	events int
	output []byte
	// recording is nil before the answer begins, and for a turn that is not kept.
	recording *ledger.Recording
}

func (r *turnResponder) usedTokens() unit.Tokens {
	return unit.Tokens(r.events) * r.exchange.EventTokens()
}

// Complete sends an answer that is no stream. A successful one is an error for a retained
// turn: it is not stored, so that no later turn could continue it.
func (r *turnResponder) Complete(a upstream.Complete) error {
	if r.retained && a.Status/100 == http.StatusOK/100 {
		return failure.New(failure.UpstreamFailed, "the upstream answered a turn with a body that is no stream; the turn may have run")
	}
	return r.Responder.Complete(a)
}

// Begin records the status and sends the head of the stream. The turn now runs, so that it
// is no longer refused.
func (r *turnResponder) Begin(status int, header http.Header) error {
	r.status = status
	if r.retained {
		r.recording = r.ledger.Record(r.ctx, r.turn, r.exchange.Request.Body)
	}
	return r.Responder.Begin(status, header)
}

// Event counts an event before it is sent, since a part of it may reach the caller
// even if sending fails.
func (r *turnResponder) Event(e upstream.Event) error {
	if r.retained {
		if err := r.keep(e.Data); err != nil {
			return err
		}
	}
	r.events++
	return r.Responder.Event(e)
}

// keep adds the data of an event to the output. It waits for memory, and fails if the
// output has become too long.
func (r *turnResponder) keep(data []byte) error {
	size := len(r.output) + len(data) + len("\n")
	if size > maxOutputBytes {
		return failure.New(failure.UpstreamFailed, "the output of the turn has more than %d bytes and is not kept", maxOutputBytes)
	}
	if _, err := r.memory.Hold(r.ctx, unit.Bytes(size)); err != nil {
		return err
	}
	r.output = append(append(r.output, data...), '\n')
	return nil
}

// End stores a retained turn and then completes the answer. If the turn can't be
// stored, the answer is not completed, since no later turn could continue it.
func (r *turnResponder) End() error {
	if !r.retained {
		return r.Responder.End()
	}
	started := r.timers.Now()
	err := r.recording.Store(r.ctx, r.output)
	r.exchange.Trace.StoreDuration = max(r.timers.Now().Sub(started), time.Nanosecond)
	if err != nil {
		return failure.New(failure.NotDurable, "the turn could not be stored: %v; send it again", errors.Cause(err))
	}
	return r.Responder.End()
}
