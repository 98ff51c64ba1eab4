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

// TestMain fixes the seed, so that each run gives the same verdict. Longer runs
// set SPUR_RAPID_SEED, SPUR_RAPID_CHECKS and SPUR_RAPID_STEPS.
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

// Guards against lost or doubled work when VMs are killed, freeze for longer than
// the others wait for them, work on the same program at once, and when the store
// is out, loses answers or applies transactions late.
func TestPrograms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(newOracle(t.Fatal))
		w.budget = rapid.SampledFrom([]unit.Calls{3, budgetCalls}).Draw(t, "budget")
		for i := range 3 {
			w.start(ident.VMID(fmt.Sprintf("vm%d", i)))
		}
		w.open("alpha")
		w.open("beta")
		t.Repeat(w.actions())
		w.heal()
		w.finish()
		w.checkHistories()
	})
}

func (w *world) actions() map[string]func(*rapid.T) {
	anyVM := func(t *rapid.T) *vm { return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")] }
	anyClient := func(t *rapid.T) *client { return rapid.SampledFrom(w.clients).Draw(t, "client") }
	send := func(t *rapid.T) {
		w.send(anyClient(t), anyVM(t), rapid.Bool().Draw(t, "once"), rapid.Bool().Draw(t, "engine"))
	}
	work := func(t *rapid.T) {
		able := slices.DeleteFunc(slices.Clone(w.workers), func(k *worker) bool { return k.vm.frozen })
		if len(able) == 0 {
			send(t)
			return
		}
		k := rapid.SampledFrom(able).Draw(t, "worker")
		if k.stage != dispatched {
			k.engine = rapid.SampledFrom([]ident.UpstreamID{"e0", "e1"}).Draw(t, "engine")
		}
		if k.stage != dispatched && rapid.IntRange(0, 5).Draw(t, "declines") == 0 {
			w.decline(k)
			return
		}
		w.step(k, rapid.IntRange(0, 4).Draw(t, "breaks") == 0)
	}
	// A caller that sends a new call at a position that is taken, or far ahead.
	stray := func(t *rapid.T) {
		c, v := anyClient(t), anyVM(t)
		position := c.next + 3
		if c.next > 1 && rapid.Bool().Draw(t, "taken") {
			position = ident.Position(rapid.IntRange(1, int(c.next)-1).Draw(t, "position"))
		}
		if !c.stopped && !v.frozen {
			w.calls++
			w.post(c, v, call{id: ident.CallID(fmt.Sprintf("stray%d", w.calls)), position: position}, true)
		}
	}
	faults := map[string]func(*vm){
		"kill":     w.restart,
		"freeze":   func(v *vm) { v.frozen = true },
		"miss":     func(v *vm) { v.missed = v.frozen },
		"unfreeze": func(v *vm) { v.frozen, v.missed = false, false },
		"thaw": func(*vm) {
			for _, v := range w.vms {
				v.frozen, v.missed = false, false
			}
		},
		"outage":     func(*vm) { w.outage = true },
		"restored":   func(*vm) { w.outage = false },
		"back":       func(*vm) { w.outage = false },
		"lose":       func(*vm) { w.lose++ },
		"late":       func(*vm) { w.late++ },
		"settle":     func(*vm) { w.keeper.Settle() },
		"background": func(v *vm) { w.background(v) },
	}
	names := slices.Sorted(maps.Keys(faults))
	fault := func(t *rapid.T) {
		name, v := rapid.SampledFrom(names).Draw(t, "fault"), anyVM(t)
		w.oracle.notef("%s: %s", name, v.holder.VM)
		faults[name](v)
	}
	return map[string]func(*rapid.T){
		"send": send, "send again": send,
		"work": work, "work on": work, "work more": work, "work still": work,
		"show":  func(t *rapid.T) { w.show(anyClient(t), anyVM(t)) },
		"fault": fault, "stray": stray,
	}
}

// Guards against engine memory that stays after its program has ended, whichever
// VM was killed in between and whatever was recorded of it.
func TestMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(newOracle(t.Fatal))
		for i := range 2 {
			w.start(ident.VMID(fmt.Sprintf("vm%d", i)))
		}
		w.open("alpha")
		actions := w.actions()
		actions["end"] = func(t *rapid.T) {
			v := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
			if !v.frozen {
				_, err := w.do(v, sequencer.End{Program: rapid.SampledFrom(w.clients).Draw(t, "client").program, Team: "team", Reason: "ended"})
				w.oracle.notef("%s: end: %s", v.holder.VM, describe(outcome.Ended{}, err))
			}
		}
		t.Repeat(actions)
		w.heal()
		w.sweep()
		for _, c := range w.clients {
			shown, ok := w.ask(sequencer.Show{Program: c.program}).(outcome.Shown)
			if !ok {
				w.oracle.failf("property 4: program %s can't be shown after all faults ended", c.program)
				return
			}
			for engine, held := range w.residents {
				if held[c.program] && shown.View.Ended {
					w.oracle.failf("property 4: engine %s holds program %s, which has ended", engine, c.program)
				}
				if !held[c.program] && !shown.View.Ended && len(shown.View.Turns) > 0 && shown.View.Residents[engine] > 0 {
					w.oracle.failf("property 4: engine %s lost the memory of program %s, which has not ended", engine, c.program)
				}
			}
		}
	})
}

// sweep compares what engines hold with the programs, as the releaser does.
func (w *world) sweep() {
	for engine, held := range w.residents {
		for id := range maps.Clone(held) {
			_, unneeded, err := w.vms[0].bookkeeper.Unneeded(context.Background(), id, engine)
			if err != nil {
				w.oracle.failf("property 4: memory of %s can't be compared after all faults ended: %v", id, err)
			}
			if unneeded {
				delete(held, id)
			}
		}
	}
}
