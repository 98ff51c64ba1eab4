package nodetest

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
)

// describe gives an answer of a node in one line.
func describe(o outcome.Outcome) string {
	switch o := o.(type) {
	case outcome.Refused:
		run := "may have run"
		if o.Err.NotRun {
			run = "not run"
		}
		return fmt.Sprintf("%s (%s): %s", o.Err.Kind, run, o.Err.Message)
	case outcome.Run:
		return fmt.Sprintf("leave to run attempt %d of epoch %d with %d turns", o.Attempt, o.Epoch, len(o.History))
	case outcome.Replay:
		return fmt.Sprintf("the recorded answer %q of attempt %d", o.Answer.Body, o.Attempt)
	case outcome.Shown:
		return describeProgram(o.View)
	case outcome.Opened:
		return fmt.Sprintf("%s is open", o.Program)
	case outcome.Ended:
		return fmt.Sprintf("%s has ended", o.Program)
	case outcome.Durable:
		return "durable"
	}
	return fmt.Sprintf("%T", o)
}

func describeProgram(v program.View) string {
	var words []string
	for _, turn := range v.Turns {
		words = append(words, fmt.Sprintf("%d=%s", turn.Position, turn.Answer.Body))
	}
	for _, id := range slices.Sorted(maps.Keys(v.Calls)) {
		if call := v.Calls[id]; call.Status != program.Done {
			words = append(words, fmt.Sprintf("%s is %s", id, call.Status))
		}
	}
	text := fmt.Sprintf("%s [%s] spent %d of %d calls, allowance %d", v.ID, strings.Join(words, " "), v.Root.Spent.Calls, v.Root.Budget.Calls, v.Root.Allowance.Calls)
	if v.Ended {
		text += ", ended: " + v.Reason
	}
	return text
}
