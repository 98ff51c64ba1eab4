// Command sassafrasspurd runs an entry VM.
//
// It writes its log as JSON lines to the standard output; the first one has the
// bound addresses. It leaves gracefully on SIGTERM and reads its settings again
// on SIGHUP. The exit code is 2 if the settings are not valid and 1 if the node
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

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/internal/linewriter"
	"github.com/sassafrasspur/sassafrasspur/internal/loader"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

const (
	exitFailed   = 1
	exitSettings = 2
	// logLines bounds the log lines that wait for the standard output. Lines
	// beyond it are dropped and counted.
	logLines = 4096
	// logLimit bounds the wait for the last lines at the end, which a reader
	// that has stopped reading would hold up.
	logLimit = 500 * time.Millisecond
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"Settings of the entry VM in TOML; without it, the file that the platform names in its environment variable"`
	Check    string `long:"check-settings" value-name:"FILE" description:"Check settings, print all errors and exit"`
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
	if o.Check != "" {
		return check(o.Check)
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "no settings; give --settings FILE")
		return exitSettings
	}
	// Signals are taken first: a stop during the start ends no request.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := loader.New().Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	out := linewriter.New(os.Stdout, logLines, func(lines int64) {
		log := zerolog.New(os.Stdout).With().Timestamp().Str("vm", string(s.VM)).Logger()
		log.Warn().Int64("lines", lines).Msg("log lines dropped")
	})
	defer func() { out.Close(timer.New().After(logLimit)) }()
	node, err := sassafrasspur.New(sassafrasspur.WithSettings(*s), sassafrasspur.WithLog(out))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	go func() {
		for range hangups {
			next, err := loader.New().Load(o.Settings)
			node.Reload(next, err)
		}
	}()
	if err := node.Run(ctx); err != nil {
		return exitFailed
	}
	return 0
}

func check(file string) int {
	if _, err := loader.New().Load(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Println("settings are valid")
	return 0
}
