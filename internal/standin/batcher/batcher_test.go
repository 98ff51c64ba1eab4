package batcher_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/batcher"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/prefixcache"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// arrival is a command and the time after start at which it arrives.
type arrival struct {
	at      time.Duration
	command batcher.Command
}

func drawArrivals(t *rapid.T) []arrival {
	var arrivals []arrival
	at := time.Duration(0)
	for i := range rapid.IntRange(1, 20).Draw(t, "commands") {
		at += time.Duration(rapid.IntRange(1, 60).Draw(t, "gap")) * time.Millisecond
		program := ident.ProgramID("p" + strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "program")))
		id := batcher.RequestID("r" + strconv.Itoa(rapid.IntRange(0, i).Draw(t, "request")))
		var c batcher.Command
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			c = batcher.Cancel{ID: id}
		case 1:
			c = batcher.Release{Program: program}
		default:
			c = batcher.Submit{
				ID: id, Program: program,
				Prompt:    make([]prefixcache.Token, rapid.IntRange(0, 30).Draw(t, "prompt")),
				MaxTokens: unit.Tokens(rapid.IntRange(1, 8).Draw(t, "tokens")),
				Priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
			}
		}
		arrivals = append(arrivals, arrival{at: at, command: c})
	}
	return arrivals
}

// simulate passes the commands to a new engine. Unless step is 0, it also calls
// Tick at every step in between.
func simulate(arrivals []arrival, step time.Duration) (batcher.Stats, batcher.Residents, batcher.Load) {
	b := batcher.New(
		batcher.WithSlots(2), batcher.WithQueue(4), batcher.WithPrefill(1000),
		batcher.WithDecode(7*time.Millisecond, time.Millisecond), batcher.WithLinger(50*time.Millisecond),
		batcher.WithRetention(100*time.Millisecond), batcher.WithCache(prefixcache.New(prefixcache.WithLimit(40))),
	)
	now := start
	for _, a := range arrivals {
		due := start.Add(a.at)
		for ; step > 0 && now.Before(due); now = now.Add(step) {
			b.Tick(now)
		}
		now = due
		b.Tick(now)
		if submit, ok := a.command.(batcher.Submit); ok {
			submit.Progress = make(chan batcher.Progress, 1)
			a.command = submit
		}
		b.Handle(now, a.command)
	}
	now = now.Add(10 * time.Second)
	b.Tick(now)
	stats := b.Handle(now, batcher.ReadStats{}).(batcher.Stats)
	residents := b.Handle(now, batcher.ReadResidents{}).(batcher.Residents)
	return stats, residents, b.Handle(now, batcher.ReadLoad{}).(batcher.Load)
}

// TestResultIsIndependentOfTicks guards against results that depend on when the
// engine's goroutine is scheduled, and against requests that never end.
func TestResultIsIndependentOfTicks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		arrivals := drawArrivals(t)
		stats, residents, load := simulate(arrivals, 0)
		sameStats, sameResidents, _ := simulate(arrivals, time.Millisecond)
		g.Expect(sameStats).To(gomega.Equal(stats))
		g.Expect(sameResidents).To(gomega.Equal(residents))
		g.Expect(load).To(gomega.Equal(batcher.Load{}))
		g.Expect(stats.Streams).To(gomega.BeZero())
	})
}
