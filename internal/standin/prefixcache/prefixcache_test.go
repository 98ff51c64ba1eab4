package prefixcache_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/prefixcache"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const limit = 20

// TestCacheAgainstOracle compares the cache with a simple model. It guards
// against exceeding the limit, evicting a pinned program or one that is not the
// least recently used, and events whose replay does not give the cache's
// contents.
func TestCacheAgainstOracle(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		c := prefixcache.New(prefixcache.WithLimit(limit))
		// recent lists the model's programs, the least recently used first.
		var recent []prefixcache.Resident
		pinned := map[ident.ProgramID]bool{}
		drop := func(program ident.ProgramID) {
			recent = slices.DeleteFunc(recent, func(r prefixcache.Resident) bool { return r.Program == program })
		}
		used := func() (sum unit.Tokens) {
			for _, r := range recent {
				sum += r.Tokens
			}
			return sum
		}
		store := func(program ident.ProgramID, n unit.Tokens) {
			drop(program)
			for i := 0; i < len(recent) && used()+n > limit; {
				if pinned[recent[i].Program] {
					i++
					continue
				}
				drop(recent[i].Program)
			}
			if n = min(n, limit-used()); n > 0 {
				recent = append(recent, prefixcache.Resident{Program: program, Tokens: n})
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			program := ident.ProgramID(strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "program")))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				c.Release(now, program)
				drop(program)
			case 1:
				if pinned[program] {
					c.Unpin(program)
				} else {
					c.Pin(program)
				}
				pinned[program] = !pinned[program]
			default:
				n := rapid.IntRange(0, limit).Draw(t, "tokens")
				c.Store(now, program, make([]prefixcache.Token, n))
				store(program, unit.Tokens(n))
			}
			g.Expect(used()).To(gomega.BeNumerically("<=", limit))
		}
		_, residents := c.Residents()
		g.Expect(residents).To(gomega.ConsistOf(recent))
		tokensByProgram := map[ident.ProgramID]unit.Tokens{}
		for _, event := range c.Events(now, 0) {
			if delete(tokensByProgram, event.Program); event.Kind == prefixcache.Stored {
				tokensByProgram[event.Program] = event.Tokens
			}
		}
		var replayed []prefixcache.Resident
		for program, tokens := range tokensByProgram {
			replayed = append(replayed, prefixcache.Resident{Program: program, Tokens: tokens})
		}
		g.Expect(replayed).To(gomega.ConsistOf(recent))
	})
}
