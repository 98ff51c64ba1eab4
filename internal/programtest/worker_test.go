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

// step advances a worker's call by one stage, as the request filters do. If breaks
// is set, the answer of a dispatched call breaks off.
func (sim *simulation) step(k *worker, breaks bool) {
	switch {
	case k.stage == started && k.call.atMostOnce:
		sim.recordIntent(k)
	case k.stage == started || k.stage == intentRecorded:
		sim.dispatch(k)
	case breaks:
		sim.breakAnswer(k)
	default:
		sim.recordAnswer(k)
	}
}

// recordIntent records the durable intent of a call before it is dispatched.
func (sim *simulation) recordIntent(k *worker) {
	_, err := sim.do(k.vm, sequencer.Intend{AttemptID: k.attemptID(), Upstream: "u"})
	sim.oracle.tracef("%s: the intent of %s: %s", k.vm.holder.VM, k.call.id, formatOutcome(outcome.Durable{}, err))
	if err != nil {
		sim.endAttempt(k, false, failure.From(err))
		return
	}
	k.stage = intentRecorded
}

// decline makes the upstream refuse the call without running it.
func (sim *simulation) decline(k *worker) {
	sim.oracle.tracef("%s: the upstream declines %s", k.vm.holder.VM, k.call.id)
	if k.call.atMostOnce {
		if _, err := sim.do(k.vm, sequencer.Cancel{AttemptID: k.attemptID()}); err != nil {
			sim.endAttempt(k, false, failure.From(err))
			return
		}
	}
	sim.endAttempt(k, false, failure.New(failure.Overloaded, "declined"))
}

// dispatch sends the call to its upstream, where it arrives.
func (sim *simulation) dispatch(k *worker) {
	k.stage = dispatched
	sim.oracle.bodies[k.call.id] = k.answerBody()
	if k.call.engine {
		sim.residents[k.engine][k.client.program] = true
	}
	sim.oracle.tracef("%s: dispatches %s, attempt %d", k.vm.holder.VM, k.call.id, k.run.Attempt)
	sim.oracle.recordArrival(k.client.program, k.call.id, k.call.position, sim.budgets[k.client.program.Root()])
}

// recordAnswer records the upstream's answer and then returns it to the caller.
func (sim *simulation) recordAnswer(k *worker) {
	complete := sequencer.Complete{
		AttemptID: k.attemptID(), Upstream: "u", Resident: k.call.engine, Answer: record.Answer{Body: k.answerBody(), Usage: usage(k)},
	}
	if k.call.engine {
		complete.Upstream = k.engine
	}
	_, err := sim.do(k.vm, complete)
	sim.oracle.tracef("%s: the answer of %s: %s", k.vm.holder.VM, k.call.id, formatOutcome(outcome.Durable{}, err))
	sim.removeWorker(k)
	if err == nil {
		sim.answerCaller(k.client, k.call, k.answerBody())
		return
	}
	if failure.Is(err, failure.PlatformUnavailable) {
		k.vm.pendingRequests = append(k.vm.pendingRequests, complete)
		err = failure.New(failure.NotDurable, "not recorded in time")
	}
	sim.refuseCaller(k.client, k.call, err)
}

func usage(k *worker) record.Usage {
	u := record.Usage{Calls: 1}
	if k.call.engine {
		u.PromptTokens = 1
	}
	return u
}

// breakAnswer makes the upstream's answer break off.
func (sim *simulation) breakAnswer(k *worker) {
	sim.oracle.tracef("%s: the answer of %s breaks off", k.vm.holder.VM, k.call.id)
	if k.call.atMostOnce {
		sim.endAttempt(k, true, failure.New(failure.OutcomeUnknown, "the outcome is unknown"))
		return
	}
	sim.endAttempt(k, true, failure.New(failure.UpstreamFailed, "the answer broke off"))
}

// endAttempt records that an attempt ended without an answer and returns the error
// to the caller.
func (sim *simulation) endAttempt(k *worker, ran bool, err *failure.Error) {
	sim.removeWorker(k)
	ended := sequencer.Fail{AttemptID: k.attemptID(), Dispatched: ran}
	if ran {
		ended.Usage = usage(k)
		if k.call.engine {
			ended.Upstream = k.engine
		}
	}
	_, unrecorded := sim.do(k.vm, ended)
	if unrecorded != nil && !failure.Is(unrecorded, failure.NotDurable) {
		k.vm.pendingRequests = append(k.vm.pendingRequests, ended)
	}
	told := *err
	told.NotRun = !ran && k.run.FirstAttempt && unrecorded == nil
	sim.refuseCaller(k.client, k.call, &told)
}

// compareShown compares the history reported by a VM with the answers that callers
// received.
func (sim *simulation) compareShown(c *client, v *vm) {
	if v.frozen || v.crashed {
		return
	}
	if o, err := sim.do(v, sequencer.Show{Program: c.program, Team: "team"}); err == nil {
		sim.oracle.verifyHistory(o.(outcome.Shown).View.State)
	}
}

// clearFaults ends all faults and completes the running calls.
func (sim *simulation) clearFaults() {
	sim.outage, sim.answersToLose, sim.lateTransactions = false, 0, 0
	sim.store.ApplyHeldBack()
	for _, v := range sim.vms {
		v.frozen, v.suspected = false, false
	}
	for range 4 {
		for _, k := range slices.Clone(sim.workers) {
			for slices.Contains(sim.workers, k) {
				sim.step(k, false)
			}
		}
		for _, v := range sim.vms {
			sim.runBackground(v)
		}
	}
}

// finishCalls makes every caller repeat its call until it is answered, unless the
// budget is spent or an outcome is unknown.
func (sim *simulation) finishCalls() {
	for _, c := range sim.clients {
		for try := 0; c.current != nil && !c.stopped; try++ {
			if try > 2*len(sim.vms) {
				sim.oracle.failf("call %s of %s is not answered after all faults were cleared", c.current.id, c.program)
			}
			sim.send(c, sim.vms[try%len(sim.vms)], c.current.atMostOnce, c.current.engine)
			sim.clearFaults()
		}
	}
}

// checkHistories checks the history and the budget of every program after all
// faults were cleared.
func (sim *simulation) checkHistories() {
	unknown, spent := map[string]unit.Calls{}, map[string]unit.Calls{}
	for _, c := range sim.clients {
		o, ok := sim.doAnywhere(sequencer.Show{Program: c.program, Team: "team"}).(outcome.Shown)
		if !ok {
			sim.oracle.failf("property 2: program %s can't be read after all faults were cleared", c.program)
			return
		}
		sim.oracle.verifyHistory(o.View.State)
		root := string(c.program.Root())
		spent[root] = o.View.Root.Spent.Calls
		for id, call := range o.View.Calls {
			if call.Status == program.Unknown {
				unknown[root]++
			} else if call.Open() && sim.isAlive(call.Holder) && !c.stopped {
				sim.oracle.failf("call %s of %s is still %s after all calls ended", id, c.program, call.Status)
			}
		}
	}
	for _, c := range sim.clients {
		if root := c.program.Root(); c.program.IsRoot() {
			sim.oracle.verifyBudget(root, spent[string(root)], unknown[string(root)])
		}
	}
}

// formatOutcome formats a VM's response as one line.
func formatOutcome(o outcome.Outcome, err error) string {
	if err != nil {
		refused := failure.From(err)
		if err == errCallPending { //nolint:errorlint // never wrapped
			return "no answer yet, the call is running"
		}
		run := "may have run"
		if refused.NotRun {
			run = "not run"
		}
		return fmt.Sprintf("%s (%s): %s", refused.Kind, run, refused.Message)
	}
	switch o := o.(type) {
	case outcome.Run:
		return fmt.Sprintf("run attempt %d with %d turns of history", o.Attempt, len(o.History))
	case outcome.Replay:
		return fmt.Sprintf("recorded answer %q of attempt %d", o.Answer.Body, o.Attempt)
	case outcome.Shown:
		return formatProgram(o.View)
	case outcome.Opened:
		return fmt.Sprintf("%s is open", o.Program)
	case outcome.Ended:
		return fmt.Sprintf("%s has ended", o.Program)
	case outcome.Durable:
		return "durable"
	}
	return fmt.Sprintf("%T", o)
}

func formatProgram(v program.View) string {
	var words []string
	for _, turn := range v.Turns {
		words = append(words, fmt.Sprintf("%d=%s", turn.Position, turn.Answer.Body))
	}
	for _, id := range slices.Sorted(maps.Keys(v.Calls)) {
		if call := v.Calls[id]; call.Status != program.Done {
			words = append(words, fmt.Sprintf("%s is %s", id, call.Status))
		}
	}
	text := fmt.Sprintf("%s [%s] spent %d of %d calls, %d reserved, resident at %d engines",
		v.ID, strings.Join(words, " "), v.Root.Spent.Calls, v.Root.Budget.Calls, v.Reserved.Calls, len(v.CachedTokens))
	if v.Ended {
		text += ", ended: " + v.Reason
	}
	return text
}
