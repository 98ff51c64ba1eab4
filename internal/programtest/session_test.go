package programtest

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var update = flag.Bool("update", false, "rewrite the session transcripts")

// Guards against changes of the responses to callers or of the calls that reach
// upstreams, in the cases that docs/design.md specifies. The oracle also checks the
// properties in these sessions.
func TestSessions(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("testdata/*.txtar")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).NotTo(BeEmpty())
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(archive.Files).NotTo(BeEmpty(), path)
		s := &session{simulation: newSimulation(newOracle(func(args ...any) { t.Fatal(args...) })), t: t}
		got := s.run(string(archive.Files[0].Data))
		if *update {
			archive.Files = []txtar.File{archive.Files[0], {Name: "transcript", Data: []byte(got)}}
			g.Expect(os.WriteFile(path, txtar.Format(archive), 0o644)).To(Succeed())
			continue
		}
		g.Expect(archive.Files).To(HaveLen(2), path)
		g.Expect(got).To(Equal(string(archive.Files[1].Data)), path)
	}
}

// session runs the script of a golden file in a simulation. In the transcript each
// command is followed by the events that it caused.
type session struct {
	*simulation
	t             *testing.T
	printedEvents int
}

func (s *session) run(script string) string {
	var out strings.Builder
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			fmt.Fprintln(&out, line)
			continue
		}
		fmt.Fprintf(&out, "> %s\n", line)
		s.command(strings.Fields(line))
		for _, event := range s.oracle.trace[s.printedEvents:] {
			fmt.Fprintf(&out, "  %s\n", event)
		}
		s.printedEvents = len(s.oracle.trace)
	}
	return out.String()
}

func (s *session) command(words []string) {
	switch words[0] {
	case "start":
		s.start(ident.VMID(words[1]))
	case "restart":
		s.restart(s.vm(words[1]))
	case "kill":
		s.kill(s.vm(words[1]))
	case "freeze", "unfreeze":
		s.vm(words[1]).frozen = words[0] == "freeze"
	case "miss", "find":
		s.vm(words[1]).suspected = words[0] == "miss"
	case "outage":
		s.outage = words[1] == "on"
	case "lose":
		s.answersToLose++
	case "late":
		s.lateTransactions++
	case "settle":
		s.store.ApplyHeldBack()
	case "background":
		s.runBackground(s.vm(words[1]))
	case "sweep":
		s.sweep()
		for _, engine := range []ident.UpstreamID{"e0", "e1"} {
			s.oracle.tracef("%s: holds %d programs", engine, len(s.residents[engine]))
		}
	case "step", "break", "decline":
		s.work(words[0], s.worker(words[1]))
	default:
		s.request(words)
	}
}

func (s *session) vm(name string) *vm {
	i := slices.IndexFunc(s.vms, func(v *vm) bool { return string(v.holder.VM) == name })
	if i < 0 {
		s.t.Fatal("unknown VM ", name)
	}
	return s.vms[i]
}

// vmAt returns the VM that a command names after "at", or the first VM.
func (s *session) vmAt(words []string) *vm {
	if i := slices.Index(words, "at"); i >= 0 {
		return s.vm(words[i+1])
	}
	return s.vms[0]
}

func (s *session) worker(id string) *worker {
	i := slices.IndexFunc(s.workers, func(k *worker) bool { return string(k.call.id) == id })
	if i < 0 {
		s.t.Fatal("no worker for call ", id)
	}
	return s.workers[i]
}

func (s *session) work(kind string, k *worker) {
	switch kind {
	case "step":
		s.step(k, false)
	case "break":
		s.step(k, true)
	case "decline":
		s.decline(k)
	}
}

func (s *session) request(words []string) {
	v, id := s.vmAt(words), ident.ProgramID(words[1])
	if words[0] == "call" {
		s.call(words, v)
		return
	}
	var r sequencer.Request
	switch words[0] {
	case "open":
		budget := unit.Calls(s.atoi(words[2]))
		s.budgets[id] = budget
		r = sequencer.Open{Program: id, Team: "team", Budget: record.Budget{Calls: budget, Tokens: budgetTokens}}
	case "child":
		r = sequencer.OpenChild{Parent: id.Root(), Child: id, Team: "team"}
	case "end":
		r = sequencer.End{Program: id, Team: "team", Reason: "ended by the caller"}
	case "show":
		r = sequencer.Show{Program: id, Team: "team"}
	case "resolve":
		r = sequencer.Resolve{
			Program: id, Team: "team", Call: ident.CallID(words[2]), Ran: words[3] == "ran", By: "plan",
			Answer: record.Answer{Body: "filed", Usage: record.Usage{Calls: 1}},
		}
	default:
		s.t.Fatal("unknown command ", words)
	}
	o, err := s.do(v, r)
	s.oracle.tracef("%s: %s: %s", v.holder.VM, strings.Join(words[:2], " "), formatOutcome(o, err))
}

// call executes "call PROGRAM ID POSITION FLAGS". The flag "again" marks a repeated
// call, and "changed" sends another body.
func (s *session) call(words []string, v *vm) {
	id := ident.ProgramID(words[1])
	i := slices.IndexFunc(s.clients, func(c *client) bool { return c.program == id })
	if i < 0 {
		s.clients = append(s.clients, &client{program: id, nextPosition: 1})
		i = len(s.clients) - 1
	}
	sent := call{
		id: ident.CallID(words[2]), position: ident.Position(s.atoi(words[3])),
		atMostOnce: slices.Contains(words, "once"), engine: slices.Contains(words, "engine"),
	}
	if slices.Contains(words, "changed") {
		sent.bodyHash = 1
	}
	s.oracle.atMostOnce[sent.id] = sent.atMostOnce
	s.submitCall(s.clients[i], v, sent, !slices.Contains(words, "again") && sent.bodyHash == 0)
}

func (s *session) atoi(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}
