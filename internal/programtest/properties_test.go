package programtest

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// TestMain fixes the seed, so that runs are reproducible. For longer runs set
// SPUR_RAPID_SEED, SPUR_RAPID_CHECKS and SPUR_RAPID_STEPS.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, fallback := range map[string]string{"seed": "20261204", "checks": "1000", "steps": "120"} {
		value := os.Getenv("SPUR_RAPID_" + map[string]string{"seed": "SEED", "checks": "CHECKS", "steps": "STEPS"}[name])
		if value == "" {
			value = fallback
		}
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against lost or duplicated work when VMs are killed, freeze until the
// others consider them dead, or run the same program concurrently, and when the
// store is unavailable, loses responses or applies transactions late.
func TestPrograms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(newOracle(t.Fatal))
		sim.budget = rapid.SampledFrom([]unit.Calls{3, budgetCalls}).Draw(t, "budget")
		for i := range 3 {
			sim.start(ident.VMID(fmt.Sprintf("vm%d", i)))
		}
		sim.openProgram("alpha")
		sim.openProgram("beta")
		t.Repeat(sim.actions())
		sim.clearFaults()
		sim.finishCalls()
		sim.checkHistories()
	})
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	anyVM := func(t *rapid.T) *vm { return sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(t, "vm")] }
	anyClient := func(t *rapid.T) *client { return rapid.SampledFrom(sim.clients).Draw(t, "client") }
	send := func(t *rapid.T) {
		sim.send(anyClient(t), anyVM(t), rapid.Bool().Draw(t, "once"), rapid.Bool().Draw(t, "engine"))
	}
	work := func(t *rapid.T) {
		eligible := slices.DeleteFunc(slices.Clone(sim.workers), func(k *worker) bool { return k.vm.frozen })
		if len(eligible) == 0 {
			send(t)
			return
		}
		k := rapid.SampledFrom(eligible).Draw(t, "worker")
		if k.stage != dispatched {
			k.engine = rapid.SampledFrom([]ident.UpstreamID{"e0", "e1"}).Draw(t, "engine")
		}
		if k.stage != dispatched && rapid.IntRange(0, 5).Draw(t, "declines") == 0 {
			sim.decline(k)
			return
		}
		sim.step(k, rapid.IntRange(0, 4).Draw(t, "breaks") == 0)
	}
	// A caller sends a new call at a position that is taken or beyond the next one.
	conflictingCall := func(t *rapid.T) {
		c, v := anyClient(t), anyVM(t)
		position := c.nextPosition + 3
		if c.nextPosition > 1 && rapid.Bool().Draw(t, "taken") {
			position = ident.Position(rapid.IntRange(1, int(c.nextPosition)-1).Draw(t, "position"))
		}
		if !c.stopped && !v.frozen {
			sim.calls++
			sim.submitCall(c, v, call{id: ident.CallID(fmt.Sprintf("stray%d", sim.calls)), position: position}, true)
		}
	}
	faults := map[string]func(*vm){
		"kill":     sim.restart,
		"freeze":   func(v *vm) { v.frozen = true },
		"miss":     func(v *vm) { v.suspected = v.frozen },
		"unfreeze": func(v *vm) { v.frozen, v.suspected = false, false },
		"thaw": func(*vm) {
			for _, v := range sim.vms {
				v.frozen, v.suspected = false, false
			}
		},
		"outage":     func(*vm) { sim.outage = true },
		"restored":   func(*vm) { sim.outage = false },
		"back":       func(*vm) { sim.outage = false },
		"lose":       func(*vm) { sim.answersToLose++ },
		"late":       func(*vm) { sim.lateTransactions++ },
		"settle":     func(*vm) { sim.store.ApplyHeldBack() },
		"background": func(v *vm) { sim.runBackground(v) },
	}
	names := slices.Sorted(maps.Keys(faults))
	fault := func(t *rapid.T) {
		name, v := rapid.SampledFrom(names).Draw(t, "fault"), anyVM(t)
		sim.oracle.tracef("%s: %s", name, v.holder.VM)
		faults[name](v)
	}
	return map[string]func(*rapid.T){
		"send": send, "send again": send,
		"work": work, "work on": work, "work more": work, "work still": work,
		"show":  func(t *rapid.T) { sim.compareShown(anyClient(t), anyVM(t)) },
		"fault": fault, "stray": conflictingCall,
	}
}

// Guards against engine memory that stays allocated after its program has ended,
// whichever VM was killed in between and whatever had been recorded.
func TestMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(newOracle(t.Fatal))
		for i := range 2 {
			sim.start(ident.VMID(fmt.Sprintf("vm%d", i)))
		}
		sim.openProgram("alpha")
		actions := sim.actions()
		actions["end"] = func(t *rapid.T) {
			v := sim.vms[rapid.IntRange(0, len(sim.vms)-1).Draw(t, "vm")]
			if !v.frozen {
				_, err := sim.do(v, sequencer.End{Program: rapid.SampledFrom(sim.clients).Draw(t, "client").program, Team: "team", Reason: "ended"})
				sim.oracle.tracef("%s: end: %s", v.holder.VM, formatOutcome(outcome.Ended{}, err))
			}
		}
		t.Repeat(actions)
		sim.clearFaults()
		sim.sweep()
		for _, c := range sim.clients {
			shown, ok := sim.doAnywhere(sequencer.Show{Program: c.program}).(outcome.Shown)
			if !ok {
				sim.oracle.failf("property 4: program %s can't be read after all faults were cleared", c.program)
				return
			}
			for engine, held := range sim.residents {
				if held[c.program] && shown.View.Ended {
					sim.oracle.failf("property 4: engine %s holds memory of program %s, which has ended", engine, c.program)
				}
				if !held[c.program] && !shown.View.Ended && len(shown.View.Turns) > 0 && shown.View.CachedTokens[engine] > 0 {
					sim.oracle.failf("property 4: engine %s lost the memory of program %s, which has not ended", engine, c.program)
				}
			}
		}
	})
}

// sweep releases the engine memory of programs that no longer need it, as the
// releaser does.
func (sim *simulation) sweep() {
	for engine, held := range sim.residents {
		for id := range maps.Clone(held) {
			_, releasable, err := sim.vms[0].committer.Releasable(context.Background(), id, engine)
			if err != nil {
				sim.oracle.failf("property 4: memory of %s can't be checked after all faults were cleared: %v", id, err)
			}
			if releasable {
				delete(held, id)
			}
		}
	}
}
