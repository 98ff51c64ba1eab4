package runner_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/internal/linewriter"
	"github.com/sassafrasspur/sassafrasspur/internal/loader"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/soak/runner"
)

// built references the packages of the daemon, which the test builds. This links
// them into the test binary, so that a change of the daemon invalidates cached
// test results.
var built = []any{sassafrasspur.New, linewriter.New, loader.New}

// seeds are run on each change. Seeds that have failed are kept, with the cause.
var seeds = []uint64{
	1,
	// Requests that were accepted shortly before the end of the grace period,
	// while an upstream was stalled, were still under way when the VM stopped. 114
	// failed once more beside load, with the message that a caller's unused
	// connection causes (TestEntryLeavesDespiteUnusedConnection).
	103, 114,
}

// TestSoak runs real processes under injected faults. It guards against requests
// that run twice or although they were refused, answers to the wrong request,
// exceeded budgets, lost turns and deployments that serve nothing.
func TestSoak(t *testing.T) {
	g := NewWithT(t)
	g.Expect(built).NotTo(BeEmpty())
	binary := filepath.Join(t.TempDir(), "entry")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/sassafrasspur/sassafrasspur/cmd/sassafrasspurd").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	for _, seed := range seeds {
		report, err := runner.New(runner.Options{
			Binary: binary, Dir: t.TempDir(), Seed: seed, Duration: 8 * time.Second, VMs: 3, Callers: 6, MaxFaults: 2,
		}).Run(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(report.Violations).To(BeEmpty(), "seed %d", seed)
		g.Expect(report.Answers[200]).To(BeNumerically(">", 0), "seed %d served nothing", seed)
	}
}

// TestSoakThatCannotStart guards against processes that keep running after a soak
// that fails because one of its VMs does not start.
func TestSoakThatCannotStart(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	binary, pid := filepath.Join(dir, "entry"), filepath.Join(dir, "pid")
	// The first VM's process exits, the second VM's process keeps running.
	script := "#!/bin/sh\ncase \"$2\" in *vm-0*) sleep 0.5; exit 3;; esac\necho $$ > " + pid + "\nexec sleep 60\n"
	g.Expect(os.WriteFile(binary, []byte(script), 0o700)).To(Succeed())
	_, err := runner.New(runner.Options{Binary: binary, Dir: dir, Seed: 1, Duration: time.Second, VMs: 2}).Run(context.Background())
	g.Expect(err).To(MatchError(ContainSubstring("ended before it answered")))
	text, err := os.ReadFile(pid)
	g.Expect(err).NotTo(HaveOccurred())
	n, err := strconv.Atoi(strings.TrimSpace(string(text)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(syscall.Kill(n, 0)).To(MatchError(syscall.ESRCH))
}
