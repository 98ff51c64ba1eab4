package releaser_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/releaser"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func decode(f goldentest.Fields) message.Message {
	program, upstream := ident.ProgramID(f["program"]), ident.UpstreamID(f["at"])
	switch f["message"] {
	case "configuration":
		c := &configuration.Configuration{Version: ident.Version(f.Int("version")), Pools: []configuration.Pool{{ID: "model", Kind: configuration.EnginePool}}}
		for id := range strings.SplitSeq(f["engines"], ",") {
			c.Upstreams = append(c.Upstreams, configuration.Upstream{ID: ident.UpstreamID(id), Pool: "model", Address: id + ":1"})
		}
		return message.ConfigurationRead{Configuration: c}
	case "members":
		return message.MembersListed{VMs: []ident.VMID{ident.VMID(f["vms"])}}
	case "want":
		return message.ReleaseRequested{Program: program, Upstream: upstream, Epoch: ident.Epoch(f.Int("epoch"))}
	case "done":
		done := message.ReleaseDone{Program: program, Upstream: upstream}
		if f.Has("failed") {
			done.Err = errors.New("no answer")
		}
		return done
	case "cache":
		read := message.CacheRead{Upstream: upstream, Complete: !f.Has("gap"), CachedTokens: map[ident.ProgramID]unit.Tokens{}}
		for i := range f.Int("programs") {
			read.CachedTokens[ident.ProgramID(fmt.Sprintf("p%02d", i))] = 1
		}
		return read
	}
	return message.Tick{}
}

// TestReleases guards against a release that is not repeated, that is sent twice
// concurrently or to an engine that was removed, and against memory that is never
// checked.
func TestReleases(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	r := releaser.New("self", releaser.WithSweepInterval(time.Hour))
	r.Handle(now, message.Started{})
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		var output []string
		for _, e := range r.Handle(now, decode(f)) {
			switch e := e.(type) {
			case effect.Release:
				output = append(output, fmt.Sprintf("release %s at %s for epoch %d", e.Program, e.Address, e.Epoch))
			case effect.CheckCachedPrograms:
				output = append(output, fmt.Sprintf("check %d programs from %s to %s", len(e.Programs), e.Programs[0], e.Programs[len(e.Programs)-1]))
			case effect.WakeAt:
				if wait := e.Time.Sub(now); wait < time.Minute {
					output = append(output, fmt.Sprint("wake in ", wait))
				}
			}
		}
		return strings.Join(output, ", ")
	})).To(Succeed())
}
