package escrow

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// idleLimit is how long a part is held that no turn uses. Programs pause for
	// up to 0.6 s to think, and for their slowest tool, up to 1.5 s.
	idleLimit = 2500 * time.Millisecond
	// grantLimit is how long a grant may stay open. No route lets a turn last
	// longer; its VM has stopped, and the turn counts at its largest size.
	grantLimit = 15 * time.Second
	// heldLimit is the age of a part, since it last grew, from which its VM counts
	// as stopped. Turns last less than 10 s, and idle parts are settled.
	heldLimit = 12 * time.Second
	// heldDelay is what callers are told while other VMs hold what a turn needs.
	heldDelay = time.Second
	// settleInterval spaces the transactions that settle idle parts.
	settleInterval = 800 * time.Millisecond
	// settleBatch bounds the parts in one transaction, which holds 100 entries.
	settleBatch = 45
	// settleTries bounds the tries of one batch. They bridge an outage of the
	// store of half a minute.
	settleTries = 40
	// flushLimit bounds the last settlement of a VM that stops.
	flushLimit = 700 * time.Millisecond
)

// Return ends a grant with what the caller received of its turn.
func (e *Escrow) Return(g Grant, used unit.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if open, ok := e.grants[g.ID]; ok {
		delete(e.grants, g.ID)
		e.end(open, used)
	}
}

// end gives what a turn did not use back to its part.
func (e *Escrow) end(open openGrant, used unit.Tokens) {
	used = min(max(used, 0), open.largest)
	p := open.part
	p.used += used
	p.left += open.largest - used
	p.open--
	p.touched = e.timers.Now()
}

// settleIdle settles parts at an interval.
func (e *Escrow) settleIdle(ctx context.Context) {
	for {
		wait := e.timers.After(settleInterval)
		select {
		case <-wait.C:
			e.settle(ctx, e.takeIdle(idleLimit))
		case <-ctx.Done():
			wait.Cancel()
			return
		}
	}
}

// Flush settles all parts that no turn uses. It is called when the VM stops.
func (e *Escrow) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	e.settle(ctx, e.takeIdle(0))
}

// takeIdle removes the parts that were not used for a time. Nothing is granted
// from them any more.
func (e *Escrow) takeIdle(idle time.Duration) []*part {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timers.Now()
	for id, open := range e.grants {
		if now.Sub(open.at) > grantLimit {
			delete(e.grants, id)
			e.end(open, open.largest)
		}
	}
	for program, spent := range e.exhausted {
		if now.After(spent.until) {
			delete(e.exhausted, program)
		}
	}
	var taken []*part
	for program, p := range e.parts {
		if _, growing := e.fetches[program]; !growing && p.open == 0 && now.Sub(p.touched) >= idle {
			taken = append(taken, p)
			delete(e.parts, program)
		}
	}
	return taken
}

// settle writes what was used of parts, several in one transaction.
func (e *Escrow) settle(ctx context.Context, parts []*part) {
	for len(parts) > 0 {
		size := min(len(parts), settleBatch)
		if err := e.settleSome(ctx, parts[:size]); err != nil {
			e.report(errors.Annotatef(err, "%d parts of budgets stay spent", size))
		}
		parts = parts[size:]
	}
}

// settleSome tries until the parts are settled. A part may have been settled by
// an earlier try whose answer was lost.
func (e *Escrow) settleSome(ctx context.Context, parts []*part) error {
	var last error
	for range settleTries {
		t, err := settlement(parts)
		if err != nil {
			return err
		}
		outcome, err := e.store.Commit(ctx, t)
		if conflict, ok := outcome.(rows.Conflict); ok && err == nil {
			if parts, err = unsettled(parts, conflict); err != nil || len(parts) == 0 {
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

func settlement(parts []*part) (rows.Transaction, error) {
	var t rows.Transaction
	for _, p := range parts {
		row, err := put(partID(p.program, p.id), partRow{Amount: p.amount, Used: p.used, Settled: true})
		if err != nil {
			return t, err
		}
		t.Conditions = append(t.Conditions, rows.Condition{ID: row.ID, Version: p.version})
		t.Puts = append(t.Puts, row)
	}
	return t, nil
}

// unsettled returns the parts whose rows are not settled. A row may have grown by
// a transaction whose answer was lost.
func unsettled(parts []*part, conflict rows.Conflict) ([]*part, error) {
	var left []*part
	for _, p := range parts {
		row, ok := rows.Find(conflict.Rows, partID(p.program, p.id))
		if !ok {
			continue
		}
		var stored partRow
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
