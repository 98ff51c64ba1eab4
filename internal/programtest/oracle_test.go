package programtest

import (
	"fmt"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// oracle records the responses to callers and the arrivals at upstreams. It checks
// the properties as users state them, independently of the implementation.
type oracle struct {
	fail func(args ...any)
	// trace lists the events so far, for failure reports and session transcripts.
	trace []string
	// arrivals counts the arrivals of each call at its upstream.
	arrivals map[ident.CallID]int
	// bodies holds the last answer of the upstream to each call.
	bodies map[ident.CallID]string
	// atMostOnce holds the calls that must not run more than once.
	atMostOnce map[ident.CallID]bool
	// notRunCalls holds the calls that were reported to their caller as not run.
	notRunCalls map[ident.CallID]bool
	// callsAt maps each position, as program/position, to the call that arrived.
	callsAt map[string]ident.CallID
	// receivedAnswers holds the answers that callers received, by program and
	// position.
	receivedAnswers map[ident.ProgramID]map[ident.Position]string
	// spentCalls counts the arrivals of each program tree, by root program.
	spentCalls map[ident.ProgramID]unit.Calls
}

func newOracle(fail func(...any)) *oracle {
	return &oracle{
		fail:            fail,
		arrivals:        map[ident.CallID]int{},
		bodies:          map[ident.CallID]string{},
		atMostOnce:      map[ident.CallID]bool{},
		notRunCalls:     map[ident.CallID]bool{},
		callsAt:         map[string]ident.CallID{},
		receivedAnswers: map[ident.ProgramID]map[ident.Position]string{},
		spentCalls:      map[ident.ProgramID]unit.Calls{},
	}
}

func (o *oracle) tracef(format string, args ...any) {
	o.trace = append(o.trace, fmt.Sprintf(format, args...))
}

func (o *oracle) failf(format string, args ...any) {
	o.fail(fmt.Sprintf(format, args...) + "\n" + strings.Join(o.trace, "\n"))
}

func (o *oracle) recordArrival(id ident.ProgramID, call ident.CallID, position ident.Position, budget unit.Calls) {
	o.arrivals[call]++
	o.spentCalls[id.Root()]++
	if o.atMostOnce[call] && o.arrivals[call] > 1 {
		o.failf("property 7: call %s ran %d times", call, o.arrivals[call])
	}
	if o.notRunCalls[call] {
		o.failf("property 6: call %s ran after it was reported as not run", call)
	}
	if o.spentCalls[id.Root()] > budget {
		o.failf("property 3: program %s made %d calls on a budget of %d", id.Root(), o.spentCalls[id.Root()], budget)
	}
	key := fmt.Sprintf("%s/%d", id, position)
	if other, ok := o.callsAt[key]; ok && other != call {
		o.failf("property 1: calls %s and %s both ran at position %d of %s", other, call, position, id)
	}
	o.callsAt[key] = call
	for p := ident.Position(1); p < position; p++ {
		if _, ok := o.callsAt[fmt.Sprintf("%s/%d", id, p)]; !ok {
			o.failf("property 1: call %s ran at position %d of %s before position %d", call, position, id, p)
		}
	}
}

func (o *oracle) recordNotRun(call ident.CallID) {
	if o.arrivals[call] > 0 {
		o.failf("property 6: call %s was refused as not run after %d arrivals", call, o.arrivals[call])
	}
	o.notRunCalls[call] = true
}

func (o *oracle) recordCompletion(id ident.ProgramID, position ident.Position, answer string) {
	if o.receivedAnswers[id] == nil {
		o.receivedAnswers[id] = map[ident.Position]string{}
	}
	if old, ok := o.receivedAnswers[id][position]; ok && old != answer {
		o.failf("property 5: position %d of %s was answered with both %q and %q", position, id, old, answer)
	}
	o.receivedAnswers[id][position] = answer
}

func (o *oracle) verifyHistory(view program.State) {
	for position, answer := range o.receivedAnswers[view.ID] {
		if int(position) > len(view.Turns) {
			o.failf("property 2: position %d of %s is lost", position, view.ID)
			return
		}
		turn := view.Turns[position-1]
		if turn.Position != position || turn.Answer.Body != answer {
			o.failf("property 2: position %d of %s is %q, but the caller received %q", position, view.ID, turn.Answer.Body, answer)
		}
	}
}

// verifyBudget checks that the budget of a program tree was charged for every call
// that reached an upstream, except for calls of unknown outcome.
func (o *oracle) verifyBudget(root ident.ProgramID, shown, unknown unit.Calls) {
	if shown+unknown < o.spentCalls[root] {
		o.failf("property 3: %s reports %d calls spent and %d unknown after %d arrivals", root, shown, unknown, o.spentCalls[root])
	}
}
