// Command sassafrasspurd runs an entry VM.
//
// It prints one JSON line with its process id and its bound addresses when it
// accepts connections, writes its log as JSON lines to the standard error, and
// leaves gracefully on SIGTERM. The exit code is 2 if the settings are not
// valid and 1 if the node can't start or has to cut requests.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/internal/loader"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"Settings of the entry VM in TOML"`
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
	os.Exit(run(o))
}

func run(o options) int {
	file := o.Settings
	if o.Check != "" {
		file = o.Check
	}
	if file == "" {
		fmt.Fprintln(os.Stderr, "no settings; give --settings FILE")
		return exitSettings
	}
	s, err := loader.New().Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.Check != "" {
		fmt.Println("settings are valid")
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	node, err := sassafrasspur.New(sassafrasspur.WithSettings(*s))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	announce(node)
	if err := node.Run(ctx); err != nil {
		return exitFailed
	}
	return 0
}

// announce prints the ready line, from which scripts learn the bound addresses.
func announce(node *sassafrasspur.Node) {
	_ = json.NewEncoder(os.Stdout).Encode(struct {
		PID           int    `json:"pid"`
		CallerAddress string `json:"caller_address"`
	}{os.Getpid(), node.CallerAddress()})
}
