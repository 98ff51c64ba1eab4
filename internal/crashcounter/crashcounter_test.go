package crashcounter_test

import (
	"fmt"
	"maps"
	"slices"
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
		for _, m := range parse(f, sent) {
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

func parse(f goldentest.Fields, sent rows.Transaction) []message.Message {
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
		return []message.Message{message.UpstreamCrashed{
			Request: ident.RequestID(f["request"]), Upstream: ident.UpstreamID(f["crashed"]),
			Target: ident.Fingerprint(f["target"]), Contents: ident.Fingerprint(f["contents"]),
		}}
	case f.Has("cleared"):
		return []message.Message{message.SuspectAnswered{Fingerprint: ident.Fingerprint(f["cleared"])}}
	case f.Has("read"):
		return []message.Message{message.RowsRead{Range: rows.Range{Table: table}, Page: page(f["read"])}}
	case f.Has("watched"):
		return []message.Message{message.RowsChanged{Table: table, Page: page(f["watched"])}}
	case f.Has("written"):
		m := message.RowsWritten{Transaction: sent, Outcome: rows.Committed{}}
		if f["written"] == "failed" {
			m = message.RowsWritten{Transaction: sent, Err: rows.ErrOutcomeUnknown}
		}
		return []message.Message{m}
	}
	return []message.Message{message.Tick{}}
}

// page parses rows written as key:upstream, or -key for a removed one. A key that begins
// with t is that of a target.
func page(text string) rows.Page {
	var p rows.Page
	for _, word := range strings.Split(text, ",") {
		if key, removed := strings.CutPrefix(word, "-"); removed {
			p.Removed = append(p.Removed, rows.ID{Table: table, Key: rows.Key(key)})
			continue
		}
		key, upstream, ok := strings.Cut(word, ":")
		if ok {
			value := fmt.Sprintf(`{"upstream":%q,"by_target":%t}`, upstream, strings.HasPrefix(key, "t"))
			p.Rows = append(p.Rows, rows.Row{ID: rows.ID{Table: table, Key: rows.Key(key)}, Value: []byte(value)})
		}
	}
	return p
}

func describe(now time.Time, e effect.Effect) string {
	switch e := e.(type) {
	case effect.Answer:
		return fmt.Sprintf("answer quarantined=%t", e.Outcome.(outcome.CrashCounted).Quarantined)
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
