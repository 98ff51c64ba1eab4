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
	filePermit      = "file_permit"
	lookUpOperation = "look_up"
	// completionOperation stands for a call to the engine pool, which has no
	// operation.
	completionOperation = ""
)

// maxRetryDelay bounds the delay between two attempts of a call.
const maxRetryDelay = 300 * time.Millisecond

// unknownOutcomeTimeout is how long a caller retries a call of unknown outcome
// before it continues with another program. If the service can't report the
// outcome, only an operator may settle it.
const unknownOutcomeTimeout = 3 * time.Second

// load is a set of concurrent callers. Each runs the calls of its program
// sequentially.
type load struct {
	oracle *oracle
	d      *deployment
	// selectVM returns the VM for the n-th attempt of a caller.
	selectVM  func(caller, try int) *vm
	operation string
	// replaceIfNotRun makes callers replace a call that was refused as not run with
	// a new call instead of sending it again.
	replaceIfNotRun bool
	stopped         chan struct{}
	callers         sync.WaitGroup
}

func newLoad(o *oracle, operation string) *load {
	l := &load{oracle: o, d: o.d, operation: operation, stopped: make(chan struct{})}
	l.selectVM = func(caller, try int) *vm { return l.d.vms[(caller+try)%len(l.d.vms)] }
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

// stop waits until the callers have finished their current calls.
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
	index        int
	program      string
	attemptCount int
	// clients are kept by address, so that connections are reused.
	clients map[string]*client.Client
}

func (l *load) caller(index int, program string) *caller {
	return &caller{load: l, index: index, program: program, clients: map[string]*client.Client{}}
}

func (c *caller) client(v *vm) *client.Client {
	if c.clients[v.address] == nil {
		c.clients[v.address] = clientFor(callerToken, v)
	}
	return c.clients[v.address]
}

func (c *caller) nextVM() *vm {
	c.attemptCount++
	return c.selectVM(c.index, c.attemptCount)
}

func (c *caller) open(ctx context.Context) {
	Eventually(ctx, func() error {
		_, err := c.client(c.nextVM()).Open(ctx, programs.OpenPayload{
			Program: c.program, Class: "chat", Budget: &programs.Budget{Calls: 100000, Tokens: 10000000, Seconds: 600},
		})
		return err
	}).WithTimeout(2*eventTimeout).WithPolling(maxRetryDelay/2).Should(Succeed(), "open "+c.program)
}

// run makes calls until the load stops. It returns false if the program is blocked
// by a call of unknown outcome.
func (c *caller) run(ctx context.Context) bool {
	for position := 1; !c.stopping(); position++ {
		if !c.call(ctx, position) {
			return c.stopping()
		}
	}
	return true
}

// call sends a call until it has received a complete answer. It returns false if
// the outcome stays unknown.
func (c *caller) call(ctx context.Context, position int) bool {
	var unknownSince time.Time
	for attempt := 0; ; {
		id := fmt.Sprintf("%s-%d.%d", c.program, position, attempt)
		key := c.program + "/" + id
		if c.operation != filePermit {
			c.oracle.markCall(c.oracle.repeatable, key)
		}
		refused := c.sendWithRetries(ctx, position, id, &unknownSince)
		switch {
		case refused == nil:
			return true
		case refused.NotRun:
			c.oracle.markCall(c.oracle.abandonedCalls, key)
			attempt++
		default:
			return false
		}
	}
}

// sendWithRetries sends a call until it succeeds. It returns nil for a complete
// answer, or an error after which the call must not be sent again.
func (c *caller) sendWithRetries(ctx context.Context, position int, id string, unknownSince *time.Time) *failure.Error {
	key := c.program + "/" + id
	deadline := time.Now().Add(2 * eventTimeout)
	for first := true; ; first = false {
		err := c.send(ctx, position, id, first)
		if err == nil {
			return nil
		}
		c.oracle.recordError(key, err)
		if err.Kind == failure.OutcomeUnknown && unknownSince.IsZero() {
			*unknownSince = time.Now()
		}
		blocked := !unknownSince.IsZero() && (c.stopping() || time.Since(*unknownSince) > unknownOutcomeTimeout)
		if err.NotRun && c.replaceIfNotRun || blocked {
			return err
		}
		Expect(time.Now().Before(deadline)).To(BeTrue(), "call %s is not served: %v", key, err)
		pause := timers.After(min(max(err.RetryAfter, maxRetryDelay/6), maxRetryDelay))
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Cancel()
			Fail("the spec ended before call " + key + " was served: " + err.Error())
		}
	}
}

// send sends a call once, to the next VM.
func (c *caller) send(ctx context.Context, position int, id string, first bool) *failure.Error {
	return c.sendVia(ctx, c.nextVM(), position, id, first)
}

func (c *caller) sendVia(ctx context.Context, v *vm, position int, id string, first bool) *failure.Error {
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
		c.oracle.recordCompletion(c.program, done, c.operation != completionOperation)
		return nil
	}
	var known *failure.Error
	if errors.As(err, &known) {
		return known
	}
	return failure.New(failure.Internal, "the answer has no end event: %v", err)
}

// programNames returns n program ids with a common prefix.
func programNames(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("%s-%d", prefix, i))
	}
	return all
}
