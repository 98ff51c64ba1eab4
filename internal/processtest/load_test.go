package processtest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/internal/client"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

const (
	filing = "file_permit"
	lookUp = "look_up"
	// completionOperation marks calls of the engine pool, which have none.
	completionOperation = ""
)

// longestPause bounds the wait between two tries of a call.
const longestPause = 300 * time.Millisecond

// unknownLimit is how long a caller asks again for an unknown outcome before
// it goes on with another program. Only an operator may settle what the
// service can't tell.
const unknownLimit = 3 * time.Second

// load is a set of callers, each with a program whose calls run one after the
// other.
type load struct {
	oracle *oracle
	d      *deployment
	// via returns the VM of the n-th try of a caller.
	via       func(caller, try int) *vm
	operation string
	// renews makes callers replace a call that was refused as not run by a new
	// one, instead of sending it again.
	renews  bool
	stopped chan struct{}
	callers sync.WaitGroup
}

func newLoad(o *oracle, operation string) *load {
	l := &load{oracle: o, d: o.d, operation: operation, stopped: make(chan struct{})}
	l.via = func(caller, try int) *vm { return l.d.vms[(caller+try)%len(l.d.vms)] }
	return l
}

// start starts one caller for each program.
func (l *load) start(ctx context.Context, names []string) {
	for i, name := range names {
		l.callers.Go(func() {
			defer GinkgoRecover()
			for generation := 0; ; generation++ {
				name := name
				if generation > 0 {
					name = fmt.Sprintf("%s-%d", name, generation)
				}
				c := l.caller(i, name)
				c.open(ctx)
				if c.run(ctx) {
					return
				}
			}
		})
	}
}

// stop lets the callers finish their present calls and waits for them.
func (l *load) stop() {
	close(l.stopped)
	l.callers.Wait()
}

func (l *load) stopping() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

type caller struct {
	*load
	index   int
	program string
	tries   int
	// clients keep their connections, as callers do.
	clients map[string]*client.Client
}

func (l *load) caller(index int, program string) *caller {
	return &caller{load: l, index: index, program: program, clients: map[string]*client.Client{}}
}

func (c *caller) client(v *vm) *client.Client {
	if c.clients[v.address] == nil {
		c.clients[v.address] = at(callerToken, v)
	}
	return c.clients[v.address]
}

func (c *caller) next() *vm {
	c.tries++
	return c.via(c.index, c.tries)
}

func (c *caller) open(ctx context.Context) {
	Eventually(ctx, func() error {
		_, err := c.client(c.next()).Open(ctx, programs.OpenPayload{
			Program: c.program, Class: "chat", Budget: &programs.Budget{Calls: 100000, Tokens: 10000000, Seconds: 600},
		})
		return err
	}).WithTimeout(2*generous).WithPolling(longestPause/2).Should(Succeed(), "open "+c.program)
}

// run makes calls until the load stops; it returns false if the program is
// blocked by a call of unknown outcome.
func (c *caller) run(ctx context.Context) bool {
	for position := 1; !c.stopping(); position++ {
		if !c.call(ctx, position) {
			return c.stopping()
		}
	}
	return true
}

// call sends a call until its answer is whole. It returns false if the outcome
// stays unknown.
func (c *caller) call(ctx context.Context, position int) bool {
	var unknownSince time.Time
	for attempt := 0; ; {
		id := fmt.Sprintf("%s-%d.%d", c.program, position, attempt)
		key := c.program + "/" + id
		if c.operation != filing {
			c.oracle.mark(c.oracle.repeatable, key)
		}
		refused := c.sendUntilRefused(ctx, position, id, &unknownSince)
		switch {
		case refused == nil:
			return true
		case refused.NotRun:
			c.oracle.mark(c.oracle.withdrawn, key)
			attempt++
		default:
			return false
		}
	}
}

// sendUntilRefused repeats a call. It returns nil for a whole answer, or an
// error after which the call is not sent again.
func (c *caller) sendUntilRefused(ctx context.Context, position int, id string, unknownSince *time.Time) *failure.Error {
	key := c.program + "/" + id
	deadline := time.Now().Add(2 * generous)
	for first := true; ; first = false {
		err := c.send(ctx, position, id, first)
		if err == nil {
			return nil
		}
		c.oracle.refuse(key, err)
		if err.Kind == failure.OutcomeUnknown && unknownSince.IsZero() {
			*unknownSince = time.Now()
		}
		blocked := !unknownSince.IsZero() && (c.stopping() || time.Since(*unknownSince) > unknownLimit)
		if err.NotRun && c.renews || blocked {
			return err
		}
		Expect(time.Now().Before(deadline)).To(BeTrue(), "call %s is not served: %v", key, err)
		pause := timers.After(min(max(err.RetryAfter, longestPause/6), longestPause))
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Cancel()
			Fail("the case ended before call " + key + " was served: " + err.Error())
		}
	}
}

// send sends a call once, through the next VM.
func (c *caller) send(ctx context.Context, position int, id string, first bool) *failure.Error {
	return c.sendAt(ctx, c.next(), position, id, first)
}

func (c *caller) sendAt(ctx context.Context, v *vm, position int, id string, first bool) *failure.Error {
	body := fmt.Sprintf("permit %d of %s", position, c.program)
	payload := programs.CallPayload{
		Program: c.program, CallID: id, Position: position, Pool: "counter", Operation: c.operation, Body: body, FirstSubmission: first,
	}
	if c.operation == completionOperation {
		payload.Pool, payload.MaxTokens = "assistant", 20
	}
	var answer strings.Builder
	ended := false
	err := c.client(v).Call(ctx, payload, func(e *programs.Event) error {
		switch e.Event {
		case client.Chunk:
			answer.WriteString(*e.Text)
		case client.Void:
			answer.Reset()
		case client.End:
			ended = true
		}
		return nil
	})
	if err == nil && ended {
		done := completion{call: id, body: body, answer: answer.String(), position: position, at: time.Now()}
		c.oracle.complete(c.program, done, c.operation != completionOperation)
		return nil
	}
	var known *failure.Error
	if errors.As(err, &known) {
		return known
	}
	return failure.New(failure.Internal, "an answer without an end: %v", err)
}

// names returns names of programs.
func names(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("%s-%d", prefix, i))
	}
	return all
}
