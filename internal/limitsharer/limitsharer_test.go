package limitsharer_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/limitsharer"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const table rows.Table = "upstream_limits"

// newDecider returns a function that applies lines to one controller and describes
// the effects.
func newDecider() func(line string) string {
	var rejected int
	l := limitsharer.New(1, func(error) { rejected++ })
	now := time.Unix(0, 0)
	var sent rows.Transaction
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		rejected = 0
		var m message.Message = message.Tick{}
		switch {
		case f.Has("start"):
			m = message.Started{}
		case f.Has("notice"):
			m = message.UpstreamNoticed{
				Upstream: ident.UpstreamID(f["notice"]), Incarnation: ident.Incarnation(f.Int("of")), Notice: upstream.Notice{Limit: unit.Rate(f.Float("limit"))},
			}
		case f.Has("read"):
			m = message.RowsRead{Range: rows.Range{Table: table}, Page: page(f, f["read"]), Err: readError(f)}
		case f.Has("watched"):
			m = message.RowsChanged{Table: table, Page: page(f, f["watched"]), Err: readError(f)}
		case f.Has("written"):
			m = written(f, sent)
		case f.Has("listed"):
			m = listed(f["listed"])
		}
		var described []string
		for _, e := range l.Handle(now, m) {
			if w, ok := e.(effect.WriteRows); ok {
				sent = w.Transaction
			}
			described = append(described, describe(now, e))
		}
		if rejected > 0 {
			described = append(described, fmt.Sprintf("rejected %d", rejected))
		}
		return strings.Join(described, "; ")
	}
}

func readError(f goldentest.Fields) error {
	if f.Has("failed") {
		return rows.ErrUnavailable
	}
	return nil
}

// page parses rows written as upstream:limit@version, or -upstream for a removed one. The
// limit may be followed by "#" and the incarnation of the upstream.
func page(f goldentest.Fields, text string) rows.Page {
	p := rows.Page{Version: rows.Version(f.Int("version"))}
	for _, word := range strings.Split(text, ",") {
		if id, removed := strings.CutPrefix(word, "-"); removed {
			p.Removed = append(p.Removed, rows.ID{Table: table, Key: rows.Key(id)})
			continue
		}
		id, rest, ok := strings.Cut(word, ":")
		if !ok {
			continue
		}
		limit, version, _ := strings.Cut(rest, "@")
		value := fmt.Sprintf(`{"requests_per_second":%s}`, limit)
		if limit, incarnation, known := strings.Cut(limit, "#"); known {
			value = fmt.Sprintf(`{"requests_per_second":%s,"incarnation":%s}`, limit, incarnation)
		}
		row := rows.Row{ID: rows.ID{Table: table, Key: rows.Key(id)}, Value: []byte(value)}
		if _, err := fmt.Sscan(version, &row.Version); err != nil {
			panic(err)
		}
		p.Rows = append(p.Rows, row)
	}
	return p
}

func written(f goldentest.Fields, sent rows.Transaction) message.Message {
	m := message.RowsWritten{Transaction: sent}
	switch f["written"] {
	case "conflict":
		m.Outcome = rows.Conflict{}
	case "failed":
		m.Err = rows.ErrOutcomeUnknown
	default:
		m.Outcome = rows.Committed{Version: rows.Version(f.Int("written"))}
	}
	return m
}

// listed parses a list of upstreams, each followed by "#" and its incarnation if that is
// known.
func listed(text string) message.Message {
	var m message.UpstreamsRead
	for _, word := range strings.Split(text, ",") {
		id, incarnation, _ := strings.Cut(word, "#")
		u := upstream.Upstream{ID: ident.UpstreamID(id)}
		if n, err := strconv.ParseUint(incarnation, 10, 64); err == nil {
			u.Incarnation = ident.Incarnation(n)
		}
		m.Upstreams = append(m.Upstreams, u)
	}
	return m
}

func describe(now time.Time, e effect.Effect) string {
	switch e := e.(type) {
	case effect.ReadRows:
		return "read"
	case effect.WatchRows:
		return fmt.Sprintf("watch after %d", e.After)
	case effect.WakeAt:
		if wait := e.Time.Sub(now); wait < time.Second {
			return "wake within 1s"
		}
		return fmt.Sprintf("wake in %s", e.Time.Sub(now))
	case effect.Send:
		return fmt.Sprint("limits ", e.Message.(message.UpstreamLimitsChanged).Limits)
	case effect.WriteRows:
		var b strings.Builder
		b.WriteString("write")
		for _, c := range e.Transaction.Conditions {
			fmt.Fprintf(&b, " if %s@%d", c.Key, c.Version)
		}
		for _, p := range e.Transaction.Puts {
			fmt.Fprintf(&b, " put %s=%s", p.Key, p.Value)
		}
		for _, id := range e.Transaction.Removes {
			fmt.Fprintf(&b, " remove %s", id.Key)
		}
		return b.String()
	}
	return fmt.Sprintf("%T", e)
}

// TestLimitsharer guards against VMs that do not learn of a limit, or of its end,
// from the VM that received it, against a limit that is lost because the store was
// away or another VM wrote at the same time, and against rows of upstreams that are
// gone.
func TestLimitsharer(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", newDecider())).To(Succeed())
}

// TestLimitAfterRestart guards against an upstream that has started again under its id
// and gets few calls because the process before named a limit.
func TestLimitAfterRestart(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/restart/*.txtar", newDecider())).To(Succeed())
}
