package callreporter_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/callreporter"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/logger"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

type recordingMeter struct{ text string }

func (m *recordingMeter) ObserveCall(team ident.TeamID, class ident.Class, result meter.Outcome, queueing, firstToken, duration time.Duration) {
	m.text += fmt.Sprintf("measured %s/%s %s %s %s %s ", team, class, meter.Label(result), queueing, firstToken, duration)
}

func (m *recordingMeter) ObserveRecomputed(_ ident.TeamID, _ ident.Class, tokens unit.Tokens) {
	m.text += fmt.Sprintf("recomputed %d ", tokens)
}

type discardSink struct{}

func (discardSink) Chunk(int, string) error { return nil }
func (discardSink) Void() error             { return nil }
func (discardSink) End(chain.End) error     { return nil }

// TestCalls guards against calls that are not counted or counted under the wrong
// outcome, and against request content of callers in the log.
func TestCalls(t *testing.T) {
	g := NewWithT(t)
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		clock := timer.NewManual(time.Unix(1_800_000_000, 0))
		timers := timer.New(timer.WithManual(clock))
		var log bytes.Buffer
		m := &recordingMeter{}
		c := callreporter.New(m, logger.New(&log, "a", "n1", "noord", logger.WithTimer(timers)), timers)
		x := &chain.Exchange{
			Account: chain.Account{Team: "desk"},
			Request: request.Call{Program: "trip", Request: record.Request{Call: "c1", Body: "secret"}},
			Sink:    discardSink{},
		}
		if f.Has("show") {
			x.Request = request.Show{Program: "trip"}
		}
		err := c.Serve(context.Background(), x, func(context.Context, *chain.Exchange) error {
			clock.Advance(f.Duration("first"))
			x.Queued = f.Duration("queued")
			x.Run = outcome.Run{Attempt: ident.Attempt(f.Int("attempt")), Class: "chat", HistoryTokens: unit.Tokens(f.Int("history"))}
			x.Granted.Upstream = configuration.Upstream{ID: ident.UpstreamID(f["upstream"])}
			x.Cached, x.Answer.Usage.CachedTokens = f.Has("resident"), unit.Tokens(f.Int("cached"))
			if f.Has("first") {
				_ = x.Sink.Chunk(0, "secret")
			}
			clock.Advance(f.Duration("rest"))
			if f.Has("fail") {
				return failure.New(failure.Kind(f["fail"]), "secret")
			}
			return x.Sink.End(chain.End{Attempt: ident.Attempt(f.Int("ended"))})
		})
		g.Expect(failure.From(err) != nil).To(Equal(f.Has("fail")))
		g.Expect(log.String()).NotTo(ContainSubstring("secret"))
		return m.text + string(bytes.TrimSpace(log.Bytes()))
	})).To(Succeed())
}
