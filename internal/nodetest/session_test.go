package nodetest

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/configurer"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/releaser"
	"github.com/sassafrasspur/sassafrasspur/internal/resolver"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var update = flag.Bool("update", false, "rewrite the transcripts of sessions")

// session runs the script of a golden file in a world. Each command is followed
// in the transcript by what happened because of it.
type session struct {
	*world
	plans  *confirmer.Confirmer
	owners []cluster.Owner
	shown  int
	out    strings.Builder
}

// Guards against a change of what callers are told, of what reaches upstreams,
// or of who owns a program, in the cases that docs/design.md decides. The oracle
// of the properties looks at these sessions, too.
var _ = ginkgo.It("runs whole sessions as their transcripts say", func() {
	paths, err := filepath.Glob("testdata/*.txtar")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(paths).NotTo(gomega.BeEmpty())
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(archive.Files).NotTo(gomega.BeEmpty(), path)
		got := runSession(string(archive.Files[0].Data))
		if *update {
			archive.Files = []txtar.File{archive.Files[0], {Name: "transcript", Data: []byte(got)}}
			gomega.Expect(os.WriteFile(path, txtar.Format(archive), 0o644)).To(gomega.Succeed())
			continue
		}
		gomega.Expect(archive.Files).To(gomega.HaveLen(2), path)
		gomega.Expect(got).To(gomega.Equal(string(archive.Files[1].Data)), path)
	}
})

func runSession(script string) string {
	s := &session{world: newEmptyWorld(newOracle(func(args ...any) { ginkgo.Fail(fmt.Sprint(args...)) }))}
	s.engines = newEngines(s.oracle.notef)
	s.extend = s.addControllers
	s.configure()
	s.platform.watch = s.watch
	plan := 0
	s.plans = confirmer.New(s.platform, timer.New(), confirmer.WithRetries(3, 0), confirmer.WithIDs(func() string {
		plan++
		return fmt.Sprintf("plan%d", plan)
	}))
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			fmt.Fprintln(&s.out, line)
			continue
		}
		fmt.Fprintf(&s.out, "> %s\n", line)
		s.do(strings.Fields(line))
		s.settle()
		for _, event := range s.oracle.trace[s.shown:] {
			fmt.Fprintf(&s.out, "  %s\n", event)
		}
		s.shown = len(s.oracle.trace)
	}
	return s.out.String()
}

func (s *session) addControllers(n *node) {
	n.controllers = append(n.controllers, configurer.New(n.vm), releaser.New(), resolver.New())
	n.outside = func(n *node, e effect.Effect) {
		switch e := e.(type) {
		case effect.ReadConfiguration:
			n.inbox = append(n.inbox, s.readConfiguration())
		case effect.LookUp:
			n.inbox = append(n.inbox, s.lookUp(e))
		case effect.Release:
			n.inbox = append(n.inbox, s.engines.release(e))
		case effect.ReadCache:
			n.inbox = append(n.inbox, s.engines.readCache(e))
		}
	}
}

// watch notes the writes that change owners, nodes and checkpoints.
func (s *session) watch(writes []table.Write) {
	for _, w := range writes {
		switch w.Kind {
		case table.NodeKind:
			var node cluster.Node
			s.decode(w, &node)
			if node.State == cluster.Closed || strings.Contains(string(w.WriteID), "-r") {
				s.oracle.notef("platform: row of %s: incarnation %d is %s", node.VM, node.Incarnation, node.State)
			}
		case table.AssignmentKind:
			var a cluster.Assignment
			s.decode(w, &a)
			for shard, owner := range a.Owners {
				if shard >= len(s.owners) || s.owners[shard] != owner {
					s.oracle.notef("platform: shard %d is owned by %s, incarnation %d, from epoch %d", shard, owner.VM, owner.Incarnation, owner.Epoch)
				}
			}
			s.owners = a.Owners
		case table.ShardKind:
			var row cluster.ShardRow
			s.decode(w, &row)
			for _, span := range row.Spans {
				s.oracle.notef("platform: shard %d is to be replayed from %s, incarnation %d, segments %d to %d", row.Shard, span.VM, span.Incarnation, span.From+1, span.To)
			}
			if len(row.Spans) == 0 {
				s.oracle.notef("platform: %s covers segment %d", row.Checkpoint, row.Covered)
			}
		case table.ConfigurationKind:
			s.oracle.notef("platform: configuration version %d is in force by %s", w.Expect+1, w.WriteID)
		}
	}
}

func (s *session) decode(w table.Write, row any) {
	if err := json.Unmarshal(w.Body, row); err != nil {
		panic(err)
	}
}

// at returns the node that a command names by "at", or the program's owner.
func (s *session) at(words []string, id ident.ProgramID) *node {
	if i := slices.Index(words, "at"); i >= 0 {
		return s.node(words[i+1])
	}
	return s.owner(id, s.nodes[0])
}

func (s *session) node(vm string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return string(n.vm) == vm })
	if i < 0 {
		ginkgo.Fail("no node " + vm)
	}
	return s.nodes[i]
}

func (s *session) client(id ident.ProgramID) *client {
	for _, c := range s.clients {
		if c.program == id {
			return c
		}
	}
	c := &client{program: id}
	s.clients = append(s.clients, c)
	return c
}

// worker returns the worker of a call, the one on the node that "at" names if
// there are several.
func (s *session) worker(words []string) *worker {
	for _, k := range s.workers {
		if string(k.call.id) == words[1] && (len(words) < 4 || string(k.node.vm) == words[3]) {
			return k
		}
	}
	ginkgo.Fail("no worker of call " + words[1] + "\n" + s.out.String())
	return nil
}

func (s *session) do(words []string) {
	switch words[0] {
	case "start":
		s.nodes = append(s.nodes, s.start(ident.VMID(words[1])))
	case "advance":
		d, err := time.ParseDuration(words[1])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s.advance(d)
	case "crash":
		s.crash(s.node(words[1]))
	case "kill":
		old := s.node(words[1])
		s.nodes = slices.DeleteFunc(s.nodes, func(n *node) bool { return n == old })
		s.forget(old)
	case "freeze", "unfreeze":
		s.node(words[1]).frozen = words[0] == "freeze"
	case "limit":
		s.withhold(s.node(words[1]))
	case "leave":
		s.node(words[1]).handle(message.ShutdownRequested{})
	case "outage":
		s.platform.outage = words[1] == "on"
	case "lose":
		s.platform.lost++
	case "delay":
		s.platform.dropped++
	case "apply":
		before := s.platform.writes
		s.platform.arrive()
		s.oracle.notef("platform: the late write took effect: %v", s.platform.writes > before)
	case "check", "dispatch", "answer", "break", "work":
		s.work(words[0], s.worker(words))
	case "down", "up":
		s.engines.down[ident.UpstreamID(words[1])] = words[0] == "down"
	case "plan", "confirm", "versions":
		s.operate(words)
	default:
		s.request(words)
	}
}

// work takes a call one step further, or through all steps.
func (s *session) work(step string, k *worker) {
	switch step {
	case "check":
		s.check(k)
	case "dispatch":
		s.dispatch(k)
	case "answer", "break":
		s.receive(k, step == "break")
	case "work":
		s.finish(k, false)
	}
}

// request sends a request to a node.
func (s *session) request(words []string) {
	id := ident.ProgramID(words[1])
	n := s.at(words, id)
	if words[0] == "call" {
		position, err := strconv.Atoi(words[3])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		c := call{
			id: ident.CallID(words[2]), position: ident.Position(position),
			once: slices.Contains(words, "once"), engine: slices.Contains(words, "engine"),
		}
		if slices.Contains(words, "changed") {
			c.body = 1
		}
		s.oracle.once[c.id] = c.once
		// A caller that was told "not run" may send the call again.
		delete(s.oracle.notRun, c.id)
		s.post(s.client(id), n, c, !slices.Contains(words, "repeated"))
		return
	}
	ticket := n.ask(func(t ident.Ticket) message.Message {
		switch words[0] {
		case "open":
			calls, err := strconv.Atoi(words[2])
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			s.budgets[id] = unit.Calls(calls)
			return message.OpenProgram{Ticket: t, Program: id, Team: "team", Budget: record.Budget{Calls: unit.Calls(calls), Tokens: budgetTokens}}
		case "child":
			return message.OpenChild{Ticket: t, Parent: id.Root(), Child: id, Team: "team"}
		case "end":
			return message.EndProgram{Ticket: t, Program: id, Team: "team", Reason: "ended by its caller"}
		case "show":
			return message.ShowProgram{Ticket: t, Program: id, Team: "team"}
		case "resolve":
			ran := words[3] == "ran"
			return message.ResolveCall{
				Ticket: t, Program: id, Call: ident.CallID(words[2]), Ran: ran, By: "plan",
				Answer: record.Answer{Body: words[2], Usage: record.Usage{Calls: 1}},
			}
		}
		ginkgo.Fail("unknown command " + words[0])
		return nil
	})
	s.asks = append(s.asks, pendingAsk{node: n, ticket: ticket, text: strings.Join(words[:2], " ")})
	s.collect()
}

// operate does what an operator does.
func (s *session) operate(words []string) {
	ctx := context.Background()
	switch words[0] {
	case "plan":
		text := fmt.Sprintf("[[intent]]\nkind = \"create_team\"\nid = %q\nmax_tokens = 1\nmax_calls = 1\n", words[1])
		plan, err := s.plans.Create(ctx, "", text)
		s.oracle.notef("operator: %s is made from version %d (error: %v)", plan.ID, plan.Base, err)
	case "confirm":
		_, err := s.plans.Confirm(ctx, "", ident.PlanID(words[1]))
		s.oracle.notef("operator: confirms %s (error: %v)", words[1], err)
	case "versions":
		for _, n := range s.nodes {
			view := n.snapshot()
			s.oracle.notef("%s: has version %d and takes new work: %v", n.vm, view.Configuration.Version, s.clock.Now().Before(view.ConfigurationUntil))
		}
	}
}
