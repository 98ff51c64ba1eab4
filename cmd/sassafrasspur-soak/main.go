// Command sassafrasspur-soak runs entry VMs under injected faults and checks the
// results that callers and upstreams observe. The exit code is 1 if a guarantee was
// violated and 2 if the test could not be run.
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
	exitViolations = 1
	exitError      = 2
)

type options struct {
	Entry     string        `long:"entry" required:"true" description:"Path of the executable of the entry VMs"`
	Seed      uint64        `long:"seed" default:"1" description:"Seed of the first run"`
	Seeds     int           `long:"seeds" default:"1" description:"Number of consecutive seeds, one run each"`
	Duration  time.Duration `long:"for" default:"20s" description:"Duration of each run"`
	VMs       int           `long:"vms" default:"4" description:"Number of entry VMs"`
	Callers   int           `long:"callers" default:"12" description:"Number of callers"`
	MaxFaults int           `long:"series" default:"3" description:"Number of concurrent series of faults"`
	Logs      string        `long:"logs" description:"Directory for settings and logs; a temporary directory by default"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var known *flags.Error
		if errors.As(err, &known) && known.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitError)
	}
	os.Exit(run(o))
}

func run(o options) int {
	code := 0
	for i := range o.Seeds {
		seed := o.Seed + uint64(i)
		report, err := runSeed(o, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return exitError
		}
		fmt.Printf("seed %d: %d violations, %d runs at upstreams, answers by status %v, %d faults\n",
			seed, len(report.Violations), report.Runs, report.Answers, len(report.Faults))
		for _, violation := range report.Violations {
			fmt.Println("  " + violation)
			code = exitViolations
		}
	}
	return code
}

func runSeed(o options, seed uint64) (runner.Report, error) {
	dir := filepath.Join(o.Logs, fmt.Sprint("seed-", seed))
	if o.Logs == "" {
		tempDir, err := os.MkdirTemp("", "sassafrasspur-soak")
		if err != nil {
			return runner.Report{}, errors.Trace(err)
		}
		defer func() { _ = os.RemoveAll(tempDir) }()
		dir = tempDir
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return runner.Report{}, errors.Trace(err)
	}
	soakRunner := runner.New(runner.Options{
		Binary: o.Entry, Dir: dir, Seed: seed, Duration: o.Duration, VMs: o.VMs, Callers: o.Callers, MaxFaults: o.MaxFaults,
	})
	return soakRunner.Run(context.Background())
}
