package ledger

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/backoff"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/namer"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
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

// named returns the turn with the ids by which the store's rows are named.
func (t Turn) named() Turn {
	t.Program = ident.ProgramID(namer.Name(string(t.Program)))
	t.Turn, t.Previous = ident.RequestID(namer.Name(string(t.Turn))), ident.RequestID(namer.Name(string(t.Previous)))
	return t
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

// Claim claims the memory of a history of a size before it is read. Its error is a refusal.
type Claim func(size unit.Bytes) error

// History returns the text of the turns that a turn continues, the oldest first.
// While the store is unreachable, History waits for it even if the turns are
// cached: a turn that can't be stored would have its response cut off. Errors are
// refusals, of kind not_found if a turn does not exist, and of kind invalid_request if it
// follows itself, or that of the claim.
func (l *Ledger) History(ctx context.Context, t Turn, claim Claim) ([]byte, error) {
	t = t.named()
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
		history, err := l.tryHistory(ctx, t, claim)
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

// recordReachability records whether the store was reached. Errors of cancelled calls and
// of an overloaded VM are ignored, because they say nothing about the store.
func (l *Ledger) recordReachability(ctx context.Context, err error) {
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) && !errors.Is(err, rows.ErrOverloaded) {
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

// RowIDs returns the IDs of all rows of a program's turns. It holds the values of one
// response of the store at a time.
func RowIDs(ctx context.Context, store rows.Store, p ident.ProgramID) ([]rows.ID, error) {
	var ids []rows.ID
	unread := rows.Range{Table: turnsTable, Part: rows.Partition(p), OnePage: true}
	for {
		page, err := store.Read(ctx, unread)
		if err != nil {
			return nil, err
		}
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
		if !page.Truncated {
			return ids, nil
		}
		unread.From = page.Rows[len(page.Rows)-1].Key.After()
	}
}
