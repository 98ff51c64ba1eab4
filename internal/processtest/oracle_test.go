package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// completion is a complete answer that a caller received.
type completion struct {
	call, body, answer string
	position           int
	at                 time.Time
}

// oracle records the responses that callers received. It compares them with the
// counts of the services and with the histories that the deployment reports.
type oracle struct {
	d  *deployment
	mu sync.Mutex
	// completedCalls holds the completions of each program.
	completedCalls map[string][]completion
	// abandonedCalls holds the calls, keyed by program/call, that were refused as
	// not run and not sent again.
	abandonedCalls map[string]bool
	// repeatable holds the calls that may run more than once, keyed like
	// abandonedCalls.
	repeatable      map[string]bool
	unknownOutcomes map[string]bool
	errorKinds      map[failure.Kind]int
	violations      []string
}

func newOracle(d *deployment) *oracle {
	return &oracle{
		d: d, completedCalls: map[string][]completion{}, abandonedCalls: map[string]bool{}, repeatable: map[string]bool{},
		unknownOutcomes: map[string]bool{}, errorKinds: map[failure.Kind]int{},
	}
}

func (o *oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// recordCompletion records a complete answer. The answer of a service contains the
// hash of the request body and must match it.
func (o *oracle) recordCompletion(program string, c completion, service bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if service {
		encoded, _ := json.Marshal(c.body)
		if digest := strconv.FormatUint(xxhash.Sum64(encoded), 16); !strings.Contains(c.answer, "-"+digest) {
			o.addViolation("property 5: call %s with body %q received the answer %q of another request", c.call, c.body, c.answer)
		}
	}
	o.completedCalls[program] = append(o.completedCalls[program], c)
}

// recordError records a failed request. A call reported as not run must not have
// run up to this point.
func (o *oracle) recordError(key string, err *failure.Error) {
	runs := 0
	if err.NotRun {
		_, all := o.d.serviceCounts()
		runs = all[key]
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.errorKinds[err.Kind]++
	if err.Kind == failure.OutcomeUnknown {
		o.unknownOutcomes[key] = true
	}
	if runs > 0 {
		o.addViolation("property 6: call %s was refused as not run (%v) after %d runs", key, err, runs)
	}
}

func (o *oracle) markCall(set map[string]bool, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set[key] = true
}

// completionCount returns the number of completions.
func (o *oracle) completionCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, all := range o.completedCalls {
		n += len(all)
	}
	return n
}

// completionsSince returns the number of completions after a given time.
func (o *oracle) completionsSince(moment time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, all := range o.completedCalls {
		for _, c := range all {
			if c.at.After(moment) {
				n++
			}
		}
	}
	return n
}

// firstCompletionAfter returns the time from a given moment until the next
// completion for the caller of a program, and false if there is none. A caller
// whose program is blocked by a call of unknown outcome continues with another
// program, whose id has that of the first one as its prefix.
func (o *oracle) firstCompletionAfter(program string, moment time.Time) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var first time.Time
	for name, all := range o.completedCalls {
		if name != program && !strings.HasPrefix(name, program+"-") {
			continue
		}
		for _, c := range all {
			if c.at.After(moment) && (first.IsZero() || c.at.Before(first)) {
				first = c.at
			}
		}
	}
	return first.Sub(moment), !first.IsZero()
}

// verifyAll checks all properties at the end of a spec.
func (o *oracle) verifyAll(ctx context.Context) {
	GinkgoHelper()
	arrivals, runs := o.d.serviceCounts()
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, n := range runs {
		if n > 1 && !o.repeatable[key] {
			o.addViolation("property 7: call %s ran %d times", key, n)
		}
	}
	for key, n := range arrivals {
		if n > 0 && o.abandonedCalls[key] {
			o.addViolation("property 6: call %s arrived %d times although it was refused as not run", key, n)
		}
	}
	for _, program := range slices.Sorted(maps.Keys(o.completedCalls)) {
		o.verifyHistory(program, o.d.readProgram(ctx, program))
	}
	AddReportEntry("refusals", fmt.Sprint(o.errorKinds))
	Expect(o.violations).To(BeEmpty())
}

func (o *oracle) verifyHistory(program string, shown *programs.Program) {
	for i, turn := range shown.Turns {
		if turn.Position != i+1 {
			o.addViolation("property 1: turn %d of %s has position %d", i+1, program, turn.Position)
		}
		if !strings.HasPrefix(turn.CallID, program+"-") {
			o.addViolation("property 2: the history of %s contains call %s of another program", program, turn.CallID)
		}
		if o.abandonedCalls[program+"/"+turn.CallID] {
			o.addViolation("property 6: the history of %s contains call %s, which was refused as not run", program, turn.CallID)
		}
	}
	for _, c := range o.completedCalls[program] {
		if c.position > len(shown.Turns) {
			o.addViolation("property 2: call %s of %s was reported complete but is not among the %d turns", c.call, program, len(shown.Turns))
			continue
		}
		turn := shown.Turns[c.position-1]
		if turn.CallID != c.call || turn.Body != c.body || turn.Answer != c.answer {
			o.addViolation("property 2: position %d of %s is call %s with answer %q, but the caller received %q for call %s",
				c.position, program, turn.CallID, turn.Answer, c.answer, c.call)
		}
	}
}

// readProgram reads a program from any VM that answers.
func (d *deployment) readProgram(ctx context.Context, program string) *programs.Program {
	GinkgoHelper()
	var shown *programs.Program
	Eventually(ctx, func() (err error) {
		limited, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		shown, err = clientFor(callerToken, d.vms...).Show(limited, program)
		return err
	}).Should(Succeed(), "show "+program)
	return shown
}
