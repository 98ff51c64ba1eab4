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
	// streamEvents is the number of events in a stream, with eventTokens tokens
	// each.
	streamEvents = 5
	eventTokens  = 2
	// maxTurnTokens is the largest number of tokens that a turn may use.
	maxTurnTokens unit.Tokens = 12
	// callerTimeout limits the duration of a caller's request.
	callerTimeout = 4 * time.Second
)

// caller runs programs one after the other. It keeps its connections open until
// the VM's process has ended.
type caller struct {
	runner *Runner
	random *rand.Rand
	client *http.Client
	name   string
	lastID int
}

// turn is a turn whose answer was received completely.
type turn struct {
	id   ident.RequestID
	text string
}

// budgetedProgram is a program with a token budget.
type budgetedProgram struct {
	id     ident.ProgramID
	budget unit.Tokens
}

// run runs new programs and continues earlier ones, whose budgets may have been
// settled in the meantime.
func (c *caller) run(ctx context.Context) {
	var programs []budgetedProgram
	for n := 0; ctx.Err() == nil; n++ {
		if len(programs) > 0 && c.random.IntN(3) == 0 {
			c.runProgram(ctx, programs[c.random.IntN(len(programs))])
			continue
		}
		p := budgetedProgram{id: ident.ProgramID(fmt.Sprintf("%s-p%d", c.name, n)), budget: unit.Tokens(20 + c.random.IntN(150))}
		c.runner.checker.SetTokenLimit(p.id, p.budget+maxTurnTokens)
		programs = append(programs, p)
		c.runProgram(ctx, p)
	}
}

// runProgram runs a random sequence of turns and calls of a program.
func (c *caller) runProgram(ctx context.Context, program budgetedProgram) {
	p, budget := program.id, program.budget
	var completeTurns []turn
	for range 2 + c.random.IntN(12) {
		if ctx.Err() != nil {
			return
		}
		switch c.random.IntN(5) {
		case 0:
			c.sendCall(ctx, checker.NonIdempotent, "/file/x", "file it")
		case 1:
			c.sendCall(ctx, checker.Idempotent, "/look/x", "")
		case 2:
			c.sendStream(ctx, p, budget)
		default:
			previous := turn{}
			if len(completeTurns) > 0 && c.random.IntN(4) > 0 {
				previous = completeTurns[c.random.IntN(len(completeTurns))]
			} else if earlier, ok := c.runner.randomTurn(c.random); ok && c.random.IntN(4) == 0 {
				previous = earlier
			}
			if done, ok := c.sendTurn(ctx, p, budget, previous); ok {
				completeTurns = append(completeTurns, done)
				c.runner.recordTurn(done)
			}
		}
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
}

func (c *caller) id() ident.RequestID {
	c.lastID++
	return ident.RequestID(fmt.Sprintf("%s-%d", c.name, c.lastID))
}

func (c *caller) sendCall(ctx context.Context, kind checker.Kind, path, body string) {
	id := c.id()
	sent := checker.SentRequest{ID: id, Kind: kind, Prompt: body, WantBody: "done " + string(id)}
	c.send(ctx, sent, path, body, nil)
}

// expectedStream returns the complete answer of an engine and the text of it that
// the turn retains.
func expectedStream(id ident.RequestID) (answer, retainedText string) {
	var a, retained strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&a, "id: %d\ndata: word-%d-of-%s\n\n", n, n, id)
		fmt.Fprintf(&retained, "word-%d-of-%s\n", n, id)
	}
	return a.String(), retained.String()
}

func (c *caller) sendStream(ctx context.Context, p ident.ProgramID, budget unit.Tokens) {
	id := c.id()
	answer, _ := expectedStream(id)
	sent := checker.SentRequest{ID: id, Kind: checker.ResumableStream, Program: p, Prompt: "ask", WantBody: answer}
	c.send(ctx, sent, "/ask/x", "ask", turnHeader(p, budget, ""))
}

func (c *caller) sendTurn(ctx context.Context, p ident.ProgramID, budget unit.Tokens, previous turn) (turn, bool) {
	id := c.id()
	input := fmt.Sprintf("<%s>", id)
	answer, retainedText := expectedStream(id)
	sent := checker.SentRequest{
		ID: id, Kind: checker.RetainedTurn, Program: p, Prompt: previous.text + input, WantBody: answer, PreviousComplete: previous.id != "",
	}
	a := c.send(ctx, sent, "/chat/x", input, turnHeader(p, budget, previous.id))
	return turn{id: id, text: sent.Prompt + retainedText}, a.Status == http.StatusOK && a.EndedCleanly
}

func turnHeader(p ident.ProgramID, budget unit.Tokens, previous ident.RequestID) map[string]string {
	header := map[string]string{
		"X-Program-Id": string(p), "X-Token-Budget": strconv.Itoa(int(budget)), "X-Token-Usage": fmt.Sprintf("10,%d", maxTurnTokens),
	}
	if previous != "" {
		header["X-Previous-Turn"] = string(previous)
	}
	return header
}

// send sends a request to a random VM and passes the request and its answer to
// the checker.
func (c *caller) send(ctx context.Context, sent checker.SentRequest, path, body string, header map[string]string) checker.Answer {
	c.runner.checker.RecordRequest(sent)
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	method := http.MethodPost
	if sent.Kind == checker.Idempotent {
		method = http.MethodGet
	}
	v := c.runner.randomVM(c.random)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.requestsAddress+path, bytes.NewReader([]byte(body)))
	if err != nil {
		c.runner.checker.AddViolation("invalid test request: %v", err)
		return checker.Answer{}
	}
	request.Host = "example.test"
	// Without GetBody the client can't send the body a second time.
	request.GetBody = nil
	request.Header.Set("X-Attempt-Id", string(sent.ID))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	var a checker.Answer
	response, err := c.client.Do(request)
	if err == nil {
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a = checker.Answer{Status: response.StatusCode, EndedCleanly: err == nil, Body: string(text)}
		if response.StatusCode == http.StatusOK && sent.Program != "" {
			a.Tokens = unit.Tokens(strings.Count(a.Body, "data:") * eventTokens)
		}
	}
	c.runner.checker.RecordAnswer(sent, a)
	return a
}
