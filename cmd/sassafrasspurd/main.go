// Command sassafrasspurd runs an entry VM.
//
// It writes its log as JSON lines to the standard output; the first line contains
// the bound addresses. It shuts down gracefully on SIGTERM and reloads its settings
// on SIGHUP. The exit code is 2 if the settings are invalid, and 1 if the node can't
// start or has to abort requests when it stops.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/internal/linewriter"
	"github.com/sassafrasspur/sassafrasspur/internal/loader"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

const (
	exitFailure         = 1
	exitInvalidSettings = 2
	// logQueueLines limits the number of log lines that are queued for the standard
	// output. Further lines are dropped and counted.
	logQueueLines = 4096
	// logCloseTimeout limits the wait for the queued log lines at exit, which would
	// not end if the reader of the log has stopped reading.
	logCloseTimeout = 500 * time.Millisecond
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"TOML file with the settings of the entry VM; by default the file that the platform names in its environment variable"`
	Check    string `long:"check-settings" value-name:"FILE" description:"Check the settings in the file, print all errors and exit"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var known *flags.Error
		if errors.As(err, &known) && known.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitInvalidSettings)
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsVariable)
	}
	os.Exit(run(o))
}

func run(o options) int {
	if o.Check != "" {
		return checkSettings(o.Check)
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "no settings file; pass --settings FILE")
		return exitInvalidSettings
	}
	// Signals are handled from the start, so that a stop during startup aborts no
	// request.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	s, err := loader.New().Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	debug.SetMemoryLimit(int64(s.SoftMemoryLimit()))
	out := linewriter.New(os.Stdout, logQueueLines, func(lines int64) {
		log := zerolog.New(os.Stdout).With().Timestamp().Str("vm", string(s.VM)).Logger()
		log.Warn().Int64("lines", lines).Msg("log lines dropped")
	})
	defer func() { out.Close(timer.New().After(logCloseTimeout)) }()
	node, err := sassafrasspur.New(sassafrasspur.WithSettings(*s), sassafrasspur.WithLog(out))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	go func() {
		for range reloadSignals {
			next, err := loader.New().Load(o.Settings)
			node.Reload(next, err)
		}
	}()
	if err := node.Run(ctx); err != nil {
		return exitFailure
	}
	return 0
}

func checkSettings(file string) int {
	if _, err := loader.New().Load(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	fmt.Println("settings are valid")
	return 0
}
