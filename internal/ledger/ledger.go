package ledger

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/backoff"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// defaultReadLimit bounds the wait for a history. Two answers of a store
	// that is sixty times slower than usual (4 ms) fit.
	defaultReadLimit = 900 * time.Millisecond
	// defaultKeepLimit bounds the wait until a turn is stored. Callers give a
	// stream up after 2 s without an event.
	defaultKeepLimit = 1700 * time.Millisecond
	// retryDelay is what callers are told when the store can't be reached.
	retryDelay = 1500 * time.Millisecond
)

// Turn names a turn and the one that it continues.
type Turn struct {
	Program ident.ProgramID
	Turn    ident.RequestID
	// Previous is the turn that this one continues, empty for the first.
	Previous ident.RequestID
}

// Ledger reads and stores turns. It may be used by several goroutines.
type Ledger struct {
	store  rows.Store
	timers *timer.Service
	recent recent
	// away is set while the last call of the store failed.
	away      atomic.Bool
	readLimit time.Duration
	keepLimit time.Duration
}

// Option changes how New builds a Ledger.
type Option func(*Ledger)

// WithLimits sets how long the reading of a history and the storing of a turn
// may take.
func WithLimits(read, keep time.Duration) Option {
	return func(l *Ledger) { l.readLimit, l.keepLimit = read, keep }
}

// New returns a ledger on a store.
func New(store rows.Store, timers *timer.Service, options ...Option) *Ledger {
	l := &Ledger{store: store, timers: timers, recent: newRecent(timers), readLimit: defaultReadLimit, keepLimit: defaultKeepLimit}
	for _, option := range options {
		option(l)
	}
	return l
}

// History returns the text of the turns that a turn continues, the oldest first.
// While the store is away it waits for it, whatever is remembered: the turn could
// not be stored, and its answer would be cut in vain. Errors are refusals: of
// kind not_found if there is no such turn.
func (l *Ledger) History(ctx context.Context, t Turn) ([]byte, error) {
	if !l.away.Load() {
		if t.Previous == "" {
			return nil, nil
		}
		if history, ok := l.recent.history(t.Previous); ok {
			return history, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, l.readLimit)
	defer cancel()
	pauses := backoff.New(l.timers)
	for {
		history, err := l.tryHistory(ctx, t)
		var known *failure.Error
		if err == nil || errors.As(err, &known) {
			return history, err
		}
		if !pauses.Wait(ctx) {
			return nil, failure.Refusal(failure.PlatformUnavailable, retryDelay,
				"the turns before %s could not be read: %v; repeat the request", t.Turn, errors.Cause(err))
		}
	}
}

// tryHistory follows the turns before a turn to the first one.
func (l *Ledger) tryHistory(ctx context.Context, t Turn) ([]byte, error) {
	a, err := l.read(ctx, t.Program)
	if err != nil {
		return nil, err
	}
	var texts [][]byte
	for previous := t.Previous; previous != ""; {
		turn, ok := a.turns[previous]
		if !ok {
			if a, err = l.findProgram(ctx, previous); err != nil {
				return nil, err
			}
			turn = a.turns[previous]
		}
		text, err := a.text(previous)
		if err != nil {
			return nil, err
		}
		l.recent.add(previous, turn.Previous, text)
		texts = append(texts, text)
		previous = turn.Previous
	}
	slices.Reverse(texts)
	return slices.Concat(texts...), nil
}

func (l *Ledger) read(ctx context.Context, p ident.ProgramID) (*account, error) {
	page, err := l.store.Read(ctx, rows.Range{Table: turnsTable, Part: rows.Part(p)})
	l.note(ctx, err)
	if err != nil {
		return nil, err
	}
	return newAccount(p, page)
}

// note notes whether the store was reached. A caller that left says nothing
// about it.
func (l *Ledger) note(ctx context.Context, err error) {
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		l.away.Store(err != nil)
	}
}

// findProgram returns the account of the program that a turn belongs to.
func (l *Ledger) findProgram(ctx context.Context, t ident.RequestID) (*account, error) {
	program, err := l.lookUp(ctx, t)
	if err != nil {
		return nil, err
	}
	a, err := l.read(ctx, program)
	if err != nil {
		return nil, err
	}
	if _, ok := a.turns[t]; !ok {
		return nil, errors.Errorf("turn %s is missing in program %s", t, a.program)
	}
	return a, nil
}

// lookUp returns the program of a turn. There is none only if all parts were
// read in which the row may be.
func (l *Ledger) lookUp(ctx context.Context, t ident.RequestID) (ident.ProgramID, error) {
	var unread error
	for part := range indexParts {
		id := indexID(t, part)
		page, err := l.store.Read(ctx, rows.Range{Table: id.Table, Part: id.Part})
		if err != nil {
			unread = err
			continue
		}
		if row, ok := rows.Find(page.Rows, id); ok {
			return ident.ProgramID(row.Value), nil
		}
	}
	if unread != nil {
		return "", unread
	}
	return "", failure.Refusal(failure.NotFound, 0, "there is no turn %s, or its retention is over; start a new line of turns", t)
}

// Stored returns the rows of a program's turns.
func Stored(ctx context.Context, store rows.Store, p ident.ProgramID) ([]rows.ID, error) {
	page, err := store.Read(ctx, rows.Range{Table: turnsTable, Part: rows.Part(p)})
	if err != nil {
		return nil, err
	}
	var ids []rows.ID
	for _, row := range page.Rows {
		ids = append(ids, row.ID)
		turn, ok := strings.CutPrefix(string(row.Key), turnPrefix)
		if !ok {
			continue
		}
		var stored turnRow
		if err := decode(row, &stored); err != nil {
			return nil, err
		}
		ids = append(ids, indexID(ident.RequestID(turn), stored.Index))
	}
	return ids, nil
}

// Keep stores a turn that was answered whole. Once it returns nil, every VM can
// continue the turn. After an error the turn may or may not be stored.
func (l *Ledger) Keep(ctx context.Context, t Turn, input, output []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.keepLimit)
	defer cancel()
	write := uuid.NewString()
	text := slices.Concat(input, output)
	pauses := backoff.New(l.timers)
	for try := 0; ; try++ {
		transaction, err := keeping(t, text, write, try%indexParts)
		if err != nil {
			return err
		}
		outcome, err := l.store.Commit(ctx, transaction)
		l.note(ctx, err)
		if err == nil {
			if err = kept(outcome, turnID(t.Program, t.Turn), write); err == nil {
				l.recent.add(t.Turn, t.Previous, text)
			}
			return err
		}
		if !pauses.Wait(ctx) {
			return errors.Annotatef(err, "turn %s was not stored", t.Turn)
		}
	}
}

// kept finds out whether the turn's row is that of the write, which it is after
// a lost answer.
func kept(outcome rows.Outcome, own rows.ID, write string) error {
	conflict, ok := outcome.(rows.Conflict)
	if !ok {
		return nil
	}
	row, ok := rows.Find(conflict.Rows, own)
	if !ok {
		return errors.Errorf("row %s of program %s is gone", own.Key, own.Part)
	}
	var turn turnRow
	if err := decode(row, &turn); err != nil {
		return err
	}
	if turn.Write != write {
		return errors.Errorf("row %s of program %s was written by another request", own.Key, own.Part)
	}
	return nil
}

// keeping is the transaction that stores a turn and its place in a part of the
// index.
func keeping(t Turn, text []byte, write string, index int) (rows.Transaction, error) {
	row := turnRow{Previous: t.Previous, Index: index, Write: write}
	var puts []rows.Put
	for chunk := range slices.Chunk(text, textChunk) {
		puts = append(puts, rows.Put{ID: textID(t.Program, t.Turn, row.Chunks), Value: chunk})
		row.Chunks++
	}
	encoded, err := json.Marshal(row)
	if err != nil {
		return rows.Transaction{}, errors.Annotatef(err, "encode turn %s", t.Turn)
	}
	own := turnID(t.Program, t.Turn)
	puts = append(puts, rows.Put{ID: own, Value: encoded}, rows.Put{ID: indexID(t.Turn, index), Value: []byte(t.Program)})
	return rows.Transaction{Conditions: []rows.Condition{{ID: own}}, Puts: puts}, nil
}
