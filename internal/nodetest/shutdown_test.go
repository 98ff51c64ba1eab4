package nodetest

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

// Guards against calls that are cut, run twice or never answered because a node
// leaves while calls run, arrive and go on being sent to it.
var _ = ginkgo.It("interrupts no call by a graceful shutdown", func() {
	check("100", func(t *rapid.T) {
		w := newEmptyWorld(newOracle(t.Fatal))
		w.budget = 1000
		w.onRefusal = func(c call, err *failure.Error) {
			// A node that does not own the program sends the call on to the owner.
			if !err.Is(failure.NotOwner) {
				w.oracle.failf("property 9: call %s is refused at a graceful shutdown: %v", c.id, err)
			}
		}
		w.populate()
		leaving := -1
		leave := func(t *rapid.T) {
			if leaving >= 0 {
				return
			}
			leaving = rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			w.oracle.notef("%s: leaves", w.nodes[leaving].vm)
			w.nodes[leaving].handle(message.ShutdownRequested{})
		}
		exit := func(*rapid.T) {
			if leaving >= 0 && w.left(w.nodes[leaving]) {
				w.oracle.notef("%s: has left and is started again", w.nodes[leaving].vm)
				w.crash(w.nodes[leaving])
				leaving = -1
			}
		}
		all := w.actions()
		t.Repeat(map[string]func(*rapid.T){
			"send": all["send"], "send again": all["send"], "run": all["run"], "pass": all["pass"], "show": all["show"],
			"work": w.workWhole, "work on": w.workWhole, "leave": leave, "exit": exit,
		})
		w.answerAll(leaving)
		w.checkHistories()
	})
})

// left reports whether a node owns nothing and nothing waits at it.
func (w *world) left(n *node) bool {
	s := n.snapshot()
	for _, c := range w.clients {
		if slices.ContainsFunc(c.waits, func(p pendingCall) bool { return p.node == n }) {
			return false
		}
	}
	busy := slices.ContainsFunc(w.workers, func(k *worker) bool { return k.node == n })
	return !busy && len(n.io) == 0 && len(n.inbox) == 0 && s.Self.Incarnation > 0 &&
		len(s.Assignment.OwnedBy(s.Self.VM, s.Self.Incarnation)) == 0
}

// workWhole takes a call one step further; its upstream answers.
func (w *world) workWhole(t *rapid.T) {
	var able []*worker
	for _, k := range w.workers {
		if k.stage == ready || k.stage == checked || k.stage == sent {
			able = append(able, k)
		}
	}
	if len(able) == 0 {
		return
	}
	k := rapid.SampledFrom(able).Draw(t, "worker")
	switch k.stage {
	case ready:
		w.check(k)
	case checked:
		w.dispatch(k)
	case sent:
		w.receive(k, false)
	}
}

// answerAll lets all calls end and checks that each one was answered once, and
// that the node that leaves owns nothing any more.
func (w *world) answerAll(leaving int) {
	for range 20 {
		w.advance(2 * time.Second)
		for _, k := range slices.Clone(w.workers) {
			w.finish(k, false)
		}
		for _, c := range w.clients {
			if c.current != nil && len(c.waits) == 0 {
				w.send(c, w.owner(c.program, w.nodes[0]), c.current.once)
			}
		}
	}
	for _, c := range w.clients {
		if c.current != nil {
			w.oracle.failf("property 9: call %s of %s is not answered", c.current.id, c.program)
		}
	}
	for _, id := range w.oracle.callIDs() {
		if w.oracle.arrivals[id] > 1 {
			w.oracle.failf("property 9: call %s ran %d times at a graceful shutdown", id, w.oracle.arrivals[id])
		}
	}
	if leaving >= 0 && !w.left(w.nodes[leaving]) {
		w.oracle.failf("property 9: %s owns shards 40 s after it began to leave", w.nodes[leaving].vm)
	}
}
