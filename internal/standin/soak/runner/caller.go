package runner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/soak/checker"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// events is the number of events in a stream, of two tokens each.
	events      = 5
	eventTokens = 2
	// largest is the largest number of tokens of a turn.
	largest unit.Tokens = 12
	// callerLimit bounds a request of a caller.
	callerLimit = 4 * time.Second
)

// caller runs programs one after the other. It keeps its connections open until
// their process is gone.
type caller struct {
	runner *Runner
	random *rand.Rand
	client *http.Client
	name   string
	next   int
}

// turn is a turn that was answered whole.
type turn struct {
	id   ident.RequestID
	text string
}

// ownProgram is a program of the caller.
type ownProgram struct {
	id     ident.ProgramID
	budget unit.Tokens
}

// run runs new programs, and goes on with earlier ones, whose budget may have
// been settled meanwhile.
func (c *caller) run(ctx context.Context) {
	var programs []ownProgram
	for n := 0; ctx.Err() == nil; n++ {
		if len(programs) > 0 && c.random.IntN(3) == 0 {
			c.program(ctx, programs[c.random.IntN(len(programs))])
			continue
		}
		p := ownProgram{id: ident.ProgramID(fmt.Sprintf("%s-p%d", c.name, n)), budget: unit.Tokens(20 + c.random.IntN(150))}
		c.runner.checker.Budget(p.id, p.budget+largest)
		programs = append(programs, p)
		c.program(ctx, p)
	}
}

// program runs some turns and calls of a program.
func (c *caller) program(ctx context.Context, own ownProgram) {
	p, budget := own.id, own.budget
	var whole []turn
	for range 2 + c.random.IntN(12) {
		if ctx.Err() != nil {
			return
		}
		switch c.random.IntN(5) {
		case 0:
			c.call(ctx, checker.NonIdempotent, "/file/x", "file it")
		case 1:
			c.call(ctx, checker.Idempotent, "/look/x", "")
		case 2:
			c.stream(ctx, p, budget)
		default:
			previous := turn{}
			if len(whole) > 0 && c.random.IntN(4) > 0 {
				previous = whole[c.random.IntN(len(whole))]
			} else if old, ok := c.runner.oldTurn(c.random); ok && c.random.IntN(4) == 0 {
				previous = old
			}
			if done, ok := c.retained(ctx, p, budget, previous); ok {
				whole = append(whole, done)
				c.runner.keepTurn(done)
			}
		}
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
}

func (c *caller) id() ident.RequestID {
	c.next++
	return ident.RequestID(fmt.Sprintf("%s-%d", c.name, c.next))
}

func (c *caller) call(ctx context.Context, kind checker.Kind, path, body string) {
	id := c.id()
	sent := checker.Sent{ID: id, Kind: kind, Prompt: body, Want: "done " + string(id)}
	c.send(ctx, sent, path, body, nil)
}

// streamText is the whole answer of an engine.
func streamText(id ident.RequestID) (answer, kept string) {
	var a, k strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&a, "id: %d\ndata: word-%d-of-%s\n\n", n, n, id)
		fmt.Fprintf(&k, "word-%d-of-%s\n", n, id)
	}
	return a.String(), k.String()
}

func (c *caller) stream(ctx context.Context, p ident.ProgramID, budget unit.Tokens) {
	id := c.id()
	answer, _ := streamText(id)
	sent := checker.Sent{ID: id, Kind: checker.ResumableStream, Program: p, Prompt: "ask", Want: answer}
	c.send(ctx, sent, "/ask/x", "ask", turnHeader(p, budget, ""))
}

func (c *caller) retained(ctx context.Context, p ident.ProgramID, budget unit.Tokens, previous turn) (turn, bool) {
	id := c.id()
	input := fmt.Sprintf("<%s>", id)
	answer, kept := streamText(id)
	sent := checker.Sent{
		ID: id, Kind: checker.RetainedTurn, Program: p, Prompt: previous.text + input, Want: answer, Known: previous.id != "",
	}
	a := c.send(ctx, sent, "/chat/x", input, turnHeader(p, budget, previous.id))
	return turn{id: id, text: sent.Prompt + kept}, a.Status == http.StatusOK && a.Whole
}

func turnHeader(p ident.ProgramID, budget unit.Tokens, previous ident.RequestID) map[string]string {
	header := map[string]string{
		"X-Program-Id": string(p), "X-Token-Budget": strconv.Itoa(int(budget)), "X-Token-Usage": fmt.Sprintf("10,%d", largest),
	}
	if previous != "" {
		header["X-Previous-Turn"] = string(previous)
	}
	return header
}

// send sends a request to some VM and gives the answer to the checker.
func (c *caller) send(ctx context.Context, sent checker.Sent, path, body string, header map[string]string) checker.Answer {
	c.runner.checker.Send(sent)
	ctx, cancel := context.WithTimeout(ctx, callerLimit)
	defer cancel()
	method := http.MethodPost
	if sent.Kind == checker.Idempotent {
		method = http.MethodGet
	}
	v := c.runner.pick(c.random)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		c.runner.checker.Violate("the soak could not build a request: %v", err)
		return checker.Answer{}
	}
	request.Host = "example.test"
	// A body that can't be read again keeps the client from sending it twice.
	request.GetBody = nil
	request.Header.Set("X-Attempt-Id", string(sent.ID))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerLimit.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	var a checker.Answer
	response, err := c.client.Do(request)
	if err == nil {
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a = checker.Answer{Status: response.StatusCode, Whole: err == nil, Body: string(text)}
		if response.StatusCode == http.StatusOK && sent.Program != "" {
			a.Tokens = unit.Tokens(strings.Count(a.Body, "data:") * eventTokens)
		}
	}
	c.runner.checker.Receive(sent, a)
	return a
}
