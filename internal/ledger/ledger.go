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
	// defaultReadTimeout bounds the reading of a history. It is a third of the time
	// limit of turns, 4 s, which leaves a refused caller time for another try.
	defaultReadTimeout = 1350 * time.Millisecond
	// defaultStoreTimeout bounds the storing of a turn. Callers abandon a stream
	// after 2 s without an event.
	defaultStoreTimeout = 1700 * time.Millisecond
	// retryDelay is the retry delay sent to callers while the store is unreachable.
	retryDelay = 1500 * time.Millisecond
)

// MaxTextBytes is the size of the input and output of a turn above which it can't be
// stored: a transaction of the platform's store has 1 MB at most.
const MaxTextBytes = 1 << 20

// Turn identifies a turn and the one that it continues.
type Turn struct {
	Program ident.ProgramID
	Turn    ident.RequestID
	// Previous is the turn that this one continues, empty for the first.
	Previous ident.RequestID
	// Account is the client account of the turn, empty for none.
	Account ident.AccountID
	// AccountsIgnored is true if the turn may continue turns of any account.
	AccountsIgnored bool
}

// mayContinue reports whether the turn may continue one of an account. Turns without an
// account may be continued by all, as before accounts were configured.
func (t Turn) mayContinue(account ident.AccountID) bool {
	return account == "" || account == t.Account || t.AccountsIgnored
}

// Ledger reads and stores turns. It is safe for concurrent use.
type Ledger struct {
	store  rows.Store
	timers *timer.Service
	cache  turnCache
	// unreachable is set while the last call of the store failed.
	unreachable  atomic.Bool
	readTimeout  time.Duration
	storeTimeout time.Duration
	// knownVersion returns the lowest version of a recent state of the store, 0 if unknown.
	// It is nil if the store never answers from an old state.
	knownVersion func() rows.Version
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithTimeouts sets the time limits for reading a history and for storing a turn.
func WithTimeouts(read, store time.Duration) Option {
	return func(l *Ledger) { l.readTimeout, l.storeTimeout = read, store }
}

// WithKnownVersion sets the source of the highest version that this VM has seen in an
// answer of the store. The store may answer from a state that is some seconds old and lacks
// the newest turns. Such an answer has a lower version.
func WithKnownVersion(known func() rows.Version) Option {
	return func(l *Ledger) { l.knownVersion = known }
}

// New returns a ledger on a store.
func New(store rows.Store, timers *timer.Service, options ...Option) *Ledger {
	l := &Ledger{store: store, timers: timers, cache: newTurnCache(timers), readTimeout: defaultReadTimeout, storeTimeout: defaultStoreTimeout}
	for _, option := range options {
		option(l)
	}
	return l
}

// History returns the text of the turns that a turn continues, the oldest first.
// While the store is unreachable, History waits for it even if the turns are
// cached: a turn that can't be stored would have its response cut off. Errors are
// refusals, of kind not_found if a turn does not exist, and of kind invalid_request if it
// follows itself.
func (l *Ledger) History(ctx context.Context, t Turn) ([]byte, error) {
	if !l.unreachable.Load() {
		if t.Previous == "" {
			return nil, nil
		}
		if history, ok := l.cache.history(t); ok {
			return history, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, l.readTimeout)
	defer cancel()
	retries := backoff.New(l.timers)
	for {
		history, err := l.tryHistory(ctx, t)
		var known *failure.Error
		if err == nil || errors.As(err, &known) {
			return history, err
		}
		if !retries.Wait(ctx) {
			return nil, failure.Refusal(failure.PlatformUnavailable, retryDelay,
				"the turns before %s could not be read: %v; repeat the request", t.Turn, errors.Cause(err))
		}
	}
}

// tryHistory follows the turns before a turn to the first one. Callers choose the IDs of
// turns, so that turns of different programs may follow each other in a circle.
func (l *Ledger) tryHistory(ctx context.Context, t Turn) ([]byte, error) {
	program, err := l.read(ctx, t.Program)
	if err != nil {
		return nil, err
	}
	var texts [][]byte
	followed := map[rows.ID]bool{}
	for previous := t.Previous; previous != ""; {
		turn, ok := program.turns[previous]
		if !ok {
			if program, err = l.readOwner(ctx, previous); err != nil {
				return nil, err
			}
			turn = program.turns[previous]
		}
		if !t.mayContinue(turn.Account) {
			return nil, notFound(t.Previous)
		}
		id := turnID(program.program, previous)
		if followed[id] {
			return nil, failure.Refusal(failure.InvalidRequest, 0, "turn %s follows itself; start a new session with other ids", previous)
		}
		followed[id] = true
		text, err := program.text(previous)
		if err != nil {
			return nil, err
		}
		l.cache.add(Turn{Turn: previous, Previous: turn.Previous, Account: turn.Account}, text)
		texts = append(texts, text)
		previous = turn.Previous
	}
	slices.Reverse(texts)
	return slices.Concat(texts...), nil
}

func (l *Ledger) read(ctx context.Context, p ident.ProgramID) (*programTurns, error) {
	page, err := l.store.Read(ctx, rows.Range{Table: turnsTable, Part: rows.Partition(p)})
	l.recordReachability(ctx, err)
	if err != nil {
		return nil, err
	}
	return newProgramTurns(p, page)
}

// recordReachability records whether the store was reached. Errors of cancelled
// calls are ignored, because they say nothing about the store.
func (l *Ledger) recordReachability(ctx context.Context, err error) {
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		l.unreachable.Store(err != nil)
	}
}

// readOwner returns the turns of the program that a turn belongs to.
func (l *Ledger) readOwner(ctx context.Context, t ident.RequestID) (*programTurns, error) {
	program, err := l.lookUpProgram(ctx, t)
	if err != nil {
		return nil, err
	}
	owner, err := l.read(ctx, program)
	if err != nil {
		return nil, err
	}
	if _, ok := owner.turns[t]; !ok {
		return nil, errors.Errorf("turn %s is missing in program %s", t, owner.program)
	}
	return owner, nil
}

// lookUpProgram returns the program of a turn. It reports not_found only after it
// has read all parts that may have the row, from a state of the store that is not known to
// be old.
func (l *Ledger) lookUpProgram(ctx context.Context, t ident.RequestID) (ident.ProgramID, error) {
	var known rows.Version
	if l.knownVersion != nil {
		if known = l.knownVersion(); known == 0 {
			return "", errors.New("no version of the store is known, so that an answer may come from an old state")
		}
	}
	var readErr error
	for part := range indexParts {
		id := indexID(t, part)
		page, err := l.store.Read(ctx, rows.Range{Table: id.Table, Part: id.Part})
		if err != nil {
			readErr = err
			continue
		}
		if row, ok := rows.Find(page.Rows, id); ok {
			return ident.ProgramID(row.Value), nil
		}
		if page.Version < known {
			readErr = errors.Errorf("the store answered from an old state, of version %d instead of %d", page.Version, known)
		}
	}
	if readErr != nil {
		return "", readErr
	}
	return "", notFound(t)
}

// notFound returns the error of a turn that does not exist, or belongs to another account.
// Its message does not tell which.
func notFound(t ident.RequestID) error {
	return failure.Refusal(failure.NotFound, 0, "there is no turn %s, or its retention is over; start a new session", t)
}

// RowIDs returns the IDs of all rows of a program's turns.
func RowIDs(ctx context.Context, store rows.Store, p ident.ProgramID) ([]rows.ID, error) {
	page, err := store.Read(ctx, rows.Range{Table: turnsTable, Part: rows.Partition(p)})
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

// Store stores a completed turn. Once it returns nil, every VM can continue the
// turn. After an error the turn may or may not be stored.
func (l *Ledger) Store(ctx context.Context, t Turn, input, output []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.storeTimeout)
	defer cancel()
	write := uuid.NewString()
	text := slices.Concat(input, output)
	retries := backoff.New(l.timers)
	for attempt := 0; ; attempt++ {
		transaction, err := storeTransaction(t, text, write, attempt%indexParts)
		if err != nil {
			return err
		}
		outcome, err := l.store.Commit(ctx, transaction)
		l.recordReachability(ctx, err)
		if err == nil {
			if err = checkOwnRow(outcome, turnID(t.Program, t.Turn), write); err == nil {
				l.cache.add(t, text)
			}
			return err
		}
		if !retries.Wait(ctx) {
			return errors.Annotatef(err, "store turn %s", t.Turn)
		}
	}
}

// checkOwnRow returns an error if a conflict shows that the turn's row has another
// write ID. The row has the same ID if the response to an earlier attempt was lost.
func checkOwnRow(outcome rows.Outcome, own rows.ID, write string) error {
	conflict, ok := outcome.(rows.Conflict)
	if !ok {
		return nil
	}
	row, ok := rows.Find(conflict.Rows, own)
	if !ok {
		return errors.Errorf("row %s of program %s was removed", own.Key, own.Part)
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

// storeTransaction returns the transaction that stores a turn, its text and its
// row in the given part of the index.
func storeTransaction(t Turn, text []byte, write string, index int) (rows.Transaction, error) {
	row := turnRow{Previous: t.Previous, Account: t.Account, Index: index, Write: write}
	var puts []rows.Put
	for chunk := range slices.Chunk(text, maxChunkBytes) {
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
