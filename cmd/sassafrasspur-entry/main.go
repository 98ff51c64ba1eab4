// Command sassafrasspur-entry runs an entry VM on a deployment's platform.
//
// It writes its log as JSON lines to the standard output, leaves gracefully on
// SIGTERM, and reads its settings again on SIGHUP. The exit code is 2 if the settings are not valid and 1 if the VM
// can't start or has to cut requests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/internal/entrysettings"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

const (
	exitFailed   = 1
	exitSettings = 2
	// logLines bounds the log lines that wait for the standard output. Lines
	// beyond it are dropped and counted.
	logLines = 4096
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"Settings of the entry VM in TOML; the platform names them in its environment variable"`
	Check    bool   `long:"check-settings" description:"Check the settings, print all errors and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var known *flags.Error
		if errors.As(err, &known) && known.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitSettings)
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsVariable)
	}
	os.Exit(run(o))
}

func run(o options) int {
	// Signals are taken first: a stop during the start ends no request.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := entrysettings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.Check {
		fmt.Println("settings are valid")
		return 0
	}
	var log zerolog.Logger
	out := diode.NewWriter(os.Stdout, logLines, 0, func(missed int) {
		log.Warn().Int("lines", missed).Msg("log lines dropped")
	})
	defer func() { _ = out.Close() }()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log = zerolog.New(out)
	entry, err := sassafrasspur.NewEntry(s, sassafrasspur.WithEntryLog(log))
	if err != nil {
		log.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	go func() {
		for range hangups {
			next, err := entrysettings.Load(o.Settings)
			entry.Reload(next, err)
		}
	}()
	if err := entry.Run(ctx); err != nil {
		return exitFailed
	}
	return 0
}
