package logger_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/logger"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

var update = flag.Bool("update", false, "rewrite the golden file")

// Guards against lines without the fields of the VM or the request, fields of one
// request in a line of another, lines below the minimum level, and caller content
// in the log.
func TestLines(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	clock := timer.NewManual(time.Unix(1_800_000_000, 5_000_000))
	l := logger.New(&b, "vm-1", "noord-a", "noord", logger.WithLevel(zerolog.InfoLevel), logger.WithTimer(timer.New(timer.WithManual(clock))))
	l.Info("ready")
	call := l.Program("p1.2").Team("schoolmaal_loket").Call("c1").Attempt(2)
	call.Debug("not written")
	call.Duration("queueing", 250*time.Millisecond).Number("chunks", 3).Info("call ended")
	call.Failure(failure.Refusal(failure.Overloaded, 0, "answer of the upstream: caller content")).Warn("call refused")
	clock.Advance(time.Second)
	call.Failure(nil).Error("no failure")
	l.Call(ident.CallID(strings.Repeat("é\n", 40))).Info("long id")
	z := l.Zerolog()
	z.Warn().Int("n", 1).Msg("other package")

	g.Expect(b.String()).NotTo(ContainSubstring("caller content"))
	const path = "testdata/lines.txtar"
	archive, err := txtar.ParseFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	if *update {
		archive.Files = []txtar.File{{Name: "lines", Data: b.Bytes()}}
		g.Expect(os.WriteFile(path, txtar.Format(archive), 0o600)).To(Succeed())
	}
	g.Expect(b.String()).To(Equal(string(archive.Files[0].Data)), "run with -update and review the diff")
}
