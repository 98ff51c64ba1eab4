// Package processtest runs the real processes against stand-ins and injects
// failures. It checks the responses that callers received against the counts of the
// upstreams.
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

// linkedPackages references the packages of the commands under test. The suite
// builds these commands itself; linking their code into the test binary makes the
// go command's test cache depend on it.
var linkedPackages = []any{sassafrasspur.New, linewriter.New, loader.New, engine.New, rowserver.New, service.New}

const (
	// eventTimeout bounds waits for events whose timing is not under test.
	eventTimeout = 30 * time.Second
	// pollInterval is the interval between checks of an awaited condition.
	pollInterval = 20 * time.Millisecond
	// specTimeout ends a spec that hangs.
	specTimeout = 90 * time.Second
)

// binaries is the directory with the built commands, logs and settings.
var binaries string

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(eventTimeout)
	SetDefaultEventuallyPollingInterval(pollInterval)
	RunSpecs(t, "Processes")
}

var _ = BeforeSuite(func(ctx context.Context) {
	Expect(linkedPackages).NotTo(BeEmpty())
	var err error
	binaries, err = os.MkdirTemp("", "processtest")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, binaries)
	build := exec.CommandContext(ctx, "go", "build", "-o", binaries+string(filepath.Separator),
		"../../cmd/sassafrasspurd", "../../cmd/sassafrasspur-standin")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// reportMeasurement prints the figures of a run.
func reportMeasurement(format string, args ...any) {
	fmt.Printf("\nmeasured: "+format+"\n", args...)
}
