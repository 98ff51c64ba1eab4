package nodetest

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var errNoAnswer = errors.New("no answer")

// engines are upstreams with memory. They ignore fencing numbers.
type engines struct {
	residents map[ident.UpstreamID]map[ident.ProgramID]unit.Tokens
	down      map[ident.UpstreamID]bool
	// lost is the number of next releases whose answer is lost after they took
	// effect; late is the number of those that take effect later.
	lost, late int
	// slow is the number of next calls that reach their engine later.
	slow int
	// transit holds what is on the way to an engine.
	transit []func()
	// gaps is the number of next cache reads that are incomplete.
	gaps  int
	notef func(format string, args ...any)
}

func newEngines(notef func(string, ...any)) *engines {
	return &engines{
		residents: map[ident.UpstreamID]map[ident.ProgramID]unit.Tokens{"e0": {}, "e1": {}},
		down:      map[ident.UpstreamID]bool{},
		notef:     notef,
	}
}

// hold is the arrival of a call at an engine.
func (g *engines) hold(upstream ident.UpstreamID, id ident.ProgramID) {
	take := func() { g.residents[upstream][id] = 1 }
	if g.slow > 0 {
		g.slow--
		g.transit = append(g.transit, take)
		return
	}
	take()
}

// arrive lets what is on the way reach its engine.
func (g *engines) arrive() {
	transit := g.transit
	g.transit = nil
	for _, run := range transit {
		run()
	}
}

func (g *engines) release(e effect.Release) message.ReleaseDone {
	done := message.ReleaseDone{Program: e.Program, Upstream: e.Upstream}
	free := func() {
		g.notef("%s: releases %s for epoch %d", e.Upstream, e.Program, e.Epoch)
		delete(g.residents[e.Upstream], e.Program)
	}
	switch {
	case g.down[e.Upstream]:
		done.Err = errNoAnswer
	case g.late > 0:
		g.late--
		g.transit = append(g.transit, free)
		done.Err = errNoAnswer
	case g.lost > 0:
		g.lost--
		free()
		done.Err = errNoAnswer
	default:
		free()
	}
	return done
}

func (g *engines) readCache(e effect.ReadCache) message.CacheRead {
	read := message.CacheRead{Upstream: e.Upstream, Complete: g.gaps == 0, Residents: map[ident.ProgramID]unit.Tokens{}}
	if g.down[e.Upstream] {
		read.Err = errNoAnswer
		return read
	}
	for id, tokens := range g.residents[e.Upstream] {
		read.Residents[id] = tokens
	}
	g.gaps = max(0, g.gaps-1)
	return read
}

// baseConfiguration has a desk whose operations must not be repeated and can be
// looked up, and two engines.
func baseConfiguration() *configuration.Configuration {
	upstream := func(id ident.UpstreamID, pool ident.PoolID) configuration.Upstream {
		return configuration.Upstream{ID: id, Pool: pool, Team: "team", Address: "127.0.0.1:1", Slots: 4}
	}
	return &configuration.Configuration{
		Teams: []configuration.Team{{ID: "team", MaxCalls: budgetCalls, MaxTokens: budgetTokens}},
		Pools: []configuration.Pool{
			{ID: "desk", Kind: configuration.ServicePool, LookUp: true},
			{ID: "chat", Kind: configuration.EnginePool},
		},
		Upstreams: []configuration.Upstream{upstream("u", "desk"), upstream("e0", "chat"), upstream("e1", "chat")},
	}
}

// configure puts the base configuration in force as version 1.
func (w *world) configure() {
	body, err := json.Marshal(baseConfiguration())
	if err != nil {
		panic(err)
	}
	w.platform.apply([]table.Write{{Kind: table.ConfigurationKind, Key: table.CurrentKey, WriteID: "base", Body: body}})
}

// readConfiguration does what the performer does.
func (w *world) readConfiguration() message.ConfigurationRead {
	read := message.ConfigurationRead{StartedAt: w.clock.Now(), Configuration: &configuration.Configuration{}}
	row, ok, err := w.platform.Get(context.Background(), table.ConfigurationKind, table.CurrentKey)
	switch {
	case err != nil:
		read.Configuration, read.Err = nil, err
	case ok:
		if err := json.Unmarshal(row.Body, read.Configuration); err != nil {
			panic(err)
		}
		read.Configuration.Version = row.Version
	}
	return read
}

// lookUp asks the desk, which knows each call that arrived.
func (w *world) lookUp(e effect.LookUp) message.LookedUp {
	found := w.oracle.arrivals[e.Call] > 0
	w.oracle.notef("u: is asked for the result of %s (found: %v)", e.Call, found)
	done := message.LookedUp{Program: e.Program, Call: e.Call, Found: found}
	done.Answer.Body, done.Answer.Usage.Calls = w.oracle.bodies[e.Call], 1
	return done
}
