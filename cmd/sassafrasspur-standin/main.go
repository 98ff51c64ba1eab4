// Command sassafrasspur-standin runs stand-ins for the platform's store, for model
// engines and for services, for tests and the demo.
//
// When it is ready, it prints one JSON line with its process id and its bound
// addresses. It stops on SIGTERM.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/server"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	parser := flags.NewParser(nil, flags.Default)
	parser.ShortDescription = "stand-ins for external systems"
	for _, c := range []struct {
		name, summary string
		command       any
	}{
		{"store", "Run the platform's store", &storeCommand{}},
		{"engine", "Run model engines", &engineCommand{}},
		{"service", "Run services", &serviceCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.summary, c.summary+".", c.command); err != nil {
			log.Fatal().Err(err).Msg("invalid command definition")
		}
	}
	if _, err := parser.Parse(); err != nil {
		var known *flags.Error
		if errors.As(err, &known) && known.Type == flags.ErrHelp {
			return
		}
		// The parser has already printed the error.
		os.Exit(1)
	}
}

// serve announces the addresses and serves until the process receives SIGTERM or
// an interrupt.
func serve(s *server.Server) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := s.Announce(os.Stdout); err != nil {
		return err
	}
	return s.Serve(ctx.Done())
}
