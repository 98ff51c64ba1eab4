package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// defaultReserveLimit bounds the wait for a reservation. Two answers of a
	// store that is sixty times slower than usual (4 ms) fit.
	defaultReserveLimit = 900 * time.Millisecond
	// defaultKeepLimit bounds the wait until a turn is stored. Callers give a
	// stream up after 2 s without an event.
	defaultKeepLimit = 1700 * time.Millisecond
	// conflictPause spaces tries after a refusal of the store.
	conflictPause = 25 * time.Millisecond
	// retryDelay is what callers are told when the store can't be reached.
	retryDelay = time.Second
)

// Turn is a turn that is to run.
type Turn struct {
	Program ident.ProgramID
	Turn    ident.RequestID
	// Previous is the turn that this one continues, empty for the first.
	Previous ident.RequestID
	Budget   unit.Tokens
	Largest  unit.Tokens
	// Retained turns are kept with their text.
	Retained bool
}

// Reservation is the durable permission to run a turn.
type Reservation struct {
	Turn Turn
	// History is the text of the turns that this one continues.
	History []byte

	previousProgram ident.ProgramID
	version         rows.Version
}

// Ledger reserves, settles and keeps turns. It may be used by several
// goroutines.
type Ledger struct {
	store        rows.Store
	timers       *timer.Service
	reserveLimit time.Duration
	keepLimit    time.Duration
	settlements  chan settlement
	report       func(error)
}

// Option changes how New builds a Ledger.
type Option func(*Ledger)

// WithLimits sets how long a reservation and the storing of a turn may take.
func WithLimits(reserve, keep time.Duration) Option {
	return func(l *Ledger) { l.reserveLimit, l.keepLimit = reserve, keep }
}

// WithReport sets what is told of settlements that were given up.
func WithReport(report func(error)) Option {
	return func(l *Ledger) { l.report = report }
}

// New returns a ledger on a store. It settles turns in the background until the
// context ends.
func New(ctx context.Context, store rows.Store, timers *timer.Service, options ...Option) *Ledger {
	l := &Ledger{
		store:        store,
		timers:       timers,
		reserveLimit: defaultReserveLimit,
		keepLimit:    defaultKeepLimit,
		settlements:  make(chan settlement, settlementQueue),
		report:       func(error) {},
	}
	for _, option := range options {
		option(l)
	}
	settler := &settler{ledger: l}
	go settler.run(ctx)
	return l
}

// Reserve makes room for a turn in its program's budget and reads its history.
// Errors are refusals: the turn did not run, and the budget may count it until
// the program ends.
func (l *Ledger) Reserve(ctx context.Context, t Turn) (*Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, l.reserveLimit)
	defer cancel()
	for {
		reservation, err := l.tryReserve(ctx, t)
		if err == nil && reservation != nil {
			return reservation, nil
		}
		var known *failure.Error
		if errors.As(err, &known) {
			return nil, known
		}
		if !l.pause(ctx, err) {
			return nil, failure.Refusal(failure.PlatformUnavailable, retryDelay,
				"the turn's budget could not be reserved: %v; repeat the request", reason(err))
		}
	}
}

// reason names a conflict, for which there is no error.
func reason(err error) string {
	if err == nil {
		return "other turns of the program were reserved meanwhile"
	}
	return err.Error()
}

// pause waits before the next try and reports whether there is time for one.
func (l *Ledger) pause(ctx context.Context, err error) bool {
	if err == nil {
		return ctx.Err() == nil
	}
	wait := l.timers.After(conflictPause)
	defer wait.Cancel()
	select {
	case <-wait.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// tryReserve returns nil without an error if another turn was faster.
func (l *Ledger) tryReserve(ctx context.Context, t Turn) (*Reservation, error) {
	page, err := l.store.Read(ctx, rows.Range{Table: programsTable, Part: programPart(t.Program)})
	if err != nil {
		return nil, err
	}
	a, err := newAccount(t.Program, page)
	if err != nil {
		return nil, err
	}
	reservation := &Reservation{Turn: t}
	if t.Previous != "" {
		if err := l.readHistory(ctx, a, reservation); err != nil {
			return nil, err
		}
	}
	if own, ok := a.turns[t.Turn]; ok {
		reservation.version = own.version
		return reservation, nil
	}
	if spent := a.spent(); spent+t.Largest > t.Budget {
		return nil, failure.Refusal(failure.BudgetExhausted, 0,
			"program %s has spent or reserved %d of %d tokens and the turn needs up to %d; end the program or give it a larger budget",
			t.Program, spent, t.Budget, t.Largest)
	}
	budget, err := put(budgetID(t.Program), budgetRow{Reserved: a.budget.Reserved + t.Largest})
	if err != nil {
		return nil, err
	}
	turn, err := put(turnID(t.Program, t.Turn), reservation.row())
	if err != nil {
		return nil, err
	}
	outcome, err := l.store.Commit(ctx, rows.Transaction{
		Conditions: []rows.Condition{{ID: budget.ID, Version: a.version}, {ID: turn.ID}},
		Puts:       []rows.Put{budget, turn},
	})
	if err != nil {
		return nil, err
	}
	switch outcome := outcome.(type) {
	case rows.Committed:
		reservation.version = outcome.Version
		return reservation, nil
	case rows.Conflict:
		if own, ok := rows.Find(outcome.Rows, turn.ID); ok {
			// The answer to an earlier try was lost.
			reservation.version = own.Version
			return reservation, nil
		}
	}
	return nil, nil
}

// row is the turn's row as it is reserved.
func (r *Reservation) row() turnRow {
	return turnRow{Largest: r.Turn.Largest, Previous: r.Turn.Previous, PreviousProgram: r.previousProgram}
}

// readHistory follows the turns before a turn to the first one.
func (l *Ledger) readHistory(ctx context.Context, a *account, r *Reservation) error {
	var texts [][]byte
	previous := r.Turn.Previous
	for previous != "" {
		turn, ok := a.turns[previous]
		if !ok {
			other, err := l.findProgram(ctx, previous)
			if err != nil {
				return err
			}
			a, turn = other, other.turns[previous]
		}
		if !turn.Complete {
			return failure.Refusal(failure.NotDurable, retryDelay, "turn %s is not stored whole; repeat the request", previous)
		}
		if r.previousProgram == "" {
			r.previousProgram = a.program
		}
		text, err := a.text(previous)
		if err != nil {
			return err
		}
		texts = append(texts, text)
		previous = turn.Previous
	}
	for i := len(texts) - 1; i >= 0; i-- {
		r.History = append(r.History, texts[i]...)
	}
	return nil
}

// findProgram returns the account of the program that a turn belongs to.
func (l *Ledger) findProgram(ctx context.Context, t ident.RequestID) (*account, error) {
	index, err := l.store.Read(ctx, rows.Range{Table: indexTable, Part: rows.Part(t)})
	if err != nil {
		return nil, err
	}
	row, ok := rows.Find(index.Rows, indexID(t))
	if !ok {
		return nil, failure.Refusal(failure.NotFound, 0, "there is no turn %s, or its retention is over; start a new line of turns", t)
	}
	program := ident.ProgramID(row.Value)
	page, err := l.store.Read(ctx, rows.Range{Table: programsTable, Part: programPart(program)})
	if err != nil {
		return nil, err
	}
	return newAccount(program, page)
}
