// Command sassafrasspur is the command line for callers and operators.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/client"
	"github.com/sassafrasspur/sassafrasspur/internal/commander"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/printer"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const name = "sassafrasspur"

func main() {
	// Without this a closed pipe would end the process by a signal.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdin, &quietPipe{to: os.Stdout}, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs one command line and returns its exit code.
func run(ctx context.Context, args []string, input io.Reader, out, errOut io.Writer) int {
	chosen := &choice{}
	o := newOptions(chosen)
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Connection", "", &o.Connection); err != nil {
		return fail(printer.New(errOut), err)
	}
	if err := o.Commands.addTo(parser); err != nil {
		return fail(printer.New(errOut), err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return usage(err, out, errOut)
	}
	var format, errFormat []printer.Option
	if o.Connection.Output == "json" {
		format = append(format, printer.WithJSON())
		errFormat = format
	}
	timers := timer.New()
	servers := o.Connection.Server
	if o.Connection.Ask != "" {
		servers = []string{o.Connection.Ask}
	}
	connection := client.New(servers, o.Connection.Token, timers, client.WithRounds(o.Connection.Rounds), client.WithSilence(o.Connection.Silence))
	if o.Connection.Ask != "" {
		if err := connection.Ask(ctx); err != nil {
			return fail(printer.New(errOut, errFormat...), err)
		}
	}
	if err := chosen.action(ctx, commander.New(connection, printer.New(out, format...), input)); err != nil {
		return fail(printer.New(errOut, errFormat...), err)
	}
	return commander.Success
}

// usage reports an error of the flags. A request for help is no error.
func usage(err error, out, errOut io.Writer) int {
	var known *flags.Error
	if errors.As(err, &known) && known.Type == flags.ErrHelp {
		_, _ = io.WriteString(out, known.Message+"\n")
		return commander.Success
	}
	return fail(printer.New(errOut), failure.Refusal(failure.InvalidRequest, 0, "%v; see %s --help", err, name))
}

func fail(p *printer.Printer, err error) int {
	p.Failure(err)
	return commander.ExitCode(err)
}
