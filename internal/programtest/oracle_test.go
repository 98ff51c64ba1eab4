package programtest

import (
	"fmt"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// oracle holds what callers were told and what upstreams saw. Its checks are
// the properties as users state them and know nothing of the implementation.
type oracle struct {
	fail func(args ...any)
	// trace holds what happened, for the report of a failure and for sessions.
	trace []string
	// arrivals counts the dispatches of each call at its upstream.
	arrivals map[ident.CallID]int
	// bodies has the last answer of the upstream to each call.
	bodies map[ident.CallID]string
	// once holds the calls that must not be repeated.
	once map[ident.CallID]bool
	// notRun holds the calls that a caller was told have not run.
	notRun map[ident.CallID]bool
	// at gives the calls that arrived for each position of a program.
	at map[string]ident.CallID
	// told is the history that callers rely on.
	told map[ident.ProgramID]map[ident.Position]string
	// spent counts arrivals for each root program.
	spent map[ident.ProgramID]unit.Calls
}

func newOracle(fail func(...any)) *oracle {
	return &oracle{
		fail:     fail,
		arrivals: map[ident.CallID]int{},
		bodies:   map[ident.CallID]string{},
		once:     map[ident.CallID]bool{},
		notRun:   map[ident.CallID]bool{},
		at:       map[string]ident.CallID{},
		told:     map[ident.ProgramID]map[ident.Position]string{},
		spent:    map[ident.ProgramID]unit.Calls{},
	}
}

func (o *oracle) notef(format string, args ...any) {
	o.trace = append(o.trace, fmt.Sprintf(format, args...))
}

func (o *oracle) failf(format string, args ...any) {
	o.fail(fmt.Sprintf(format, args...) + "\n" + strings.Join(o.trace, "\n"))
}

func (o *oracle) arrive(id ident.ProgramID, call ident.CallID, position ident.Position, budget unit.Calls) {
	o.arrivals[call]++
	o.spent[id.Root()]++
	if o.once[call] && o.arrivals[call] > 1 {
		o.failf("property 7: call %s ran %d times", call, o.arrivals[call])
	}
	if o.notRun[call] {
		o.failf("property 6: call %s ran after its caller was told that it had not", call)
	}
	if o.spent[id.Root()] > budget {
		o.failf("property 3: program %s made %d calls on a budget of %d", id.Root(), o.spent[id.Root()], budget)
	}
	key := fmt.Sprintf("%s/%d", id, position)
	if other, ok := o.at[key]; ok && other != call {
		o.failf("property 1: calls %s and %s both ran at position %d of %s", other, call, position, id)
	}
	o.at[key] = call
	for p := ident.Position(1); p < position; p++ {
		if _, ok := o.at[fmt.Sprintf("%s/%d", id, p)]; !ok {
			o.failf("property 1: call %s ran at position %d of %s before position %d", call, position, id, p)
		}
	}
}

func (o *oracle) refusedNotRun(call ident.CallID) {
	if o.arrivals[call] > 0 {
		o.failf("property 6: call %s was refused as not run after %d arrivals", call, o.arrivals[call])
	}
	o.notRun[call] = true
}

func (o *oracle) complete(id ident.ProgramID, position ident.Position, answer string) {
	if o.told[id] == nil {
		o.told[id] = map[ident.Position]string{}
	}
	if old, ok := o.told[id][position]; ok && old != answer {
		o.failf("property 5: position %d of %s was answered with %q and %q", position, id, old, answer)
	}
	o.told[id][position] = answer
}

func (o *oracle) compare(view program.State) {
	for position, answer := range o.told[view.ID] {
		if int(position) > len(view.Turns) {
			o.failf("property 2: position %d of %s is lost", position, view.ID)
			return
		}
		turn := view.Turns[position-1]
		if turn.Position != position || turn.Answer.Body != answer {
			o.failf("property 2: position %d of %s is %q, the caller was told %q", position, view.ID, turn.Answer.Body, answer)
		}
	}
}

// compareBudget checks that a program tree counts each call that reached an
// upstream, unless its outcome is still unknown.
func (o *oracle) compareBudget(root ident.ProgramID, shown, unknown unit.Calls) {
	if shown+unknown < o.spent[root] {
		o.failf("property 3: %s shows %d calls spent and %d unknown after %d arrivals", root, shown, unknown, o.spent[root])
	}
}
