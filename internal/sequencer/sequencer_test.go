package sequencer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// submit returns the decision on a call of a program with the budget of a line.
func submit(line string) string {
	f := goldentest.Parse(line)
	now := time.Unix(0, 0)
	s := sequencer.New(record.Holder{VM: "vm"}, func(record.Holder) bool { return true })
	tree := program.Tree{}
	budget := record.Budget{Calls: 10, Tokens: unit.Tokens(f.Int("budget"))}
	opened, ok := s.Decide(now, tree, sequencer.Open{Program: "program", Team: "team", Class: "class", Budget: budget}).(sequencer.Write)
	if !ok {
		return "not opened"
	}
	for _, r := range opened.Records {
		tree.Apply(r)
	}
	var tokens int64
	if _, err := fmt.Sscan(f["max_tokens"], &tokens); err != nil {
		return err.Error()
	}
	request := record.Request{Call: ident.CallID("call"), Position: 1, Pool: "pool", Body: "body", MaxTokens: unit.Tokens(tokens)}
	switch d := s.Decide(now, tree, sequencer.Submit{Program: "program", Team: "team", Request: request, Engine: true, FirstSubmission: true}).(type) {
	case sequencer.Write:
		return "runs"
	case sequencer.Answer:
		if refused, ok := d.Outcome.(outcome.Refused); ok {
			return string(refused.Err.Kind)
		}
	}
	return "unknown"
}

// TestCallBudget guards against a call whose limit of tokens overflows the sum with its
// prompt, and which therefore runs beyond the budget of its program.
func TestCallBudget(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", submit)).To(Succeed())
}
