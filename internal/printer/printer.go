// Package printer writes the results of commands as text or as the JSON of the API.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/sassafrasspur/sassafrasspur/gen/addresses"
	addressserver "github.com/sassafrasspur/sassafrasspur/gen/http/addresses/server"
	planserver "github.com/sassafrasspur/sassafrasspur/gen/http/plans/server"
	programserver "github.com/sassafrasspur/sassafrasspur/gen/http/programs/server"
	statusserver "github.com/sassafrasspur/sassafrasspur/gen/http/status/server"
	"github.com/sassafrasspur/sassafrasspur/gen/plans"
	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/gen/status"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// Printer writes the results of commands.
type Printer struct {
	out  io.Writer
	json bool
	// answer buffers the text of a call until its end marker, because chunks that
	// are voided later can't be removed from a terminal or a pipe.
	answer strings.Builder
}

// Option configures a Printer.
type Option func(*Printer)

// WithJSON makes the Printer write JSON, one value per line.
func WithJSON() Option {
	return func(p *Printer) { p.json = true }
}

// New returns a Printer that writes text to out, unless WithJSON is given.
func New(out io.Writer, options ...Option) *Printer {
	p := &Printer{out: out}
	for _, option := range options {
		option(p)
	}
	return p
}

func (p *Printer) encode(v any) error {
	jsonEncoder := json.NewEncoder(p.out)
	jsonEncoder.SetEscapeHTML(false)
	return jsonEncoder.Encode(v)
}

// writeTable writes aligned columns. An empty cell is written as "-".
func (p *Printer) writeTable(rows [][]any) error {
	w := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
			if cells[i] == "" {
				cells[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// Addresses writes a list of addresses and how long it is valid.
func (p *Printer) Addresses(list *addresses.ListResult) error {
	if p.json {
		return p.encode(addressserver.NewListResponseBody(list))
	}
	rows := [][]any{{"ADDRESS", "REGION", "DOMAIN", "WEIGHT"}}
	for _, a := range list.Addresses {
		rows = append(rows, []any{a.Address, a.Region, a.Domain, fmt.Sprintf("%.3f", a.Weight)})
	}
	if err := p.writeTable(rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(p.out, "valid for %d s\n", list.RetentionSeconds)
	return err
}

// Reference writes the id of a program, preceded by the operation that was performed
// on it.
func (p *Printer) Reference(operation string, ref *programs.ProgramRef) error {
	if p.json {
		return p.encode(programserver.NewOpenResponseBody(ref))
	}
	_, err := fmt.Fprintf(p.out, "%s %s\n", operation, ref.Program)
	return err
}

// Event writes an event of a call. In text format, it writes the whole answer at
// the end marker.
func (p *Printer) Event(event *programs.Event) error {
	if p.json {
		return p.encode(programserver.NewCallResponseBody(event))
	}
	switch event.Event {
	case "chunk":
		p.answer.WriteString(*event.Text)
	case "void":
		p.answer.Reset()
	case "end":
		_, err := fmt.Fprintln(p.out, p.answer.String())
		return err
	}
	return nil
}

// Program writes a program with its budget and its calls.
func (p *Printer) Program(v *programs.Program) error {
	if p.json {
		return p.encode(programserver.NewShowResponseBody(v))
	}
	state := "open"
	switch {
	case v.Ended:
		state = "ended: " + v.Reason
	case v.Running:
		state = "running"
	}
	err := p.writeTable([][]any{
		{"program", v.Program},
		{"state", state},
		{"team", v.Team},
		{"class", v.Class},
		{"budget", fmt.Sprintf("%d calls, %d tokens, until %s", v.Budget.Calls, v.Budget.Tokens, v.Budget.Expires)},
		{"spent", fmt.Sprintf("%d calls, %d tokens", v.Spent.Calls, v.Spent.Tokens)},
		{"allowance", fmt.Sprintf("%d calls, %d tokens", v.Allowance.Calls, v.Allowance.Tokens)},
	})
	if err != nil {
		return err
	}
	rows := [][]any{{"POSITION", "CALL", "POOL", "OPERATION", "STATUS", "ATTEMPT", "TOKENS", "UPSTREAM"}}
	for _, t := range v.Turns {
		status := "done"
		if t.Failed {
			status = "failed"
		}
		rows = append(rows, []any{t.Position, t.CallID, t.Pool, t.Operation, status, t.Attempt, t.Usage.PromptTokens + t.Usage.OutputTokens, ""})
	}
	for _, o := range v.OpenCalls {
		rows = append(rows, []any{o.Position, o.CallID, "", "", o.Status, o.Attempt, "", o.Upstream})
	}
	return p.writeTable(rows)
}

// Plan writes a plan and, if it is open, how to confirm it.
func (p *Printer) Plan(v *plans.Plan) error {
	if p.json {
		return p.encode(planserver.NewShowResponseBody(v))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "plan %s (%s): version %d becomes %d\n", v.Plan, v.Status, v.BaseVersion, v.NewVersion)
	section := func(title string, lines []string) {
		if len(lines) == 0 {
			return
		}
		fmt.Fprintf(&b, "\n%s:\n", title)
		for _, line := range lines {
			fmt.Fprintf(&b, "  - %s\n", line)
		}
	}
	section("Steps", v.Steps)
	var changes []string
	for _, c := range v.Changes {
		team := "all teams"
		if c.Team != "" {
			team = "team " + c.Team
		}
		changes = append(changes, team+": "+c.Change)
	}
	section("Changes", changes)
	section("Interruptions and costs", v.Costs)
	section("Not promised", v.NotPromised)
	if v.Status == "open" {
		fmt.Fprintf(&b, "\nNo changes have been made yet. To apply the plan: sassafrasspur plan confirm %s\n", v.Plan)
	}
	_, err := io.WriteString(p.out, b.String())
	return err
}

// Upstreams writes a list of upstreams.
func (p *Printer) Upstreams(list []*status.Upstream) error {
	if p.json {
		return p.encode(statusserver.NewUpstreamsResponseBody(list))
	}
	rows := [][]any{{"UPSTREAM", "POOL", "TEAM", "ADDRESS", "REGION", "DOMAIN", "SLOTS", "IN FLIGHT", "LIMIT", "STATE"}}
	for _, u := range list {
		state := "usable"
		switch {
		case u.Leaving:
			state = "leaving"
		case u.Drain:
			state = "draining"
		case !u.Usable:
			state = u.Reason
		}
		rows = append(rows, []any{u.Upstream, u.Pool, u.Team, u.Address, u.Region, u.Domain, u.Slots, u.InFlight, u.Limit, state})
	}
	return p.writeTable(rows)
}

// VMs writes a list of entry VMs.
func (p *Printer) VMs(list []*status.VM) error {
	if p.json {
		return p.encode(statusserver.NewVmsResponseBody(list))
	}
	rows := [][]any{{"VM", "STATE", "ADDRESS", "REGION", "DOMAIN"}}
	for _, v := range list {
		rows = append(rows, []any{v.VM, v.State, v.Address, v.Region, v.Domain})
	}
	return p.writeTable(rows)
}

// Failure writes an error. It adds whether the request is known not to have run,
// and when to repeat it.
func (p *Printer) Failure(err error) {
	known := failure.From(err)
	if p.json {
		_ = p.encode(struct {
			Kind         string `json:"kind"`
			Message      string `json:"message"`
			NotRun       bool   `json:"not_run"`
			RetryAfterMs int64  `json:"retry_after_ms"`
		}{string(known.Kind), known.Message, known.NotRun, known.RetryAfter.Milliseconds()})
		return
	}
	text := fmt.Sprintf("error (%s): %s\n", known.Kind, known.Message)
	if known.NotRun {
		text += "The request has not run and will not run.\n"
	}
	if known.RetryAfter > 0 {
		text += fmt.Sprintf("Repeat it after %s.\n", known.RetryAfter)
	}
	_, _ = io.WriteString(p.out, text)
}
