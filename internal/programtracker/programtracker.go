// Package programtracker tells requests of programs that have begun from the first
// requests of new programs.
//
// The VM remembers the programs that it served in the last minutes. A program that only
// other VMs have served is recognized by the time left until its objective: that of a
// first turn is usually the same on a route, so that a first turn with much less time
// belongs to a sub-agent or was sent before.
package programtracker

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// maxPrograms limits the remembered programs to about 1 MB. Their ids are not kept:
	// a caller may send ids of 16 KB.
	maxPrograms = 8192
	// retention is how long a program counts as under way after its last request.
	// Programs pause for tools and for their users.
	retention = 5 * time.Minute
	// maxRoutes limits the routes with a known objective.
	maxRoutes = 1024
	// minSamples is the number of first turns after which the usual objective of a
	// route is known.
	minSamples = 10
	// underWayShare is the share of the usual objective below which a first turn
	// counts as one of a program under way. Callers repeat a refused request after a
	// third of their time left at most.
	underWayShare unit.Ratio = 0.75
	// maxProgressAge is the age of a program under way whose objective has come. Below
	// 1, it leaves a part to the priority.
	maxProgressAge unit.Ratio = 0.5
	// raiseFactor and lowerFactor are the weights of a first turn with more and with
	// less time left than usual. The first turns of sub-agents have less, so that the
	// estimate follows the longer times.
	raiseFactor = 0.2
	lowerFactor = 0.02
)

// Programtracker remembers programs. It is safe for concurrent use.
type Programtracker struct {
	served *lru.Cache[digest, time.Time]

	mu         sync.Mutex
	objectives *lru.Cache[ident.RouteID, objective]
}

// digest is the hash of the id of a program.
type digest uint64

// objective is the usual time left at the first turns of a route.
type objective struct {
	usual   float64
	samples int
}

// Standing says how far the program of a request is. The zero value is that of a
// request without a program.
type Standing struct {
	// UnderWay is true if the program has begun.
	UnderWay bool
	// Age is the part of the wait after which a new program counts as under way. For a
	// program under way it grows with the part of its time that has passed: programs
	// that are nearly done go first.
	Age unit.Ratio
	// TimeLeft is the time after which the program is of no use: the time left until
	// its objective and, since it is of some use until twice the objective, the usual
	// objective. It is 0 if unknown.
	TimeLeft time.Duration
}

// New returns a Programtracker that knows no programs.
func New() *Programtracker {
	// New fails only if the size is not positive.
	served, _ := lru.New[digest, time.Time](maxPrograms)
	objectives, _ := lru.New[ident.RouteID, objective](maxRoutes)
	return &Programtracker{served: served, objectives: objectives}
}

// Assess returns the standing of a request and learns from it.
func (t *Programtracker) Assess(now time.Time, route ident.RouteID, r *traffic.Request) Standing {
	if r.Program == nil {
		return Standing{}
	}
	at, served := t.served.Get(hash(r.Program.ID))
	isKnown := served && now.Sub(at) < retention
	isFirst := r.Program.Previous == "" && r.Prompt != nil && !isKnown
	usual, known := t.usualObjective(route, r.Program.TimeLeft, isFirst)
	standing := Standing{UnderWay: !isFirst}
	if !known || r.Program.TimeLeft <= 0 {
		return standing
	}
	standing.TimeLeft = r.Program.TimeLeft + usual
	passed := min(max(1-unit.Ratio(r.Program.TimeLeft)/unit.Ratio(usual), 0), 1)
	if isFirst && passed <= 1-underWayShare {
		standing.UnderWay, standing.Age = false, passed/(1-underWayShare)
		return standing
	}
	standing.UnderWay, standing.Age = true, maxProgressAge*passed
	return standing
}

// usualObjective returns the usual time left at the first turns of a route, false if it
// is not known yet. It learns from first turns.
func (t *Programtracker) usualObjective(route ident.RouteID, left time.Duration, isFirst bool) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, _ := t.objectives.Get(route)
	if isFirst && left > 0 {
		weight := lowerFactor
		switch {
		case o.samples == 0:
			weight = 1
		case float64(left) > o.usual:
			weight = raiseFactor
		}
		o.usual += weight * (float64(left) - o.usual)
		o.samples++
		t.objectives.Add(route, o)
	}
	return time.Duration(o.usual), o.samples >= minSamples
}

// Served records that a request of a program was admitted.
func (t *Programtracker) Served(now time.Time, program *traffic.Program) {
	if program != nil {
		t.served.Add(hash(program.ID), now)
	}
}

func hash(id ident.ProgramID) digest { return digest(xxhash.Sum64String(string(id))) }
