package resolver_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/resolver"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// parseIntents returns the store's answer with a row for each "program:call:vm" in
// the text. A final "!" means that the attempt has ended without an answer.
func parseIntents(text string) message.RowsRead {
	read := message.RowsRead{Range: committer.IntentRanges()[0]}
	for word := range strings.SplitSeq(text, ",") {
		if word == "none" {
			continue
		}
		name, doubted := strings.CutSuffix(word, "!")
		parts := strings.Split(name, ":")
		value, err := json.Marshal(committer.Intent{
			AttemptID: record.AttemptID{Program: ident.ProgramID(parts[0]), Call: ident.CallID(parts[1]), Attempt: 1},
			Team:      "team", Upstream: "u", Pool: "desk", Holder: record.Holder{VM: ident.VMID(parts[2])}, Doubted: doubted,
		})
		if err != nil {
			panic(err)
		}
		read.Page.Rows = append(read.Page.Rows, rows.Row{ID: rows.ID{Key: rows.Key(parts[0] + "/" + parts[1])}, Value: value})
	}
	return read
}

func decode(f goldentest.Fields) message.Message {
	switch f["message"] {
	case "configuration":
		return message.ConfigurationRead{Configuration: &configuration.Configuration{
			Version: 1, Pools: []configuration.Pool{{ID: "desk", LookUp: !f.Has("silent")}},
			Upstreams: []configuration.Upstream{{ID: "u", Pool: "desk", Address: "u:1"}},
		}}
	case "members":
		return message.MembersListed{VMs: []ident.VMID{ident.VMID(f["vms"])}}
	case "list":
		return parseIntents(f["intents"])
	case "done":
		return message.LookUpDone{Program: ident.ProgramID(f["program"]), Call: ident.CallID(f["call"]), Recorded: f.Has("settled")}
	}
	return message.Tick{}
}

// TestLookUps guards against running calls that are looked up or shown as unknown,
// against unknown outcomes that no VM or several VMs look up, and against look-ups
// that end before the outcome is settled.
func TestLookUps(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	stopped := map[ident.VMID]bool{}
	isRunning := func(h record.Holder) bool { return !stopped[h.VM] }
	r := resolver.New("self", isRunning, func(err error) { t.Error(err) })
	r.Handle(now, message.Started{})
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		stopped[ident.VMID(f["gone"])] = true
		var output []string
		for _, e := range r.Handle(now, decode(f)) {
			switch e := e.(type) {
			case effect.LookUp:
				output = append(output, fmt.Sprintf("look up %s of %s at %s", e.Call, e.Program, e.Address))
			case effect.ReadRows:
				if len(output) == 0 || output[len(output)-1] != "read the list" {
					output = append(output, "read the list")
				}
			case effect.WakeAt:
				output = append(output, fmt.Sprint("wake in ", e.Time.Sub(now)))
			}
		}
		view := &snapshot.Snapshot{}
		r.Describe(view)
		return fmt.Sprintf("%s (%d unknown)", strings.Join(output, ", "), len(view.UnknownCalls))
	})).To(Succeed())
}
