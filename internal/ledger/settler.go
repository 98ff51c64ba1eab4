package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// settlementQueue bounds the settlements that wait. Turns beyond it stay
	// reserved at their largest size.
	settlementQueue = 1024
	// settlementBatch bounds the settlements of one transaction, which holds at
	// most 100 entries of conditions and puts.
	settlementBatch = 40
	// settlementDelay is how long a settlement waits for others, so that one
	// call to the store carries several.
	settlementDelay = 200 * time.Millisecond
	// settlementTries bounds the tries of one batch, with a pause of
	// settlementDelay between them. They bridge an outage of a few seconds.
	settlementTries = 40
)

type settlement struct {
	reservation *Reservation
	used        unit.Tokens
}

// Settle notes what callers received of a turn that is not kept. It does not
// wait for the store.
func (l *Ledger) Settle(r *Reservation, used unit.Tokens) {
	select {
	case l.settlements <- settlement{reservation: r, used: min(used, r.Turn.Largest)}:
	default:
		l.report(errors.Errorf("turn %s of program %s stays reserved: too many settlements wait", r.Turn.Turn, r.Turn.Program))
	}
}

// settler writes settlements in batches.
type settler struct {
	ledger *Ledger
}

func (s *settler) run(ctx context.Context) {
	for {
		select {
		case first := <-s.ledger.settlements:
			s.write(ctx, s.gather(ctx, first))
		case <-ctx.Done():
			return
		}
	}
}

// gather collects the settlements that come within the delay.
func (s *settler) gather(ctx context.Context, first settlement) []settlement {
	batch := []settlement{first}
	wait := s.ledger.timers.After(settlementDelay)
	defer wait.Cancel()
	for len(batch) < settlementBatch {
		select {
		case next := <-s.ledger.settlements:
			batch = append(batch, next)
		case <-wait.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// write applies a batch. A settlement whose row has another version was applied
// by an earlier try whose answer was lost; it is left out of the next try.
func (s *settler) write(ctx context.Context, batch []settlement) {
	var last error
	for range settlementTries {
		transaction, err := settling(batch)
		if err != nil {
			s.ledger.report(err)
			return
		}
		outcome, err := s.ledger.store.Commit(ctx, transaction)
		if err == nil {
			conflict, ok := outcome.(rows.Conflict)
			if !ok {
				return
			}
			if batch = unsettled(batch, conflict); len(batch) == 0 {
				return
			}
			continue
		}
		last = err
		wait := s.ledger.timers.After(settlementDelay)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Cancel()
			return
		}
	}
	s.ledger.report(errors.Annotatef(last, "%d turns stay reserved at their largest size", len(batch)))
}

func settling(batch []settlement) (rows.Transaction, error) {
	var t rows.Transaction
	for _, s := range batch {
		row := s.reservation.row()
		row.Used, row.Settled = s.used, true
		turn, err := put(turnID(s.reservation.Turn.Program, s.reservation.Turn.Turn), row)
		if err != nil {
			return rows.Transaction{}, err
		}
		t.Conditions = append(t.Conditions, rows.Condition{ID: turn.ID, Version: s.reservation.version})
		t.Puts = append(t.Puts, turn)
	}
	return t, nil
}

// unsettled returns the settlements whose rows are as they were reserved.
func unsettled(batch []settlement, conflict rows.Conflict) []settlement {
	var left []settlement
	for _, s := range batch {
		row, ok := rows.Find(conflict.Rows, turnID(s.reservation.Turn.Program, s.reservation.Turn.Turn))
		if ok && row.Version == s.reservation.version {
			left = append(left, s)
		}
	}
	return left
}
