package sequencer

import (
	"slices"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// current returns the call of an attempt of this process, and whether it is still
// that attempt. Two processes may have tried to start the same attempt, of which
// one has failed to.
func (s Sequencer) current(t program.Tree, id record.AttemptID) (program.Call, bool) {
	state, ok := t[id.Program]
	if !ok {
		return program.Call{}, false
	}
	call, ok := state.Calls[id.Call]
	return call, ok && call.Attempt == id.Attempt && call.Holder == s.self
}

// intend records that a call is about to be dispatched.
func (s Sequencer) intend(t program.Tree, r Intend) Decision {
	call, same := s.current(t, r.AttemptID)
	switch {
	case same && call.Status == program.Started:
		return Write{
			Records: []record.Record{record.Intended{Program: r.Program, Call: r.Call, Attempt: r.Attempt, Upstream: r.Upstream}},
			Outcome: outcome.Durable{},
		}
	case same && call.Status == program.Intended && call.Upstream == r.Upstream:
		return Answer{outcome.Durable{}}
	}
	return refuse(notDurable("another VM took the call over before its dispatch"))
}

// cancel takes an intent back. The outcome of an attempt that another VM gave up
// is settled: it was not dispatched.
func (s Sequencer) cancel(t program.Tree, r Cancel) Decision {
	call, same := s.current(t, r.AttemptID)
	switch {
	case same && call.Status == program.Intended:
		return Write{
			Records: []record.Record{record.Cancelled{Program: r.Program, Call: r.Call, Attempt: r.Attempt}},
			Outcome: outcome.Durable{},
		}
	case same && call.Status == program.Started:
		return Answer{outcome.Durable{}}
	case same && call.Status == program.Unknown:
		return Write{
			Records: []record.Record{record.Failed{Program: r.Program, Call: r.Call, Attempt: r.Attempt}},
			Outcome: outcome.Refused{Err: notDurable("the attempt was given up")},
		}
	}
	return refuse(notDurable("the attempt was given up"))
}

// complete records an answer. One that comes after its attempt was given up
// settles an unknown outcome; it is refused if the call was started again.
func (s Sequencer) complete(t program.Tree, r Complete) Decision {
	call, same := s.current(t, r.AttemptID)
	switch {
	case same && call.Open():
		return Write{
			Records: []record.Record{record.Completed{
				Program: r.Program, Call: r.Call, Attempt: r.Attempt, Upstream: r.Upstream, Answer: r.Answer, Resident: r.Resident,
			}},
			Outcome: outcome.Durable{},
		}
	case same && call.Status == program.Done:
		return Answer{outcome.Durable{}}
	}
	return refuse(notDurable("the answer came after the attempt was given up"))
}

// fail ends an attempt without an answer. If the call must not be repeated and
// may have run, its outcome is unknown from now on.
func (s Sequencer) fail(t program.Tree, r Fail) Decision {
	call, same := s.current(t, r.AttemptID)
	switch {
	case !same:
		return refuse(notDurable("another VM took the call over"))
	case !call.Open():
		return Answer{outcome.Durable{}}
	}
	if r.Dispatched && !call.Repeatable {
		if call.Status == program.Unknown {
			return Answer{outcome.Durable{}}
		}
		return Write{
			Records: []record.Record{record.Doubted{Program: r.Program, Call: r.Call, Attempt: r.Attempt}},
			Outcome: outcome.Durable{},
		}
	}
	return Write{
		Records: []record.Record{record.Failed{
			Program: r.Program, Call: r.Call, Attempt: r.Attempt, Dispatched: r.Dispatched, Usage: r.Usage, Upstream: r.Upstream,
		}},
		Outcome: outcome.Durable{},
	}
}

// withdraw ends an attempt, or writes an empty batch in the place that the late
// transaction would take.
func (s Sequencer) withdraw(t program.Tree, r Withdraw) Decision {
	call, same := s.current(t, r.AttemptID)
	if same && !call.Open() {
		return Answer{outcome.Durable{}}
	}
	var records []record.Record
	if same {
		records = append(records, record.Failed{Program: r.Program, Call: r.Call, Attempt: r.Attempt})
	}
	return Write{Records: records, Outcome: outcome.Durable{}}
}

// resolve settles an unknown outcome. A repeat with the same result succeeds,
// because a confirmation may be repeated.
func (s Sequencer) resolve(t program.Tree, r Resolve) Decision {
	state, ok := find(t, r.Program, r.Team)
	if !ok {
		return refuse(notFound(r.Program))
	}
	call, known := state.Calls[r.Call]
	if resolved(state, call, known, r) {
		return Answer{outcome.Durable{}}
	}
	lost := call.Status == program.Intended && !s.alive(call.Holder)
	if call.Status != program.Unknown && !lost {
		return refuse(failure.New(failure.InvalidRequest,
			"the outcome of call %s is not unknown; look at the program before you settle it", r.Call))
	}
	return Write{
		Records: []record.Record{record.Resolved{Program: r.Program, Call: r.Call, Ran: r.Ran, Answer: r.Answer, By: r.By}},
		Outcome: outcome.Durable{},
	}
}

// resolved reports whether a call stands as it is to be settled.
func resolved(state *program.State, call program.Call, known bool, r Resolve) bool {
	if !r.Ran {
		return !known || call.Status == program.Failed
	}
	return call.Status == program.Done && slices.ContainsFunc(state.Turns, func(turn program.Turn) bool {
		return turn.Call == r.Call && turn.Answer.Body == r.Answer.Body && !turn.Answer.Failed
	})
}
