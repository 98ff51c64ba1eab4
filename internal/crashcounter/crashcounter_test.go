package crashcounter_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/crashcounter"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const table rows.Table = "request_crashes"

// newDecider returns a function that applies lines to one controller. It returns the
// effects and the suspects; each row is shown by the fingerprint in its key.
func newDecider() func(line string) string {
	var rejected int
	c := crashcounter.New(1, func(error) { rejected++ })
	now := time.Unix(0, 0)
	var sent rows.Transaction
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		rejected = 0
		var described []string
		for _, m := range parse(f, sent, &now) {
			for _, e := range c.Handle(now, m) {
				if w, ok := e.(effect.WriteRows); ok {
					sent = w.Transaction
				}
				if text := describe(now, e); text != "" {
					described = append(described, text)
				}
			}
		}
		var view snapshot.Snapshot
		c.Describe(&view)
		for _, id := range slices.Sorted(maps.Keys(view.Entry.Suspects)) {
			s := view.Entry.Suspects[id]
			text := fmt.Sprintf("%s %d", id, s.Crashes)
			if s.Quarantined {
				text += " quarantined"
			}
			described = append(described, text)
		}
		if rejected > 0 {
			described = append(described, fmt.Sprintf("rejected %d", rejected))
		}
		return strings.Join(described, "; ")
	}
}

// crashTimes returns when a call was sent and when its upstream crashed. The call is sent
// after all crashes before, unless it was under way already; the clock then goes on.
func crashTimes(now *time.Time, underWay bool) (sentAt, crashedAt time.Time) {
	if underWay {
		return now.Add(-300 * time.Millisecond), *now
	}
	sentAt = now.Add(time.Millisecond)
	*now = now.Add(100 * time.Millisecond)
	return sentAt, *now
}

func parse(f goldentest.Fields, sent rows.Transaction, now *time.Time) []message.Message {
	switch {
	case f.Has("start"):
		return []message.Message{message.Started{}}
	case f.Has("answered"):
		var all []message.Message
		for i := range max(f.Int("times"), 1) {
			target := f["answered"]
			if f.Has("times") {
				target += fmt.Sprint(i)
			}
			all = append(all, message.CallEnded{Target: ident.Fingerprint(target), Result: message.UpstreamAnswered{}})
		}
		return all
	case f.Has("crashed"):
		sentAt, crashedAt := crashTimes(now, f.Has("under_way"))
		id, incarnation := parseStart(f["crashed"])
		return []message.Message{message.UpstreamCrashed{
			Request: ident.RequestID(f["request"]), Upstream: id, Incarnation: incarnation, SentAt: sentAt, CrashedAt: crashedAt,
			Target: ident.Fingerprint(f["target"]), Contents: ident.Fingerprint(f["contents"]),
		}}
	case f.Has("cleared"):
		return []message.Message{message.SuspectAnswered{Fingerprint: ident.Fingerprint(f["cleared"])}}
	case f.Has("read"):
		return []message.Message{message.RowsRead{Range: rows.Range{Table: table}, Page: page(f["read"], now)}}
	case f.Has("watched"):
		return []message.Message{message.RowsChanged{Table: table, Page: page(f["watched"], now)}}
	case f.Has("trial"):
		return []message.Message{message.TrialRequested{Fingerprint: ident.Fingerprint(f["trial"])}}
	case f.Has("written"):
		m := message.RowsWritten{Transaction: sent, Outcome: rows.Committed{}}
		switch f["written"] {
		case "failed":
			m = message.RowsWritten{Transaction: sent, Err: rows.ErrOutcomeUnknown}
		case "conflict":
			m = message.RowsWritten{Transaction: sent, Outcome: rows.Conflict{}}
		}
		return []message.Message{m}
	}
	return []message.Message{message.Tick{}}
}

// parseStart parses an upstream, followed by "#" and its incarnation if that is known.
func parseStart(text string) (ident.UpstreamID, ident.Incarnation) {
	id, incarnation, _ := strings.Cut(text, "#")
	n, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil {
		n = 0
	}
	return ident.UpstreamID(id), ident.Incarnation(n)
}

// page parses rows written as key:upstream, or -key for a removed one. A key that begins
// with t is that of a target. A final "!" stands for a call that was under way at the
// crash before; the upstream "trial" for the row of a trial.
func page(text string, now *time.Time) rows.Page {
	var p rows.Page
	for _, word := range strings.Split(text, ",") {
		if key, removed := strings.CutPrefix(word, "-"); removed {
			p.Removed = append(p.Removed, rows.ID{Table: table, Key: rows.Key(key)})
			continue
		}
		key, upstream, ok := strings.Cut(word, ":")
		if upstream == "trial" {
			p.Rows = append(p.Rows, rows.Row{ID: rows.ID{Table: table, Key: rows.Key(key)}, Value: []byte(`{"trial":true}`)})
			continue
		}
		if ok {
			sentAt, crashedAt := crashTimes(now, strings.HasSuffix(upstream, "!"))
			id, incarnation := parseStart(strings.TrimSuffix(upstream, "!"))
			value := fmt.Sprintf(`{"upstream":%q,"incarnation":%d,"by_target":%t,"sent_at_ms":%d,"crashed_at_ms":%d}`,
				id, incarnation, strings.HasPrefix(key, "t"), sentAt.UnixMilli(), crashedAt.UnixMilli())
			p.Rows = append(p.Rows, rows.Row{ID: rows.ID{Table: table, Key: rows.Key(key)}, Value: []byte(value)})
		}
	}
	return p
}

func describe(now time.Time, e effect.Effect) string {
	switch e := e.(type) {
	case effect.Answer:
		switch o := e.Outcome.(type) {
		case outcome.CrashCounted:
			return fmt.Sprintf("answer quarantined=%t", o.Quarantined)
		case outcome.TrialDecided:
			return fmt.Sprintf("answer trial=%t", o.Allowed)
		}
	case effect.WakeAt:
		return fmt.Sprintf("wake in %s", e.Time.Sub(now))
	case effect.WriteRows:
		var words []string
		for _, p := range e.Transaction.Puts {
			f, _, _ := strings.Cut(string(p.Key), "/")
			words = append(words, "put "+f)
		}
		for _, id := range e.Transaction.Removes {
			f, _, _ := strings.Cut(string(id.Key), "/")
			words = append(words, "remove "+f)
		}
		slices.Sort(words)
		return "write " + strings.Join(words, ", ")
	}
	return ""
}

// TestCrashcounter guards against a request that crashes upstreams at several VMs and is
// not recognized, against sound requests that are quarantined since they share a target
// with others or ran beside a poisonous one, and against counts that are lost while the
// store is away, or that stay forever.
func TestCrashcounter(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", newDecider())).To(Succeed())
}

// TestIndependentCrashes guards against sound requests that are quarantined because
// several upstreams crashed for one cause, and against a request that is not recognized
// because the upstreams that it crashes start again under their ids.
func TestIndependentCrashes(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/independent/*.txtar", newDecider())).To(Succeed())
}

// TestTrials guards against a sound request that stays quarantined because it is never
// passed on, and against a poisonous one that is passed on often, or at each VM.
func TestTrials(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/trial/*.txtar", newDecider())).To(Succeed())
}

// TestRetriesWithinMillisecond guards against a request that crashes twice as many upstreams
// because its next call, sent at once, counts as one that was under way at the crash.
func TestRetriesWithinMillisecond(t *testing.T) {
	g := NewWithT(t)
	const work, pause = 60 * time.Millisecond, 300 * time.Microsecond
	reject := func(err error) { t.Error(err) }
	own, other := crashcounter.New(1, reject), crashcounter.New(2, reject)
	now := time.Unix(1000, 0)
	var stored rows.Page
	for n := range 3 {
		crashedAt := now.Add(work)
		for _, e := range own.Handle(crashedAt, message.UpstreamCrashed{
			Request: "request", Upstream: ident.UpstreamID(fmt.Sprint(n)), SentAt: now, CrashedAt: crashedAt, Target: "target", Contents: "contents",
		}) {
			if w, ok := e.(effect.WriteRows); ok {
				for _, put := range w.Transaction.Puts {
					stored.Rows = append(stored.Rows, rows.Row{ID: put.ID, Value: put.Value})
				}
			}
		}
		now = crashedAt.Add(pause)
	}
	other.Handle(now, message.RowsRead{Range: rows.Range{Table: table}, Page: stored})
	for _, c := range []*crashcounter.Crashcounter{own, other} {
		var view snapshot.Snapshot
		c.Describe(&view)
		g.Expect(view.Entry.Suspects).To(HaveKeyWithValue(ident.Fingerprint("contents"), HaveField("Crashes", 3)))
	}
}
