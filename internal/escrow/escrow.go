package escrow

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// DefaultLimit bounds the wait of a turn for the store. Two answers of a store that
	// is sixty times slower than usual (4 ms) fit.
	DefaultLimit = 900 * time.Millisecond
	// PeerWait bounds the wait for the store on behalf of another VM, which asks
	// again. Most answers of the store take 4 to 30 ms.
	PeerWait = 150 * time.Millisecond
	// retryDelay is what callers are told when the store can't be reached.
	retryDelay = 1500 * time.Millisecond
	// partTurns is the number of turns of the largest size by which a part
	// grows at most. Most turns use a quarter of that, so that one transaction
	// serves most programs.
	partTurns = 6
	// partShare is the part of the rest of a budget by which a part grows at
	// most, unless a turn needs more. What a VM holds is lost with it.
	partShare = 2
	// exhaustedFor is how long a VM remembers that it found a budget spent, and
	// reads its rows first. Programs that loop send many turns at once, and each
	// would try a transaction.
	exhaustedFor = 5 * time.Second
	// finalFor is how long it remembers that nothing can come back either. Programs
	// that loop go on for tens of seconds.
	finalFor = time.Minute
)

// Request asks for the tokens of a turn.
type Request struct {
	Program ident.ProgramID `json:"program"`
	// Budget is that of the whole program.
	Budget  unit.Tokens `json:"budget"`
	Largest unit.Tokens `json:"largest"`
}

// Grant is the permission for one turn.
type Grant struct {
	ID      string          `json:"id"`
	Program ident.ProgramID `json:"program"`
	Largest unit.Tokens     `json:"largest"`
}

// part is a part of a budget that this VM holds.
type part struct {
	id      string
	program ident.ProgramID
	version rows.Version
	amount  unit.Tokens
	// left is what can still be granted, used what callers received.
	left, used unit.Tokens
	open       int
	touched    time.Time
	// account is the budget as of the last transaction on the part.
	account account
}

// openGrant is a grant that was not returned yet.
type openGrant struct {
	part    *part
	largest unit.Tokens
	at      time.Time
}

// fetch is a transaction under way that takes a part of a program's budget, or
// makes the part larger that is held.
type fetch struct {
	// part is the part as it was when the fetch began.
	part part
	// account is what was known of the budget.
	account account
	done    chan struct{}
	err     error
}

// exhaustion is a budget that was found spent.
type exhaustion struct {
	until   time.Time
	account account
	// left is what this VM's part still has.
	left unit.Tokens
	// final is set if no part is unsettled whose rest could come back.
	final bool
}

// refuses returns the refusal of a turn for which the budget can't suffice any
// more, nil if the store has to be asked.
func (x exhaustion) refuses(r Request, now time.Time) *failure.Error {
	if !x.final || now.After(x.until) || x.account.spent()+r.Largest-x.left <= r.Budget {
		return nil
	}
	return refusal(r, part{left: x.left}, x.account)
}

// Escrow holds parts of budgets. It may be used by several goroutines.
type Escrow struct {
	store  rows.Store
	timers *timer.Service
	limit  time.Duration
	report func(error)
	use    func(ident.ProgramID)

	mu     sync.Mutex
	parts  map[ident.ProgramID]*part
	grants map[string]openGrant
	// exhausted has the programs whose budget was found spent.
	exhausted map[ident.ProgramID]exhaustion
	fetches   map[ident.ProgramID]*fetch
}

// Option changes how New builds an Escrow.
type Option func(*Escrow)

// WithLimit sets how long a turn may wait for the store.
func WithLimit(limit time.Duration) Option {
	return func(e *Escrow) { e.limit = limit }
}

// WithReport sets what is told of parts that could not be settled.
func WithReport(report func(error)) Option {
	return func(e *Escrow) { e.report = report }
}

// WithUse sets what is told of each program that has rows from now on.
func WithUse(use func(ident.ProgramID)) Option {
	return func(e *Escrow) { e.use = use }
}

// New returns an escrow on a store. It settles idle parts until the context
// ends.
func New(ctx context.Context, store rows.Store, timers *timer.Service, options ...Option) *Escrow {
	e := &Escrow{
		store: store, timers: timers, limit: DefaultLimit, report: func(error) {}, use: func(ident.ProgramID) {},
		parts: map[ident.ProgramID]*part{}, grants: map[string]openGrant{}, exhausted: map[ident.ProgramID]exhaustion{}, fetches: map[ident.ProgramID]*fetch{},
	}
	for _, option := range options {
		option(e)
	}
	go e.settleIdle(ctx)
	return e
}

// Take grants a turn. Errors are refusals: the turn did not run.
func (e *Escrow) Take(ctx context.Context, r Request) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, e.limit)
	defer cancel()
	for {
		if ctx.Err() != nil {
			// A fetch would go on for nobody.
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
			go e.run(context.WithoutCancel(ctx), r, wait.fetch)
		}
		select {
		case <-wait.fetch.done:
		case <-ctx.Done():
			return Grant{}, unavailable(ctx.Err())
		}
		if wait.fetch.err != nil {
			return Grant{}, wait.fetch.err
		}
	}
}

func unavailable(err error) *failure.Error {
	return failure.Refusal(failure.PlatformUnavailable, retryDelay, "the turn's budget could not be reserved: %v; repeat the request", errors.Cause(err))
}

// pending is a fetch that a turn waits for; the turn that started it owns it.
type pending struct {
	fetch *fetch
	owned bool
}

// tryTake grants a turn from a part that is held, or refuses it if the budget is
// spent for good. Otherwise it returns the fetch to wait for.
func (e *Escrow) tryTake(r Request) (Grant, *pending, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.parts[r.Program]
	if p != nil && p.left >= r.Largest {
		p.left -= r.Largest
		p.open++
		p.touched = e.timers.Now()
		grant := Grant{ID: uuid.NewString(), Program: r.Program, Largest: r.Largest}
		e.grants[grant.ID] = openGrant{part: p, largest: r.Largest, at: p.touched}
		return grant, nil, nil
	}
	if running, ok := e.fetches[r.Program]; ok {
		return Grant{}, &pending{fetch: running}, nil
	}
	if refused := e.exhausted[r.Program].refuses(r, e.timers.Now()); refused != nil {
		return Grant{}, nil, refused
	}
	started := &fetch{
		done: make(chan struct{}), part: part{id: uuid.NewString(), program: r.Program}, account: e.exhausted[r.Program].account,
	}
	if p != nil {
		started.part, started.account = *p, p.account
	}
	e.fetches[r.Program] = started
	return Grant{}, &pending{fetch: started, owned: true}, nil
}

// run carries a fetch out. It goes on if the turn that started it is given up,
// since other turns may wait for it.
func (e *Escrow) run(ctx context.Context, r Request, f *fetch) {
	ctx, cancel := context.WithTimeout(ctx, e.limit)
	defer cancel()
	e.use(r.Program)
	grown, a, err := e.grow(ctx, r, f.part, f.account)
	e.mu.Lock()
	defer e.mu.Unlock()
	f.err = err
	if err == nil {
		p := e.parts[r.Program]
		if p == nil {
			p = &part{id: grown.id, program: r.Program}
			e.parts[r.Program] = p
		}
		p.left += grown.amount - p.amount
		p.amount, p.version, p.account, p.touched = grown.amount, grown.version, grown.account, e.timers.Now()
	}
	if failure.Is(err, failure.BudgetExhausted) {
		e.exhausted[r.Program] = e.exhaustion(r.Program, a)
	}
	delete(e.fetches, r.Program)
	close(f.done)
}

// exhaustion is what is remembered of a budget that an account shows to be spent.
func (e *Escrow) exhaustion(program ident.ProgramID, a account) exhaustion {
	x := exhaustion{until: e.timers.Now().Add(exhaustedFor), final: a.whole && a.unsettled == 0}
	if own := e.parts[program]; own != nil {
		x.left = own.left
		x.final = x.final && own.open == 0
	}
	if x.final {
		x.until = e.timers.Now().Add(finalFor)
	}
	// Other VMs may settle parts until the account is used again.
	a.whole = false
	x.account = a
	return x
}
