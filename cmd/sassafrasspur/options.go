package main

import (
	"context"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/internal/commander"
)

const description = `Runs agent programs and changes the configuration of sassafrasspur.

Examples:
  sassafrasspur --ask 10.0.0.1:8080 addresses
  sassafrasspur program open trip-1 --class fast --calls 20 --tokens 50000 --seconds 600
  sassafrasspur program call trip-1 --call-id a --position 1 --pool chat --body 'Hello' --max-tokens 200
  sassafrasspur program child trip-1 trip-1.1
  sassafrasspur program end trip-1
  sassafrasspur plan create -f intent.toml
  sassafrasspur plan confirm 5f0c

A request whose connection fails is sent again to another address. Give the same call id to repeat a call by hand.

Exit codes: 0 success; 1 other failure, or a status with problems; 2 wrong usage or invalid request; 3 credential refused; 4 not found; 5 conflict (position, budget, ended program, stale plan); 6 outcome unknown; 7 refused for now, repeat later; 8 no entry VM reached; 9 the call ran and was answered with an error.`

// choice is the action of the command that was given.
type choice struct {
	action func(context.Context, *commander.Commander) error
}

// options has all flags.
type options struct {
	Connection connection
	Commands   commands
}

type connection struct {
	Server  []string      `long:"server" env:"SASSAFRASSPUR_SERVER" env-delim:"," value-name:"IP:PORT" description:"Address of an entry VM; may be given several times"`
	Ask     string        `long:"ask" env:"SASSAFRASSPUR_ASK" value-name:"IP:PORT" description:"Address of an entry VM that is asked for the addresses to use"`
	Token   string        `long:"token" env:"SASSAFRASSPUR_TOKEN" value-name:"TOKEN" description:"Credential of the account"`
	Output  string        `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the output"`
	Rounds  int           `long:"rounds" default:"8" description:"How often all addresses are tried"`
	Silence time.Duration `long:"silence" default:"1m" description:"Time without progress after which another address is tried"`
}

type commands struct {
	addresses                               addresses
	program                                 struct{}
	open                                    open
	call                                    call
	child                                   child
	end                                     end
	show                                    show
	plan                                    struct{}
	createPlan                              createPlan
	showPlan                                showPlan
	confirmPlan                             confirmPlan
	status, view, upstreamList, machineList simple
}

func newOptions(c *choice) *options {
	o := &options{}
	k := &o.Commands
	k.addresses.choice, k.open.choice, k.call.choice, k.child.choice, k.end.choice, k.show.choice = c, c, c, c, c, c
	k.createPlan.choice, k.showPlan.choice, k.confirmPlan.choice = c, c, c
	k.status = simple{c, (*commander.Commander).Status}
	k.view = simple{c, (*commander.Commander).View}
	k.upstreamList = simple{c, (*commander.Commander).Upstreams}
	k.machineList = simple{c, (*commander.Commander).VMs}
	return o
}

type entry struct {
	name, short string
	data        any
}

// addTo adds the commands to a parser.
func (k *commands) addTo(parser *flags.Parser) error {
	if err := add(parser.Command,
		entry{"addresses", "List the addresses of entry VMs", &k.addresses},
		entry{"program", "Open, use and end programs", &k.program},
		entry{"plan", "Create, show and confirm plans", &k.plan},
		entry{"status", "Show the state of the system", &k.status},
		entry{"view", "Show what one entry VM believes; give its metrics address with --server", &k.view},
		entry{"upstreams", "List the upstreams", &k.upstreamList},
		entry{"vms", "List the entry VMs", &k.machineList},
	); err != nil {
		return err
	}
	if err := add(parser.Find("program"),
		entry{"open", "Open a program", &k.open},
		entry{"call", "Run a call and print its answer", &k.call},
		entry{"child", "Open a sub-agent", &k.child},
		entry{"end", "End a program and its sub-agents", &k.end},
		entry{"show", "Show a program's calls and budget", &k.show},
	); err != nil {
		return err
	}
	return add(parser.Find("plan"),
		entry{"create", "Create a plan of an intent", &k.createPlan},
		entry{"show", "Show a plan", &k.showPlan},
		entry{"confirm", "Put a plan in force", &k.confirmPlan},
	)
}

func add(parent *flags.Command, entries ...entry) error {
	for _, e := range entries {
		if _, err := parent.AddCommand(e.name, e.short, "", e.data); err != nil {
			return err
		}
	}
	return nil
}

type simple struct {
	choice *choice
	run    func(*commander.Commander, context.Context) error
}

// Execute chooses the command.
func (s *simple) Execute([]string) error {
	s.choice.action = func(ctx context.Context, c *commander.Commander) error { return s.run(c, ctx) }
	return nil
}

type addresses struct {
	choice  *choice
	Account string `long:"account" description:"Account whose order is asked for"`
}

// Execute chooses the command.
func (a *addresses) Execute([]string) error {
	a.choice.action = func(ctx context.Context, c *commander.Commander) error { return c.Addresses(ctx, a.Account) }
	return nil
}

type programArgs struct {
	Program string `positional-arg-name:"PROGRAM" description:"Id of the program"`
}

type open struct {
	choice  *choice
	Class   string      `long:"class" required:"yes" description:"Priority class"`
	Calls   int64       `long:"calls" required:"yes" description:"Calls that the program and its sub-agents may make"`
	Tokens  int64       `long:"tokens" required:"yes" description:"Tokens that they may use"`
	Seconds int64       `long:"seconds" required:"yes" description:"Time after which no call starts"`
	Args    programArgs `positional-args:"yes" required:"yes"`
}

// Execute chooses the command.
func (o *open) Execute([]string) error {
	o.choice.action = func(ctx context.Context, c *commander.Commander) error {
		return c.Open(ctx, programs.OpenPayload{
			Program: o.Args.Program,
			Class:   o.Class,
			Budget:  &programs.Budget{Calls: o.Calls, Tokens: o.Tokens, Seconds: o.Seconds},
		})
	}
	return nil
}

type call struct {
	choice    *choice
	CallID    string      `long:"call-id" required:"yes" description:"Id of the call; the same id repeats the call without running it twice"`
	Position  int         `long:"position" required:"yes" description:"Place of the call in its program, from 1"`
	Pool      string      `long:"pool" required:"yes" description:"Pool of upstreams"`
	Operation string      `long:"operation" description:"Operation of a service"`
	Body      string      `long:"body" description:"Body of the call"`
	BodyFile  string      `long:"body-file" value-name:"FILE" description:"File with the body of the call; - for the standard input"`
	MaxTokens int64       `long:"max-tokens" description:"Limit of the answer"`
	First     bool        `long:"first" description:"State that this call id was never sent before, so that a refusal can promise that the call has not run"`
	Args      programArgs `positional-args:"yes" required:"yes"`
}

// Execute chooses the command.
func (k *call) Execute([]string) error {
	k.choice.action = func(ctx context.Context, c *commander.Commander) error {
		return c.Call(ctx, programs.CallPayload{
			Program:         k.Args.Program,
			CallID:          k.CallID,
			Position:        k.Position,
			Pool:            k.Pool,
			Operation:       k.Operation,
			Body:            k.Body,
			MaxTokens:       k.MaxTokens,
			FirstSubmission: k.First,
		}, k.BodyFile)
	}
	return nil
}

type child struct {
	choice *choice
	Args   struct {
		Parent string `positional-arg-name:"PARENT" description:"Id of the parent program"`
		Child  string `positional-arg-name:"CHILD" description:"Id of the sub-agent: the parent's id, a dot and a number"`
	} `positional-args:"yes" required:"yes"`
}

// Execute chooses the command.
func (k *child) Execute([]string) error {
	k.choice.action = func(ctx context.Context, c *commander.Commander) error {
		return c.Child(ctx, programs.ChildPayload{Program: k.Args.Parent, Child: k.Args.Child})
	}
	return nil
}

type end struct {
	choice *choice
	Args   programArgs `positional-args:"yes" required:"yes"`
}

// Execute chooses the command.
func (k *end) Execute([]string) error {
	k.choice.action = func(ctx context.Context, c *commander.Commander) error { return c.End(ctx, k.Args.Program) }
	return nil
}

type show struct {
	choice *choice
	Args   programArgs `positional-args:"yes" required:"yes"`
}

// Execute chooses the command.
func (k *show) Execute([]string) error {
	k.choice.action = func(ctx context.Context, c *commander.Commander) error { return c.Show(ctx, k.Args.Program) }
	return nil
}

type createPlan struct {
	choice *choice
	File   string `short:"f" long:"file" required:"yes" value-name:"FILE" description:"File with the intent in TOML; - for the standard input"`
}

// Execute chooses the command.
func (k *createPlan) Execute([]string) error {
	k.choice.action = func(ctx context.Context, c *commander.Commander) error { return c.CreatePlan(ctx, k.File) }
	return nil
}

type planArgs struct {
	Plan string `positional-arg-name:"PLAN" description:"Id of the plan"`
}

type showPlan struct {
	choice *choice
	Args   planArgs `positional-args:"yes" required:"yes"`
}

// Execute chooses the command.
func (k *showPlan) Execute([]string) error {
	k.choice.action = func(ctx context.Context, c *commander.Commander) error { return c.ShowPlan(ctx, k.Args.Plan) }
	return nil
}

type confirmPlan struct {
	choice *choice
	Args   planArgs `positional-args:"yes" required:"yes"`
}

// Execute chooses the command.
func (k *confirmPlan) Execute([]string) error {
	k.choice.action = func(ctx context.Context, c *commander.Commander) error { return c.ConfirmPlan(ctx, k.Args.Plan) }
	return nil
}
