package faulter

import (
	"maps"
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// faults are the faults that are set.
type faults struct {
	Hang             int  `json:"hang"`
	DelayMS          int  `json:"delay_ms"`
	DropAfterRun     int  `json:"drop_after_run"`
	BreakStreamAfter int  `json:"break_stream_after"`
	Leaving          bool `json:"leaving"`
	Silent           bool `json:"silent"`
	CrossedAnswers   int  `json:"crossed_answers"`
}

type command interface{ command() }

type (
	// change replaces the faults that are not nil.
	change struct {
		Hang             *int  `json:"hang"`
		DelayMS          *int  `json:"delay_ms"`
		DropAfterRun     *int  `json:"drop_after_run"`
		BreakStreamAfter *int  `json:"break_stream_after"`
		Leaving          *bool `json:"leaving"`
		Silent           *bool `json:"silent"`
		CrossedAnswers   *int  `json:"crossed_answers"`
	}
	arrive  struct{ key string }
	run     struct{ key string }
	observe struct{}
	count   struct{}
)

func (change) command()  {}
func (arrive) command()  {}
func (run) command()     {}
func (observe) command() {}
func (count) command()   {}

type reply interface{ reply() }

type (
	current struct {
		faults faults
		// resumed is closed when the silence ends; nil if there is none.
		resumed <-chan struct{}
	}
	counts struct{ arrivals, runs map[string]int }
	done   struct{}
)

func (current) reply() {}
func (Verdict) reply() {}
func (counts) reply()  {}
func (done) reply()    {}

// Verdict is what happens to one request.
type Verdict struct {
	// Leaving means that new work must be refused. No other fault is used up.
	Leaving bool
	// Hang means that no answer is given.
	Hang bool
	// Drop means that the connection is closed after the run.
	Drop bool
	// Crossed means that the answer carries the identity of another request.
	Crossed bool
	// BreakAfter is the number of tokens after which a stream breaks; 0 if it
	// does not.
	BreakAfter unit.Tokens
	// Delay is the time that the answer waits.
	Delay time.Duration
}

type state struct {
	faults   faults
	resume   chan struct{}
	arrivals map[string]int
	runs     map[string]int
}

func (s *state) Tick(time.Time) time.Time { return time.Time{} }

func (s *state) Handle(_ time.Time, c command) reply {
	switch c := c.(type) {
	case change:
		s.change(c)
		return s.current()
	case observe:
		return s.current()
	case arrive:
		s.arrivals[c.key]++
		return s.verdict()
	case run:
		s.runs[c.key]++
	case count:
		return counts{arrivals: maps.Clone(s.arrivals), runs: maps.Clone(s.runs)}
	}
	return done{}
}

func (s *state) current() reply {
	c := current{faults: s.faults}
	if s.resume != nil {
		c.resumed = s.resume
	}
	return c
}

func replace[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

func (s *state) change(c change) {
	replace(&s.faults.Hang, c.Hang)
	replace(&s.faults.DelayMS, c.DelayMS)
	replace(&s.faults.DropAfterRun, c.DropAfterRun)
	replace(&s.faults.BreakStreamAfter, c.BreakStreamAfter)
	replace(&s.faults.Leaving, c.Leaving)
	replace(&s.faults.Silent, c.Silent)
	replace(&s.faults.CrossedAnswers, c.CrossedAnswers)
	switch {
	case s.faults.Silent && s.resume == nil:
		s.resume = make(chan struct{})
	case !s.faults.Silent && s.resume != nil:
		close(s.resume)
		s.resume = nil
	}
}

func (s *state) verdict() Verdict {
	if s.faults.Leaving {
		return Verdict{Leaving: true}
	}
	v := Verdict{
		Hang:       use(&s.faults.Hang),
		Drop:       use(&s.faults.DropAfterRun),
		Crossed:    use(&s.faults.CrossedAnswers),
		BreakAfter: unit.Tokens(s.faults.BreakStreamAfter),
		Delay:      time.Duration(s.faults.DelayMS) * time.Millisecond,
	}
	s.faults.BreakStreamAfter = 0
	return v
}

// use takes one from a count of requests and reports whether there was one.
func use(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
