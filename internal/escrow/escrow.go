package escrow

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/placementkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// DefaultTimeout bounds how long a turn waits for the store. It is a third of the
	// time limit of turns, 4 s, which leaves a refused caller time for another try.
	DefaultTimeout = 1350 * time.Millisecond
	// PeerTimeout bounds how long a request from another VM waits for the store. The
	// other VM retries. Most responses of the store take 4 to 30 ms.
	PeerTimeout = 150 * time.Millisecond
	// retryDelay is the retry delay sent to callers while the store is unreachable.
	retryDelay = 1500 * time.Millisecond
	// maxGrowthTurns bounds the growth of a reservation, in turns of the requested
	// size. Most turns use a quarter of that size, so that one transaction is
	// enough for most programs.
	maxGrowthTurns = 6
	// growthDivisor limits the growth of a reservation to this fraction of the
	// remaining budget, unless a turn needs more, because the reservation is lost
	// if its VM fails.
	growthDivisor = 2
	// exhaustedTTL is how long a VM remembers an exhausted budget and starts from
	// its balance. Programs in a loop send many turns at once, each of which would
	// otherwise attempt a transaction.
	exhaustedTTL = 5 * time.Second
	// finalTTL replaces exhaustedTTL if no tokens can return to the budget. Programs
	// in a loop continue for tens of seconds.
	finalTTL = time.Minute
)

// Request asks for the tokens of a turn.
type Request struct {
	Program ident.ProgramID `json:"program"`
	// Budget is the budget of the whole program.
	Budget unit.Tokens `json:"budget"`
	// MaxTokens is the maximum number of tokens that the turn can use.
	MaxTokens unit.Tokens `json:"largest"`
}

// Grant permits one turn.
type Grant struct {
	ID        string          `json:"id"`
	Program   ident.ProgramID `json:"program"`
	MaxTokens unit.Tokens     `json:"largest"`
	// Engine is the engine that served the program before, and in a returned grant the
	// one that served the turn. It is zero if there is none.
	Engine upstream.Process `json:"engine,omitzero"`
}

// reservation is a portion of a budget that this VM has reserved.
type reservation struct {
	id      string
	program ident.ProgramID
	version rows.Version
	amount  unit.Tokens
	// remaining counts the tokens that can still be granted, used those that
	// callers received.
	remaining, used unit.Tokens
	// open is the number of grants that were not returned yet.
	open    int
	touched time.Time
	// balance is the budget as of the last transaction on the reservation.
	balance balance
}

// openGrant is a grant that was not returned yet.
type openGrant struct {
	reservation *reservation
	maxTokens   unit.Tokens
	at          time.Time
}

// fetch is a pending transaction that creates or grows a reservation.
type fetch struct {
	// reservation is the reservation as it was when the fetch began.
	reservation reservation
	// balance is the budget as known when the fetch began.
	balance balance
	// maxTokens is the size of the turn that began the fetch.
	maxTokens unit.Tokens
	done      chan struct{}
	err       error
}

// refuses reports whether the error of the fetch is also that of a turn that waited for it.
// A smaller turn may still be covered by a budget that is exhausted for a larger one.
func (f *fetch) refuses(r Request) bool {
	return f.err != nil && (r.MaxTokens >= f.maxTokens || !failure.Is(f.err, failure.BudgetExhausted))
}

// exhaustion records that a budget was found exhausted.
type exhaustion struct {
	until   time.Time
	balance balance
	// remaining counts the tokens that remain in this VM's reservation.
	remaining unit.Tokens
	// final is set if no unsettled reservation could return tokens.
	final bool
}

// refusalFor returns the refusal of a turn that the budget can no longer cover,
// or nil if the store has to be asked.
func (x exhaustion) refusalFor(r Request, now time.Time) *failure.Error {
	if !x.final || now.After(x.until) || x.balance.spent()+r.MaxTokens-x.remaining <= r.Budget {
		return nil
	}
	return refusal(r, reservation{remaining: x.remaining}, x.balance)
}

// Escrow holds budget reservations. It is safe for concurrent use.
type Escrow struct {
	store   rows.Store
	timers  *timer.Service
	timeout time.Duration
	onError func(error)
	onUse   func(ident.ProgramID)
	// placements has the engines of the programs whose turns this VM grants.
	placements *placementkeeper.Placementkeeper

	mu           sync.Mutex
	reservations map[ident.ProgramID]*reservation
	grants       map[string]openGrant
	// exhausted has the programs whose budget was found exhausted.
	exhausted map[ident.ProgramID]exhaustion
	fetches   map[ident.ProgramID]*fetch
}

// Option configures an Escrow.
type Option func(*Escrow)

// WithTimeout sets how long a turn may wait for the store.
func WithTimeout(timeout time.Duration) Option {
	return func(e *Escrow) { e.timeout = timeout }
}

// WithOnError sets the function called when reservations could not be settled.
func WithOnError(onError func(error)) Option {
	return func(e *Escrow) { e.onError = onError }
}

// WithOnUse sets the function called before rows of a program are written.
func WithOnUse(onUse func(ident.ProgramID)) Option {
	return func(e *Escrow) { e.onUse = onUse }
}

// New returns an escrow on a store. It settles idle reservations until the
// context ends.
func New(ctx context.Context, store rows.Store, timers *timer.Service, options ...Option) *Escrow {
	e := &Escrow{
		store: store, timers: timers, placements: placementkeeper.New(timers), timeout: DefaultTimeout, onError: func(error) {}, onUse: func(ident.ProgramID) {},
		reservations: map[ident.ProgramID]*reservation{}, grants: map[string]openGrant{}, exhausted: map[ident.ProgramID]exhaustion{}, fetches: map[ident.ProgramID]*fetch{},
	}
	for _, option := range options {
		option(e)
	}
	go e.settleIdle(ctx)
	return e
}

// Take grants a turn. An error is a refusal: the turn did not run.
func (e *Escrow) Take(ctx context.Context, r Request) (Grant, error) {
	if r.MaxTokens > r.Budget {
		// No balance can cover it, and sums with it may overflow.
		return Grant{}, refusal(r, reservation{}, balance{})
	}
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	for {
		if ctx.Err() != nil {
			// No caller would wait for the fetch.
			return Grant{}, unavailable(ctx.Err())
		}
		grant, wait, err := e.tryTake(r)
		if err != nil {
			return Grant{}, err
		}
		if wait == nil {
			return grant, nil
		}
		if wait.owned {
			go e.runFetch(context.WithoutCancel(ctx), r, wait.fetch)
		}
		select {
		case <-wait.fetch.done:
		case <-ctx.Done():
			return Grant{}, unavailable(ctx.Err())
		}
		if wait.fetch.refuses(r) {
			return Grant{}, wait.fetch.err
		}
	}
}

func unavailable(err error) *failure.Error {
	return failure.Refusal(failure.PlatformUnavailable, retryDelay, "the turn's budget could not be reserved: %v; repeat the request", errors.Cause(err))
}

// pending is a fetch that a turn waits for. owned is set for the turn that
// started it.
type pending struct {
	fetch *fetch
	owned bool
}

// tryTake grants a turn from the current reservation, or refuses it if the
// budget is known to be exhausted. Otherwise it returns the fetch to wait for.
func (e *Escrow) tryTake(r Request) (Grant, *pending, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.reservations[r.Program]
	if p != nil && p.remaining >= r.MaxTokens {
		p.remaining -= r.MaxTokens
		p.open++
		p.touched = e.timers.Now()
		grant := Grant{ID: uuid.NewString(), Program: r.Program, MaxTokens: r.MaxTokens, Engine: e.placements.Find(r.Program)}
		e.grants[grant.ID] = openGrant{reservation: p, maxTokens: r.MaxTokens, at: p.touched}
		return grant, nil, nil
	}
	if running, ok := e.fetches[r.Program]; ok {
		return Grant{}, &pending{fetch: running}, nil
	}
	if refused := e.exhausted[r.Program].refusalFor(r, e.timers.Now()); refused != nil {
		return Grant{}, nil, refused
	}
	started := &fetch{
		done: make(chan struct{}), maxTokens: r.MaxTokens, reservation: reservation{id: uuid.NewString(), program: r.Program}, balance: e.exhausted[r.Program].balance,
	}
	if p != nil {
		started.reservation, started.balance = *p, p.balance
	}
	e.fetches[r.Program] = started
	return Grant{}, &pending{fetch: started, owned: true}, nil
}

// runFetch executes a fetch. It continues if the turn that started it is
// cancelled, because other turns may wait for it.
func (e *Escrow) runFetch(ctx context.Context, r Request, f *fetch) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	e.onUse(r.Program)
	grown, b, err := e.grow(ctx, r, f.reservation, f.balance)
	e.mu.Lock()
	defer e.mu.Unlock()
	f.err = err
	if err == nil {
		p := e.reservations[r.Program]
		if p == nil {
			p = &reservation{id: grown.id, program: r.Program}
			e.reservations[r.Program] = p
		}
		p.remaining += grown.amount - p.amount
		p.amount, p.version, p.balance, p.touched = grown.amount, grown.version, grown.balance, e.timers.Now()
	}
	if failure.Is(err, failure.BudgetExhausted) {
		e.exhausted[r.Program] = e.newExhaustion(r.Program, b)
	}
	delete(e.fetches, r.Program)
	close(f.done)
}

// newExhaustion returns the record of a budget whose balance is exhausted.
func (e *Escrow) newExhaustion(program ident.ProgramID, b balance) exhaustion {
	x := exhaustion{until: e.timers.Now().Add(exhaustedTTL), final: b.complete && b.unsettled == 0}
	if own := e.reservations[program]; own != nil {
		x.remaining = own.remaining
		x.final = x.final && own.open == 0
	}
	if x.final {
		x.until = e.timers.Now().Add(finalTTL)
	}
	// Other VMs may settle reservations before the balance is used again.
	b.complete = false
	x.balance = b
	return x
}
