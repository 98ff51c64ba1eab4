// Command sassafrasspur is the command-line client for callers and operators.
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
	// Otherwise the Go runtime ends the process with SIGPIPE when it writes to a
	// standard output whose reader has closed the pipe.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdin, &brokenPipeWriter{out: os.Stdout}, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes a command line and returns its exit code.
func run(ctx context.Context, args []string, input io.Reader, out, errOut io.Writer) int {
	selected := &selectedCommand{}
	o := newOptions(selected)
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Connection", "", &o.Connection); err != nil {
		return reportFailure(printer.New(errOut), err)
	}
	if err := o.Commands.register(parser); err != nil {
		return reportFailure(printer.New(errOut), err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return reportUsage(err, out, errOut)
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
	apiClient := client.New(servers, o.Connection.Token, timers, client.WithMaxRounds(o.Connection.Rounds), client.WithIdleTimeout(o.Connection.Silence))
	if o.Connection.Ask != "" && !selected.offline {
		if err := apiClient.UpdateServers(ctx); err != nil {
			return reportFailure(printer.New(errOut, errFormat...), err)
		}
	}
	if err := selected.action(ctx, commander.New(apiClient, printer.New(out, format...), input)); err != nil {
		return reportFailure(printer.New(errOut, errFormat...), err)
	}
	return commander.Success
}

// reportUsage reports an error of the command line. A request for help is not an
// error: it prints the help and returns Success.
func reportUsage(err error, out, errOut io.Writer) int {
	var known *flags.Error
	if errors.As(err, &known) && known.Type == flags.ErrHelp {
		_, _ = io.WriteString(out, known.Message+"\n")
		return commander.Success
	}
	return reportFailure(printer.New(errOut), failure.Refusal(failure.InvalidRequest, 0, "%v; see %s --help", err, name))
}

func reportFailure(p *printer.Printer, err error) int {
	p.Failure(err)
	return commander.ExitCode(err)
}
