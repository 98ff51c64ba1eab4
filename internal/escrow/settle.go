package escrow

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// idleTimeout is how long a reservation is kept without a turn. Programs pause
	// for up to 0.6 s between turns, and for up to 1.5 s for their slowest tool.
	idleTimeout = 2500 * time.Millisecond
	// grantTimeout is how long a grant may stay open. No route lets a turn last
	// longer, so the VM that runs it must have stopped. The turn then counts at its
	// maximum size.
	grantTimeout = 15 * time.Second
	// holderTimeout is the time since the last growth of a reservation after which
	// its VM is assumed to have stopped. Turns last less than 10 s, and idle
	// reservations are settled.
	holderTimeout = 12 * time.Second
	// heldRetryDelay is the retry delay sent to callers while other VMs hold the
	// tokens that a turn needs.
	heldRetryDelay = time.Second
	// settleInterval is the interval between transactions that settle idle
	// reservations.
	settleInterval = 800 * time.Millisecond
	// maxSettleBatch bounds the reservations settled by one transaction, which
	// holds up to 100 entries.
	maxSettleBatch = 45
	// maxSettleAttempts bounds the attempts to settle a batch. Together they span a
	// store outage of half a minute.
	maxSettleAttempts = 40
	// flushTimeout bounds the final settlement during shutdown.
	flushTimeout = 700 * time.Millisecond
)

// Return ends a grant, given the number of tokens that the caller received. The engine of
// the grant is remembered as that of the program, also if the grant has expired.
func (e *Escrow) Return(g Grant, used unit.Tokens) {
	e.placements.Keep(g.Program, g.Engine)
	e.mu.Lock()
	defer e.mu.Unlock()
	if open, ok := e.grants[g.ID]; ok {
		delete(e.grants, g.ID)
		e.closeGrant(open, used)
	}
}

// closeGrant returns the unused tokens of a turn to its reservation.
func (e *Escrow) closeGrant(open openGrant, used unit.Tokens) {
	used = min(max(used, 0), open.maxTokens)
	p := open.reservation
	p.used += used
	p.remaining += open.maxTokens - used
	p.open--
	p.touched = e.timers.Now()
}

// settleIdle settles idle reservations every settleInterval until the context
// ends.
func (e *Escrow) settleIdle(ctx context.Context) {
	for {
		wait := e.timers.After(settleInterval)
		select {
		case <-wait.C:
			e.settle(ctx, e.removeIdle(idleTimeout))
		case <-ctx.Done():
			wait.Cancel()
			return
		}
	}
}

// Flush settles all reservations without open grants. It is called at shutdown.
func (e *Escrow) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	e.settle(ctx, e.removeIdle(0))
}

// removeIdle removes and returns the reservations that were idle for at least
// the given time. It also closes expired grants.
func (e *Escrow) removeIdle(idle time.Duration) []*reservation {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	for id, open := range e.grants {
		if now.Sub(open.at) > grantTimeout {
			delete(e.grants, id)
			e.closeGrant(open, open.maxTokens)
		}
	}
	for program, spent := range e.exhausted {
		if now.After(spent.until) {
			delete(e.exhausted, program)
		}
	}
	var removed []*reservation
	for program, p := range e.reservations {
		if _, growing := e.fetches[program]; !growing && p.open == 0 && now.Sub(p.touched) >= idle {
			removed = append(removed, p)
			delete(e.reservations, program)
		}
	}
	return removed
}

// settle writes the usage of reservations to the store in batches.
func (e *Escrow) settle(ctx context.Context, reservations []*reservation) {
	for len(reservations) > 0 {
		size := min(len(reservations), maxSettleBatch)
		if err := e.settleBatch(ctx, reservations[:size]); err != nil {
			e.onError(errors.Annotatef(err, "settle %d budget reservations, whose tokens remain spent", size))
		}
		reservations = reservations[size:]
	}
}

// settleBatch retries until the reservations are settled. An earlier attempt
// whose response was lost may have settled some of them.
func (e *Escrow) settleBatch(ctx context.Context, reservations []*reservation) error {
	var last error
	for range maxSettleAttempts {
		t, err := settlement(reservations)
		if err != nil {
			return err
		}
		outcome, err := e.store.Commit(ctx, t)
		if conflict, ok := outcome.(rows.Conflict); ok && err == nil {
			if reservations, err = unsettled(reservations, conflict); err != nil || len(reservations) == 0 {
				return err
			}
			continue
		}
		if err == nil {
			return nil
		}
		last = err
		wait := e.timers.After(settleInterval)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Cancel()
			return last
		}
	}
	return last
}

func settlement(reservations []*reservation) (rows.Transaction, error) {
	var t rows.Transaction
	for _, p := range reservations {
		row, err := put(reservationID(p.program, p.id), reservationRow{Amount: p.amount, Used: p.used, Settled: true})
		if err != nil {
			return t, err
		}
		t.Conditions = append(t.Conditions, rows.Condition{ID: row.ID, Version: p.version})
		t.Puts = append(t.Puts, row)
	}
	return t, nil
}

// unsettled returns the reservations whose rows are not settled. A transaction
// whose response was lost may have increased the amount of a row.
func unsettled(reservations []*reservation, conflict rows.Conflict) ([]*reservation, error) {
	var left []*reservation
	for _, p := range reservations {
		row, ok := rows.Find(conflict.Rows, reservationID(p.program, p.id))
		if !ok {
			continue
		}
		var stored reservationRow
		if err := decode(row, &stored); err != nil {
			return nil, err
		}
		if !stored.Settled {
			p.amount, p.version = stored.Amount, row.Version
			left = append(left, p)
		}
	}
	return left, nil
}
