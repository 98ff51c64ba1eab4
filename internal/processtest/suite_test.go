// Package processtest runs the real processes against stand-ins and lets parts
// of them fail. What must hold is checked against what callers were told and
// what the upstreams counted.
package processtest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/internal/linewriter"
	"github.com/sassafrasspur/sassafrasspur/internal/loader"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/engine"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/service"
)

// built has what the commands consist of, which the test builds. It links that
// into the test binary, by whose contents the cache of test results goes.
var built = []any{sassafrasspur.New, linewriter.New, loader.New, engine.New, rowserver.New, service.New}

const (
	// generous bounds waits for events whose time is not the subject of a test.
	generous = 30 * time.Second
	// often is the interval at which a condition outside the process is read.
	often = 20 * time.Millisecond
	// caseLimit ends a case that hangs.
	caseLimit = 90 * time.Second
)

// binaries is the directory of the built commands.
var binaries string

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(generous)
	SetDefaultEventuallyPollingInterval(often)
	RunSpecs(t, "Processes")
}

var _ = BeforeSuite(func(ctx context.Context) {
	Expect(built).NotTo(BeEmpty())
	var err error
	binaries, err = os.MkdirTemp("", "processtest")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, binaries)
	build := exec.CommandContext(ctx, "go", "build", "-o", binaries+string(filepath.Separator),
		"../../cmd/sassafrasspurd", "../../cmd/sassafrasspur-standin")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// measured prints a figure of a run for reports.
func measured(format string, args ...any) {
	fmt.Printf("\nmeasured: "+format+"\n", args...)
}
