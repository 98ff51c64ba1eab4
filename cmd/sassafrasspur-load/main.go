// Command sassafrasspur-load runs a workload against entry VMs and prints the
// metrics that docs/measures.md defines as one JSON line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	o := &options{}
	parser := flags.NewParser(o, flags.Default)
	parser.ShortDescription = "load generator"
	if _, err := parser.Parse(); err != nil {
		if known, ok := errors.AsType[*flags.Error](err); ok && known.Type == flags.ErrHelp {
			return
		}
		// The parser has already printed the error.
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := o.run(ctx, log, os.Stdout)
	stop()
	if err != nil {
		log.Fatal().Err(err).Msg("load run failed")
	}
}
