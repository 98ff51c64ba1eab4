// Package prefixcache implements the prefix cache of the engine stand-in.
//
// The cache holds one token sequence per program, up to a total number of
// tokens, and evicts the least recently used program. It reports changes as
// numbered events. To exercise clients, events become visible after a delay and
// some can be omitted, which leaves a gap in the numbers.
package prefixcache

import (
	"container/list"
	"sort"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Token is the hash of one token's text.
type Token uint32

// Kind is the type of an event.
type Kind string

// Kinds of events. A release is reported as an eviction.
const (
	Stored  Kind = "stored"
	Evicted Kind = "evicted"
)

// Event is a change of one program's prefix. Tokens is the number of tokens that
// are now stored, or that were freed by an eviction.
type Event struct {
	Sequence  ident.Sequence
	Kind      Kind
	Program   ident.ProgramID
	Tokens    unit.Tokens
	visibleAt time.Time
}

// Resident is a program whose prefix is in the cache.
type Resident struct {
	Program ident.ProgramID
	Tokens  unit.Tokens
}

// minKeptEvents is the minimum number of recent events that are kept. Older events
// are dropped, which readers see as a gap.
const minKeptEvents = 10000

type entry struct {
	program ident.ProgramID
	tokens  []Token
	element *list.Element
}

// Prefixcache is a prefix cache with LRU eviction. It is not safe for concurrent use.
type Prefixcache struct {
	limit    unit.Tokens
	eventLag time.Duration
	gapEvery int
	entries  map[ident.ProgramID]*entry
	lruList  *list.List
	pins     map[ident.ProgramID]int
	used     unit.Tokens
	evicted  unit.Tokens
	sequence ident.Sequence
	events   []Event
}

// Option configures a Prefixcache.
type Option func(*Prefixcache)

// WithLimit sets the capacity of the cache.
func WithLimit(limit unit.Tokens) Option { return func(c *Prefixcache) { c.limit = limit } }

// WithEventLag sets the delay after which an event becomes visible.
func WithEventLag(lag time.Duration) Option { return func(c *Prefixcache) { c.eventLag = lag } }

// WithGapEvery omits every n-th event; 0 omits none.
func WithGapEvery(n int) Option { return func(c *Prefixcache) { c.gapEvery = n } }

// New returns an empty Prefixcache.
func New(options ...Option) *Prefixcache {
	c := &Prefixcache{
		limit:   500_000,
		entries: map[ident.ProgramID]*entry{},
		lruList: list.New(),
		pins:    map[ident.ProgramID]int{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Match returns the number of leading tokens of prompt that are cached for the
// program and marks the program as recently used.
func (c *Prefixcache) Match(program ident.ProgramID, prompt []Token) unit.Tokens {
	e, ok := c.entries[program]
	if !ok {
		return 0
	}
	c.lruList.MoveToFront(e.element)
	n := 0
	for n < len(prompt) && n < len(e.tokens) && prompt[n] == e.tokens[n] {
		n++
	}
	return unit.Tokens(n)
}

// Pin protects a program from eviction until Unpin has been called as often as
// Pin.
func (c *Prefixcache) Pin(program ident.ProgramID) { c.pins[program]++ }

// Unpin reverts one call of Pin.
func (c *Prefixcache) Unpin(program ident.ProgramID) {
	if c.pins[program]--; c.pins[program] <= 0 {
		delete(c.pins, program)
	}
}

// Store replaces the prefix of a program and evicts other programs until the
// limit holds. The prefix is truncated to what fits beside pinned programs.
func (c *Prefixcache) Store(now time.Time, program ident.ProgramID, tokens []Token) {
	if e, ok := c.entries[program]; ok {
		c.remove(e)
	}
	if unit.Tokens(len(tokens)) > c.limit {
		tokens = tokens[:c.limit]
	}
	c.evictUntil(now, c.limit-unit.Tokens(len(tokens)))
	if free := c.limit - c.used; unit.Tokens(len(tokens)) > free {
		tokens = tokens[:max(free, 0)]
	}
	if len(tokens) == 0 {
		c.appendEvent(now, Evicted, program, 0)
		return
	}
	e := &entry{program: program, tokens: tokens}
	e.element = c.lruList.PushFront(e)
	c.entries[program] = e
	c.used += unit.Tokens(len(tokens))
	c.appendEvent(now, Stored, program, unit.Tokens(len(tokens)))
}

func (c *Prefixcache) evictUntil(now time.Time, target unit.Tokens) {
	for element := c.lruList.Back(); element != nil && c.used > target; {
		e := element.Value.(*entry)
		element = element.Prev()
		if c.pins[e.program] > 0 {
			continue
		}
		c.remove(e)
		c.evicted += unit.Tokens(len(e.tokens))
		c.appendEvent(now, Evicted, e.program, unit.Tokens(len(e.tokens)))
	}
}

func (c *Prefixcache) remove(e *entry) {
	c.lruList.Remove(e.element)
	delete(c.entries, e.program)
	c.used -= unit.Tokens(len(e.tokens))
}

// Release frees the prefix of a program, if it is cached.
func (c *Prefixcache) Release(now time.Time, program ident.ProgramID) {
	if e, ok := c.entries[program]; ok {
		c.remove(e)
		c.appendEvent(now, Evicted, program, unit.Tokens(len(e.tokens)))
	}
}

// Export returns the prefix of a program, or nil if none is cached.
func (c *Prefixcache) Export(program ident.ProgramID) []Token {
	e, ok := c.entries[program]
	if !ok {
		return nil
	}
	c.lruList.MoveToFront(e.element)
	return e.tokens
}

// Residents returns all programs in the cache in order of their IDs, and the
// number of the last event, even if it is not yet visible or was omitted.
func (c *Prefixcache) Residents() (ident.Sequence, []Resident) {
	residents := make([]Resident, 0, len(c.entries))
	for program, e := range c.entries {
		residents = append(residents, Resident{Program: program, Tokens: unit.Tokens(len(e.tokens))})
	}
	sort.Slice(residents, func(i, j int) bool { return residents[i].Program < residents[j].Program })
	return c.sequence, residents
}

// Events returns the visible events that follow the event numbered after.
func (c *Prefixcache) Events(now time.Time, after ident.Sequence) []Event {
	first := sort.Search(len(c.events), func(i int) bool { return c.events[i].Sequence > after })
	last := first
	for last < len(c.events) && !c.events[last].visibleAt.After(now) {
		last++
	}
	return append([]Event{}, c.events[first:last]...)
}

// EvictedTokens returns the number of tokens that were evicted for lack of
// space. Released tokens are not counted.
func (c *Prefixcache) EvictedTokens() unit.Tokens { return c.evicted }

func (c *Prefixcache) appendEvent(now time.Time, kind Kind, program ident.ProgramID, tokens unit.Tokens) {
	c.sequence++
	if c.gapEvery > 0 && int(c.sequence)%c.gapEvery == 0 {
		return
	}
	c.events = append(c.events, Event{
		Sequence: c.sequence, Kind: kind, Program: program, Tokens: tokens, visibleAt: now.Add(c.eventLag),
	})
	if len(c.events) > 2*minKeptEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-minKeptEvents:]...)
	}
}
