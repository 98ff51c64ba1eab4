package observer_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/logger"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/observer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

type observed struct{ text string }

func (o *observed) CountTakeover()                     { o.text += "takeover " }
func (o *observed) ObserveCommit(d time.Duration)      { o.text += fmt.Sprint("commit ", d, " ") }
func (o *observed) ObserveControlLoop(d time.Duration) { o.text += fmt.Sprint("loop ", d, " ") }

func decode(f goldentest.Fields, now time.Time) message.Message {
	switch verdict := message.Verdict(f["verdict"]); f["message"] {
	case "joined":
		return message.Joined{Node: cluster.Node{Incarnation: ident.Incarnation(f.Int("incarnation"))}}
	case "fenced":
		return message.Fenced{}
	case "commit":
		return message.CommitDone{Verdict: verdict, SentAt: now, AnsweredAt: now.Add(f.Duration("latency"))}
	case "move":
		return message.MoveDone{Verdict: verdict, Closed: ident.VMID(f["closed"]), Shards: f.Int("shards")}
	case "read":
		return message.ClusterRead{}
	case "read_failed":
		return message.ClusterReadFailed{}
	}
	return message.Tick{}
}

// Guards against events that an operator must see and that are not logged, or
// are logged again with each message while they last.
func TestEvents(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(1_800_000_000, 0))
	timers := timer.New(timer.WithManual(clock))
	var log bytes.Buffer
	seen := &observed{}
	o := observer.New(seen, logger.New(&log, "a", "n1", "noord", logger.WithTimer(timers)))
	before := &snapshot.Snapshot{}
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		seen.text = ""
		log.Reset()
		clock.Advance(f.Duration("after"))
		if f.Has("version") {
			after := &snapshot.Snapshot{Configuration: &configuration.Configuration{Version: ident.Version(f.Int("version")), Plan: "p"}}
			o.Published(before, after)
			before = after
		} else {
			o.Handled(timers.Now(), decode(f, timers.Now()), time.Microsecond)
		}
		return seen.text + strings.TrimSpace(log.String())
	})).To(Succeed())
}
