package nodetest

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configurer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/releaser"
)

// Guards against engine memory that stays with ended programs when releases are
// lost or late, engines are down, cache reads have gaps, or the owner of an
// attempt crashed before a record named the engine.
var _ = ginkgo.It("frees the engine memory of ended programs", func() {
	check("100", func(t *rapid.T) {
		w := newEmptyWorld(newOracle(t.Fatal))
		w.engines = newEngines(w.oracle.notef)
		w.configure()
		w.extend = w.addReleaser
		w.populate()
		actions := w.actions()
		for name, action := range w.engineActions() {
			actions[name] = action
		}
		t.Repeat(actions)
		w.engines.heal()
		w.heal()
		w.engines.heal()
		w.advance(time.Minute)
		w.checkMemory()
	})
})

func (w *world) addReleaser(n *node) {
	n.controllers = append(n.controllers, configurer.New(n.vm), releaser.New())
	n.outside = func(n *node, e effect.Effect) {
		switch e := e.(type) {
		case effect.ReadConfiguration:
			n.inbox = append(n.inbox, w.readConfiguration())
		case effect.Release:
			n.inbox = append(n.inbox, w.engines.release(e))
		case effect.ReadCache:
			n.inbox = append(n.inbox, w.engines.readCache(e))
		}
	}
}

func (w *world) engineActions() map[string]func(*rapid.T) {
	g := w.engines
	end := func(t *rapid.T) {
		id := rapid.SampledFrom(w.clients).Draw(t, "client").program
		n := w.owner(id, w.nodes[0])
		n.ask(func(t ident.Ticket) message.Message {
			return message.EndProgram{Ticket: t, Program: id, Team: "team", Reason: "ended"}
		})
		w.oracle.notef("%s: is asked to end %s", n.vm, id)
	}
	fault := func(t *rapid.T) {
		engine := rapid.SampledFrom([]ident.UpstreamID{"e0", "e1"}).Draw(t, "engine")
		name := rapid.SampledFrom([]string{"down", "up", "lose", "late", "slow", "gap", "arrive"}).Draw(t, "engine fault")
		w.oracle.notef("%s: %s", engine, name)
		switch name {
		case "down", "up":
			g.down[engine] = name == "down"
		case "lose":
			g.lost++
		case "late":
			g.late++
		case "slow":
			g.slow++
		case "gap":
			g.gaps++
		case "arrive":
			g.arrive()
		}
	}
	return map[string]func(*rapid.T){"end": end, "engine fault": fault, "engine fault again": fault}
}

// heal ends the faults; what is on the way arrives.
func (g *engines) heal() {
	clear(g.down)
	g.lost, g.late, g.slow, g.gaps = 0, 0, 0, 0
	g.arrive()
}

// checkMemory looks for ended programs that an engine still holds.
func (w *world) checkMemory() {
	for _, c := range w.clients {
		answer := w.request(func(t ident.Ticket) message.Message {
			return message.ShowProgram{Ticket: t, Program: c.program, Team: "team"}
		})
		shown, ok := answer.(outcome.Shown)
		if !ok {
			w.oracle.failf("property 4: program %s can't be shown after all faults ended", c.program)
			return
		}
		for _, engine := range []ident.UpstreamID{"e0", "e1"} {
			if _, held := w.engines.residents[engine][c.program]; held && shown.View.Ended {
				w.oracle.failf("property 4: engine %s holds program %s, which has ended, a minute after all faults ended", engine, c.program)
			}
		}
	}
}

// place chooses the engine of a worker's next dispatch.
func (w *world) place(t *rapid.T, k *worker) {
	if k.call.engine {
		up := slices.DeleteFunc([]ident.UpstreamID{"e0", "e1"}, func(id ident.UpstreamID) bool { return w.engines.down[id] })
		if len(up) > 0 {
			k.upstream = rapid.SampledFrom(up).Draw(t, "engine")
		}
	}
}
