// Command sassafrasspur-soak runs entry VMs under faults and checks what callers
// and upstreams see. The exit code is 1 if a promise was broken and 2 if the soak
// could not be carried out.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/soak/runner"
)

const (
	exitBroken = 1
	exitFailed = 2
)

type options struct {
	Entry   string        `long:"entry" required:"true" description:"Program of an entry VM"`
	Seed    uint64        `long:"seed" default:"1" description:"First seed"`
	Seeds   int           `long:"seeds" default:"1" description:"Number of seeds, run one after the other"`
	For     time.Duration `long:"for" default:"20s" description:"Time for each seed"`
	VMs     int           `long:"vms" default:"4" description:"Number of entry VMs"`
	Callers int           `long:"callers" default:"12" description:"Number of callers"`
	Series  int           `long:"series" default:"3" description:"Faults that may be active at once"`
	Logs    string        `long:"logs" description:"Folder that keeps settings and logs; a temporary one without it"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var known *flags.Error
		if errors.As(err, &known) && known.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitFailed)
	}
	os.Exit(run(o))
}

func run(o options) int {
	code := 0
	for i := range o.Seeds {
		seed := o.Seed + uint64(i)
		report, err := soak(o, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return exitFailed
		}
		fmt.Printf("seed %d: %d violations, %d runs at upstreams, answers by status %v, %d faults\n",
			seed, len(report.Violations), report.Runs, report.Answers, len(report.Faults))
		for _, violation := range report.Violations {
			fmt.Println("  " + violation)
			code = exitBroken
		}
	}
	return code
}

func soak(o options, seed uint64) (runner.Report, error) {
	dir := filepath.Join(o.Logs, fmt.Sprint("seed-", seed))
	if o.Logs == "" {
		temporary, err := os.MkdirTemp("", "sassafrasspur-soak")
		if err != nil {
			return runner.Report{}, errors.Trace(err)
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		dir = temporary
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return runner.Report{}, errors.Trace(err)
	}
	soak := runner.New(runner.Options{
		Binary: o.Entry, Dir: dir, Seed: seed, For: o.For, VMs: o.VMs, Callers: o.Callers, Series: o.Series,
	})
	return soak.Run(context.Background())
}
