// Package capacitytest measures what the state, the messages and the records of
// one entry VM cost by their sizes. scripts/capacity runs the measurements.
package capacitytest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/assigner"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/configurer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/placer"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/registrar"
	"github.com/sassafrasspur/sassafrasspur/internal/releaser"
	"github.com/sassafrasspur/sassafrasspur/internal/resolver"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	pools = 4
	// turnTokens is the length of a turn of a program with 260 turns and
	// 390,000 tokens of history; a token has about four bytes.
	turnTokens    = 1500
	bytesPerToken = 4
	team          = "team"
)

// size is what the cost of a node is measured by.
type size struct {
	programs, turns, upstreams, nodes, shards int
}

func (s size) String() string {
	return fmt.Sprintf("programs=%d/turns=%d/upstreams=%d/nodes=%d/shards=%d", s.programs, s.turns, s.upstreams, s.nodes, s.shards)
}

// node has all controllers of one entry VM, in the order of control.go.
// Effects that need I/O are answered by hand, so that only the controllers are
// measured.
type node struct {
	size
	now         time.Time
	controllers []executor.Controller
	commits     []effect.Commit
	answers     map[ident.Ticket]outcome.Outcome
	lastTicket  ident.Ticket
	programs    []ident.ProgramID
	positions   []ident.Position
	load        func(ident.Shard) program.Set
}

func newNode(s size) *node {
	n := &node{size: s, now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), answers: map[ident.Ticket]outcome.Outcome{}}
	sets := n.sets()
	n.load = func(shard ident.Shard) program.Set { return sets[shard] }
	n.controllers = []executor.Controller{
		committer.New(committer.WithProcess("p"), committer.WithSpacing(0)),
		registrar.New(clusterNode(0), registrar.WithProcess("p"), registrar.WithShards(s.shards)),
		configurer.New("vm-0"),
		sequencer.New(sequencer.WithShards(s.shards)),
		placer.New(placer.WithVM("vm-0"), placer.WithRegion("r0")),
		releaser.New(),
		resolver.New(),
	}
	n.handle(message.Started{})
	n.handle(message.ConfigurationRead{StartedAt: n.now, Configuration: configured(s.upstreams, 0)})
	for range 2 {
		// The rows of the other nodes count as live once they were seen to change.
		n.handle(n.clusterRead())
		n.now = n.now.Add(time.Second)
	}
	n.settle()
	n.report()
	return n
}

// handle gives a message and all that follows from it to the controllers, as
// the executor does.
func (n *node) handle(m message.Message) {
	queue := []message.Message{m}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, c := range n.controllers {
			for _, e := range c.Handle(n.now, next) {
				switch e := e.(type) {
				case effect.Answer:
					n.answers[e.Ticket] = e.Outcome
				case effect.Send:
					queue = append(queue, e.Message)
				case effect.Join:
					queue = append(queue, n.joined(e))
				case effect.LoadShard:
					queue = append(queue, message.ShardLoaded{Shard: e.Shard, Epoch: e.Epoch, Programs: n.load(e.Shard)})
				case effect.Commit:
					n.commits = append(n.commits, e)
				}
			}
		}
	}
}

// settle answers all commits that are under way.
func (n *node) settle() {
	for len(n.commits) > 0 {
		commit := n.commits[0]
		n.commits = n.commits[1:]
		n.handle(message.CommitDone{WriteID: commit.Node.WriteID, Verdict: message.Committed, SentAt: n.now, AnsweredAt: n.now})
	}
}

// report answers the reads of all upstreams.
func (n *node) report() {
	n.handle(n.listed())
	for i := range n.upstreams {
		n.handle(n.reported(i))
	}
}

func (n *node) listed() message.UpstreamsListed {
	listed := message.UpstreamsListed{StartedAt: n.now, States: make([]message.UpstreamState, n.upstreams)}
	for i := range listed.States {
		listed.States[i] = message.UpstreamState{Address: address(i)}
	}
	return listed
}

func (n *node) reported(i int) message.UpstreamReported {
	return message.UpstreamReported{Upstream: upstreamID(i), StartedAt: n.now, Running: 3}
}

func (n *node) joined(e effect.Join) message.JoinDone {
	self := e.Node
	self.Incarnation, self.Version, self.WriteID = 1, 1, e.WriteID
	return message.JoinDone{Verdict: message.Committed, Node: self, Assignment: n.assignment(), SentAt: n.now}
}

func (n *node) assignment() cluster.Assignment { return assignment(n.shards, n.nodes) }

func (n *node) clusterRead() message.ClusterRead {
	read := message.ClusterRead{StartedAt: n.now, Assignment: n.assignment()}
	for i := range n.nodes {
		row := clusterNode(i)
		row.Incarnation, row.Version = 1, ident.Version(n.now.Unix())
		read.Nodes = append(read.Nodes, row)
	}
	return read
}

func (n *node) describe() *snapshot.Snapshot {
	s := &snapshot.Snapshot{}
	for _, c := range n.controllers {
		c.Describe(s)
	}
	return s
}

// sets makes the programs of the node's own shards.
func (n *node) sets() map[ident.Shard]program.Set {
	sets := map[ident.Shard]program.Set{}
	for shard := range n.shards {
		sets[ident.Shard(shard)] = program.Set{}
	}
	for i := 0; len(n.programs) < n.size.programs; i++ {
		id := ident.ProgramID(fmt.Sprintf("program-%08d", i))
		shard := id.Shard(n.shards)
		if targets(n.shards, n.nodes)[shard] != "vm-0" {
			continue
		}
		n.programs = append(n.programs, id)
		n.positions = append(n.positions, ident.Position(n.turns))
		sets[shard][id] = history(id, n.turns, turnTokens, false)
	}
	return sets
}

// history makes a program with some turns. Own turns have text of their own,
// others share one text, which saves memory where text is not measured.
func history(id ident.ProgramID, turns, tokens int, own bool) *program.State {
	set := program.Set{}
	limit := record.Allowance{Calls: 1 << 30, Tokens: 1 << 50}
	set.Apply(record.Opened{
		Program: id, Team: team, Class: "class-0", Allowance: limit,
		Budget: record.Budget{Calls: limit.Calls, Tokens: limit.Tokens, Expires: time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)},
	})
	for turn := 1; turn <= turns; turn++ {
		completed := completion(id, turn, tokens)
		if own {
			completed.Request.Body = strings.Clone(completed.Request.Body)
			completed.Answer.Body = strings.Clone(completed.Answer.Body)
		}
		set.Apply(completed)
	}
	return set[id]
}

// completion is the record of a turn: a third of its text is the request.
func completion(id ident.ProgramID, turn, tokens int) record.Completed {
	text := text(tokens * bytesPerToken)
	split := len(text) / 3
	return record.Completed{
		Program: id,
		Request: record.Request{
			Call: callID(id, turn), Position: ident.Position(turn), Pool: poolID(0), Body: text[:split], MaxTokens: unit.Tokens(tokens),
		},
		BodyHash: 1 << 60, Attempt: 1, Upstream: upstreamID(turn % 2 * pools), Resident: true,
		Answer: record.Answer{Body: text[split:], Usage: record.Usage{
			Calls: 1, PromptTokens: unit.Tokens(turn * tokens), CachedTokens: unit.Tokens((turn - 1) * tokens), OutputTokens: unit.Tokens(tokens * 2 / 3),
		}},
	}
}

var texts = map[int]string{}

func text(length int) string {
	if _, ok := texts[length]; !ok {
		texts[length] = strings.Repeat("book the green ", length/15+1)[:length]
	}
	return texts[length]
}

// configured makes a configuration with upstreams in four pools and a loan for
// each tenth of them.
func configured(upstreams, teams int) *configuration.Configuration {
	c := &configuration.Configuration{Version: 1, Teams: []configuration.Team{{ID: team, MaxTokens: 1 << 40, MaxCalls: 1 << 20}}}
	for i := range teams {
		c.Teams = append(c.Teams, configuration.Team{ID: ident.TeamID(fmt.Sprintf("team-%05d", i)), MaxTokens: 4000000, MaxCalls: 1000})
	}
	for i := range pools {
		c.Pools = append(c.Pools, configuration.Pool{ID: poolID(i), Kind: configuration.EnginePool})
		c.Classes = append(c.Classes, configuration.Class{ID: ident.Class(fmt.Sprintf("class-%d", i)), Rank: i})
	}
	for i := range upstreams {
		u := configuration.Upstream{
			ID: upstreamID(i), Pool: poolID(i % pools), Team: team, Address: address(i),
			Region: ident.Region(fmt.Sprintf("r%d", i%3)), Domain: ident.Domain(fmt.Sprintf("d%d", i%8)), Slots: 1 << 20,
		}
		if i%10 == 0 {
			u.Loans = []configuration.Loan{{Borrower: "team-00001", Share: 0.5, Reclaim: time.Minute}}
		}
		c.Upstreams = append(c.Upstreams, u)
	}
	return c
}

func assignment(shards, nodes int) cluster.Assignment {
	a := cluster.Assignment{Version: 1, Owners: make([]cluster.Owner, shards), WriteID: "0d1f6a52-8f5c-4a52-bb8f-d8a5a1f1a001-r1"}
	for i := range a.Owners {
		a.Owners[i] = cluster.Owner{VM: targets(shards, nodes)[i], Incarnation: 1, Epoch: 1}
	}
	return a
}

var assigned = map[[2]int][]ident.VMID{}

// targets returns the owners at rest, at which no node hands a shard over.
func targets(shards, nodes int) []ident.VMID {
	key := [2]int{shards, nodes}
	if assigned[key] == nil {
		var vms []ident.VMID
		for i := range nodes {
			vms = append(vms, clusterNode(i).VM)
		}
		slices.Sort(vms)
		assigned[key] = assigner.Assigner{Shards: shards}.Targets(vms)
	}
	return assigned[key]
}

func clusterNode(i int) cluster.Node {
	return cluster.Node{
		VM: ident.VMID(fmt.Sprintf("vm-%d", i)), State: cluster.Live, PeerAddress: address(i), CallerAddress: address(i),
		Region: ident.Region(fmt.Sprintf("r%d", i%3)), Domain: ident.Domain(fmt.Sprintf("d%d", i%8)), WriteID: "0d1f6a52-8f5c-4a52-bb8f-d8a5a1f1a001-1",
	}
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250) }

func upstreamID(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("upstream-%05d", i)) }

func poolID(i int) ident.PoolID { return ident.PoolID(fmt.Sprintf("pool-%d", i)) }

func callID(id ident.ProgramID, turn int) ident.CallID {
	return ident.CallID(fmt.Sprintf("%s/%d", id, turn))
}
