package injector

import (
	"maps"
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// faults is the set of active faults. Hang, DropAfterRun and CrossedAnswers are
// the numbers of requests still to be affected; BreakStreamAfter applies to the
// next request only.
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
	// patch replaces the faults whose fields are not nil.
	patch struct {
		Hang             *int  `json:"hang"`
		DelayMS          *int  `json:"delay_ms"`
		DropAfterRun     *int  `json:"drop_after_run"`
		BreakStreamAfter *int  `json:"break_stream_after"`
		Leaving          *bool `json:"leaving"`
		Silent           *bool `json:"silent"`
		CrossedAnswers   *int  `json:"crossed_answers"`
	}
	recordArrival struct{ key string }
	recordRun     struct{ key string }
	readFaults    struct{}
	readCounts    struct{}
)

func (patch) command()         {}
func (recordArrival) command() {}
func (recordRun) command()     {}
func (readFaults) command()    {}
func (readCounts) command()    {}

type reply interface{ reply() }

type (
	faultState struct {
		faults faults
		// resumed is closed when the silence ends; nil if the upstream is not
		// silent.
		resumed <-chan struct{}
	}
	counts struct{ arrivals, runs map[string]int }
	done   struct{}
)

func (faultState) reply() {}
func (Decision) reply()   {}
func (counts) reply()     {}
func (done) reply()       {}

// Decision lists the faults that apply to one request.
type Decision struct {
	// Leaving means that new work must be refused. The remaining faults are left
	// for later requests.
	Leaving bool
	// Hang means that the request is never answered.
	Hang bool
	// Drop means that the connection is closed once the request has run.
	Drop bool
	// Crossed means that the answer carries the ID of another request.
	Crossed bool
	// BreakAfter is the number of tokens after which the stream is broken off; 0
	// means never.
	BreakAfter unit.Tokens
	// Delay is the time by which the answer is delayed.
	Delay time.Duration
}

type state struct {
	faults       faults
	silenceEnded chan struct{}
	arrivals     map[string]int
	runs         map[string]int
}

func (s *state) Tick(time.Time) time.Time { return time.Time{} }

func (s *state) Handle(_ time.Time, c command) reply {
	switch c := c.(type) {
	case patch:
		s.patch(c)
		return s.faultState()
	case readFaults:
		return s.faultState()
	case recordArrival:
		s.arrivals[c.key]++
		return s.decide()
	case recordRun:
		s.runs[c.key]++
	case readCounts:
		return counts{arrivals: maps.Clone(s.arrivals), runs: maps.Clone(s.runs)}
	}
	return done{}
}

func (s *state) faultState() reply {
	c := faultState{faults: s.faults}
	if s.silenceEnded != nil {
		c.resumed = s.silenceEnded
	}
	return c
}

func assignIfSet[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

func (s *state) patch(c patch) {
	assignIfSet(&s.faults.Hang, c.Hang)
	assignIfSet(&s.faults.DelayMS, c.DelayMS)
	assignIfSet(&s.faults.DropAfterRun, c.DropAfterRun)
	assignIfSet(&s.faults.BreakStreamAfter, c.BreakStreamAfter)
	assignIfSet(&s.faults.Leaving, c.Leaving)
	assignIfSet(&s.faults.Silent, c.Silent)
	assignIfSet(&s.faults.CrossedAnswers, c.CrossedAnswers)
	switch {
	case s.faults.Silent && s.silenceEnded == nil:
		s.silenceEnded = make(chan struct{})
	case !s.faults.Silent && s.silenceEnded != nil:
		close(s.silenceEnded)
		s.silenceEnded = nil
	}
}

func (s *state) decide() Decision {
	if s.faults.Leaving {
		return Decision{Leaving: true}
	}
	v := Decision{
		Hang:       consume(&s.faults.Hang),
		Drop:       consume(&s.faults.DropAfterRun),
		Crossed:    consume(&s.faults.CrossedAnswers),
		BreakAfter: unit.Tokens(s.faults.BreakStreamAfter),
		Delay:      time.Duration(s.faults.DelayMS) * time.Millisecond,
	}
	s.faults.BreakStreamAfter = 0
	return v
}

// consume decrements a count of requests and reports whether it was above 0.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
