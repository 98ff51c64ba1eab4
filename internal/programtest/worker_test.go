package programtest

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// step takes a worker's call one stage further, as the filters do.
func (w *world) step(k *worker, breaks bool) {
	switch {
	case k.stage == started && k.call.once:
		w.intend(k)
	case k.stage == started || k.stage == intended:
		w.dispatch(k)
	case breaks:
		w.breakOff(k)
	default:
		w.answer(k)
	}
}

// intend asks for the durable intent.
func (w *world) intend(k *worker) {
	_, err := w.do(k.vm, sequencer.Intend{AttemptID: k.attempt(), Upstream: "u"})
	w.oracle.notef("%s: the intent of %s: %s", k.vm.holder.VM, k.call.id, describe(outcome.Durable{}, err))
	if err != nil {
		w.end(k, false, failure.From(err))
		return
	}
	k.stage = intended
}

// decline lets the upstream refuse the call: it did not run.
func (w *world) decline(k *worker) {
	w.oracle.notef("%s: the upstream declines %s", k.vm.holder.VM, k.call.id)
	if k.call.once {
		if _, err := w.do(k.vm, sequencer.Cancel{AttemptID: k.attempt()}); err != nil {
			w.end(k, false, failure.From(err))
			return
		}
	}
	w.end(k, false, failure.New(failure.Overloaded, "declined"))
}

// dispatch sends the call to its upstream.
func (w *world) dispatch(k *worker) {
	k.stage = dispatched
	w.oracle.bodies[k.call.id] = k.body()
	if k.call.engine {
		w.residents[k.engine][k.client.program] = true
	}
	w.oracle.notef("%s: dispatches %s, attempt %d", k.vm.holder.VM, k.call.id, k.run.Attempt)
	w.oracle.arrive(k.client.program, k.call.id, k.call.position, w.budgets[k.client.program.Root()])
}

// answer records the upstream's answer and then tells the caller.
func (w *world) answer(k *worker) {
	complete := sequencer.Complete{
		AttemptID: k.attempt(), Upstream: "u", Resident: k.call.engine, Answer: record.Answer{Body: k.body(), Usage: usage(k)},
	}
	if k.call.engine {
		complete.Upstream = k.engine
	}
	_, err := w.do(k.vm, complete)
	w.oracle.notef("%s: the answer of %s: %s", k.vm.holder.VM, k.call.id, describe(outcome.Durable{}, err))
	w.drop(k)
	if err == nil {
		w.completed(k.client, k.call, k.body())
		return
	}
	if failure.Is(err, failure.PlatformUnavailable) {
		k.vm.unsettled = append(k.vm.unsettled, complete)
		err = failure.New(failure.NotDurable, "not recorded in time")
	}
	w.refused(k.client, k.call, err)
}

func usage(k *worker) record.Usage {
	u := record.Usage{Calls: 1}
	if k.call.engine {
		u.PromptTokens = 1
	}
	return u
}

// breakOff lets the upstream's answer break.
func (w *world) breakOff(k *worker) {
	w.oracle.notef("%s: the answer of %s breaks", k.vm.holder.VM, k.call.id)
	if k.call.once {
		w.end(k, true, failure.New(failure.OutcomeUnknown, "the outcome is unknown"))
		return
	}
	w.end(k, true, failure.New(failure.UpstreamFailed, "the answer broke"))
}

// end records that an attempt ended without an answer, and tells the caller.
func (w *world) end(k *worker, ran bool, err *failure.Error) {
	w.drop(k)
	ended := sequencer.Fail{AttemptID: k.attempt(), Dispatched: ran}
	if ran {
		ended.Usage = usage(k)
		if k.call.engine {
			ended.Upstream = k.engine
		}
	}
	_, unrecorded := w.do(k.vm, ended)
	if unrecorded != nil && !failure.Is(unrecorded, failure.NotDurable) {
		k.vm.unsettled = append(k.vm.unsettled, ended)
	}
	told := *err
	told.NotRun = !ran && k.run.FirstAttempt && unrecorded == nil
	w.refused(k.client, k.call, &told)
}

// show compares what a VM shows with what callers were told.
func (w *world) show(c *client, v *vm) {
	if v.frozen || v.gone {
		return
	}
	if o, err := w.do(v, sequencer.Show{Program: c.program, Team: "team"}); err == nil {
		w.oracle.compare(o.(outcome.Shown).View.State)
	}
}

// heal ends all faults and lets the calls end.
func (w *world) heal() {
	w.outage, w.lose, w.late = false, 0, 0
	w.keeper.Settle()
	for _, v := range w.vms {
		v.frozen, v.missed = false, false
	}
	for range 4 {
		for _, k := range slices.Clone(w.workers) {
			for slices.Contains(w.workers, k) {
				w.step(k, false)
			}
		}
		for _, v := range w.vms {
			w.background(v)
		}
	}
}

// finish lets every caller send its call until it is answered, unless the budget
// is spent or an outcome is unknown.
func (w *world) finish() {
	for _, c := range w.clients {
		for try := 0; c.current != nil && !c.stopped; try++ {
			if try > 2*len(w.vms) {
				w.oracle.failf("call %s of %s is not answered after all faults ended", c.current.id, c.program)
			}
			w.send(c, w.vms[try%len(w.vms)], c.current.once, c.current.engine)
			w.heal()
		}
	}
}

// checkHistories looks at all programs after the faults.
func (w *world) checkHistories() {
	unknown, spent := map[string]unit.Calls{}, map[string]unit.Calls{}
	for _, c := range w.clients {
		o, ok := w.ask(sequencer.Show{Program: c.program, Team: "team"}).(outcome.Shown)
		if !ok {
			w.oracle.failf("property 2: program %s can't be shown after all faults ended", c.program)
			return
		}
		w.oracle.compare(o.View.State)
		root := string(c.program.Root())
		spent[root] = o.View.Root.Spent.Calls
		for id, call := range o.View.Calls {
			if call.Status == program.Unknown {
				unknown[root]++
			} else if call.Open() && w.runs(call.Holder) && !c.stopped {
				w.oracle.failf("call %s of %s is %s after all calls ended", id, c.program, call.Status)
			}
		}
	}
	for _, c := range w.clients {
		if root := c.program.Root(); c.program.IsRoot() {
			w.oracle.compareBudget(root, spent[string(root)], unknown[string(root)])
		}
	}
}

// describe gives a VM's answer in one line.
func describe(o outcome.Outcome, err error) string {
	if err != nil {
		refused := failure.From(err)
		if err == errWaits { //nolint:errorlint // it is never wrapped
			return "no answer yet: a call is under way"
		}
		run := "may have run"
		if refused.NotRun {
			run = "not run"
		}
		return fmt.Sprintf("%s (%s): %s", refused.Kind, run, refused.Message)
	}
	switch o := o.(type) {
	case outcome.Run:
		return fmt.Sprintf("leave to run attempt %d with %d turns", o.Attempt, len(o.History))
	case outcome.Replay:
		return fmt.Sprintf("the recorded answer %q of attempt %d", o.Answer.Body, o.Attempt)
	case outcome.Shown:
		return describeProgram(o.View)
	case outcome.Opened:
		return fmt.Sprintf("%s is open", o.Program)
	case outcome.Ended:
		return fmt.Sprintf("%s has ended", o.Program)
	case outcome.Durable:
		return "durable"
	}
	return fmt.Sprintf("%T", o)
}

func describeProgram(v program.View) string {
	var words []string
	for _, turn := range v.Turns {
		words = append(words, fmt.Sprintf("%d=%s", turn.Position, turn.Answer.Body))
	}
	for _, id := range slices.Sorted(maps.Keys(v.Calls)) {
		if call := v.Calls[id]; call.Status != program.Done {
			words = append(words, fmt.Sprintf("%s is %s", id, call.Status))
		}
	}
	text := fmt.Sprintf("%s [%s] spent %d of %d calls, %d reserved, memory at %d engines",
		v.ID, strings.Join(words, " "), v.Root.Spent.Calls, v.Root.Budget.Calls, v.Reserved.Calls, len(v.Residents))
	if v.Ended {
		text += ", ended: " + v.Reason
	}
	return text
}
