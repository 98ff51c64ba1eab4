// Package cacher is the prefix cache of the engine stand-in.
//
// The cache holds the token sequence of each program, up to a limit of tokens
// in total, and evicts the program that was used least recently. It reports
// changes as numbered events, which become visible late and of which some are
// left out.
package cacher

import (
	"container/list"
	"sort"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Token is the hash of one token's text.
type Token uint32

// Kind is the kind of an event.
type Kind string

// Kinds of events. A release is reported as evicted.
const (
	Stored  Kind = "stored"
	Evicted Kind = "evicted"
)

// Event is a change of one program's prefix. Tokens is the length after it was
// stored, or the length that was freed.
type Event struct {
	Sequence ident.Sequence
	Kind     Kind
	Program  ident.ProgramID
	Tokens   unit.Tokens
	visible  time.Time
}

// Resident is a program whose prefix is in the cache.
type Resident struct {
	Program ident.ProgramID
	Tokens  unit.Tokens
}

// eventLimit bounds the log of events. Older events are dropped, which readers
// see as a gap.
const eventLimit = 10000

type entry struct {
	program ident.ProgramID
	tokens  []Token
	element *list.Element
}

// Cacher is the prefix cache. It is not safe for concurrent use.
type Cacher struct {
	limit    unit.Tokens
	eventLag time.Duration
	gapEvery int
	entries  map[ident.ProgramID]*entry
	recent   *list.List
	pins     map[ident.ProgramID]int
	used     unit.Tokens
	evicted  unit.Tokens
	sequence ident.Sequence
	events   []Event
}

// Option changes how New builds a Cacher.
type Option func(*Cacher)

// WithLimit sets the tokens that the cache can hold.
func WithLimit(limit unit.Tokens) Option { return func(c *Cacher) { c.limit = limit } }

// WithEventLag sets the time until an event becomes visible.
func WithEventLag(lag time.Duration) Option { return func(c *Cacher) { c.eventLag = lag } }

// WithGapEvery leaves out every n-th event; 0 leaves out none.
func WithGapEvery(n int) Option { return func(c *Cacher) { c.gapEvery = n } }

// New returns an empty cache.
func New(options ...Option) *Cacher {
	c := &Cacher{
		limit:   500_000,
		entries: map[ident.ProgramID]*entry{},
		recent:  list.New(),
		pins:    map[ident.ProgramID]int{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Match returns how many leading tokens of prompt are cached for the program
// and marks the program as used.
func (c *Cacher) Match(program ident.ProgramID, prompt []Token) unit.Tokens {
	e, ok := c.entries[program]
	if !ok {
		return 0
	}
	c.recent.MoveToFront(e.element)
	n := 0
	for n < len(prompt) && n < len(e.tokens) && prompt[n] == e.tokens[n] {
		n++
	}
	return unit.Tokens(n)
}

// Pin keeps a program from being evicted until Unpin is called as often.
func (c *Cacher) Pin(program ident.ProgramID) { c.pins[program]++ }

// Unpin takes back one Pin.
func (c *Cacher) Unpin(program ident.ProgramID) {
	if c.pins[program]--; c.pins[program] <= 0 {
		delete(c.pins, program)
	}
}

// Store replaces the prefix of a program and evicts others until the limit
// holds. What does not fit beside pinned programs is cut off at the end.
func (c *Cacher) Store(now time.Time, program ident.ProgramID, tokens []Token) {
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
		c.report(now, Evicted, program, 0)
		return
	}
	e := &entry{program: program, tokens: tokens}
	e.element = c.recent.PushFront(e)
	c.entries[program] = e
	c.used += unit.Tokens(len(tokens))
	c.report(now, Stored, program, unit.Tokens(len(tokens)))
}

func (c *Cacher) evictUntil(now time.Time, target unit.Tokens) {
	for element := c.recent.Back(); element != nil && c.used > target; {
		e := element.Value.(*entry)
		element = element.Prev()
		if c.pins[e.program] > 0 {
			continue
		}
		c.remove(e)
		c.evicted += unit.Tokens(len(e.tokens))
		c.report(now, Evicted, e.program, unit.Tokens(len(e.tokens)))
	}
}

func (c *Cacher) remove(e *entry) {
	c.recent.Remove(e.element)
	delete(c.entries, e.program)
	c.used -= unit.Tokens(len(e.tokens))
}

// Release frees the prefix of a program, if there is one.
func (c *Cacher) Release(now time.Time, program ident.ProgramID) {
	if e, ok := c.entries[program]; ok {
		c.remove(e)
		c.report(now, Evicted, program, unit.Tokens(len(e.tokens)))
	}
}

// Export returns the prefix of a program, nil if there is none.
func (c *Cacher) Export(program ident.ProgramID) []Token {
	e, ok := c.entries[program]
	if !ok {
		return nil
	}
	c.recent.MoveToFront(e.element)
	return e.tokens
}

// Residents returns all programs in the cache, sorted, and the number of the
// last event, also if that is not visible or was left out.
func (c *Cacher) Residents() (ident.Sequence, []Resident) {
	residents := make([]Resident, 0, len(c.entries))
	for program, e := range c.entries {
		residents = append(residents, Resident{Program: program, Tokens: unit.Tokens(len(e.tokens))})
	}
	sort.Slice(residents, func(i, j int) bool { return residents[i].Program < residents[j].Program })
	return c.sequence, residents
}

// Events returns the visible events with a number above after.
func (c *Cacher) Events(now time.Time, after ident.Sequence) []Event {
	first := sort.Search(len(c.events), func(i int) bool { return c.events[i].Sequence > after })
	last := first
	for last < len(c.events) && !c.events[last].visible.After(now) {
		last++
	}
	return append([]Event{}, c.events[first:last]...)
}

// EvictedTokens returns the tokens that were evicted for lack of memory;
// releases do not count.
func (c *Cacher) EvictedTokens() unit.Tokens { return c.evicted }

func (c *Cacher) report(now time.Time, kind Kind, program ident.ProgramID, tokens unit.Tokens) {
	c.sequence++
	if c.gapEvery > 0 && int(c.sequence)%c.gapEvery == 0 {
		return
	}
	c.events = append(c.events, Event{
		Sequence: c.sequence, Kind: kind, Program: program, Tokens: tokens, visible: now.Add(c.eventLag),
	})
	if len(c.events) > 2*eventLimit {
		c.events = append(c.events[:0], c.events[len(c.events)-eventLimit:]...)
	}
}
