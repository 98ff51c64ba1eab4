package workload

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Names that the configuration of an experiment must have.
const (
	Engines  = ident.PoolID("engines")
	Services = ident.PoolID("services")
	// Standard is the class of all programs. One class leaves the order of calls
	// to the policy that is measured.
	Standard = ident.Class("standard")
	LookUp   = ident.Operation("look_up")
	File     = ident.Operation("file")
)

// Program is a chain of steps that starts at Arrival after the start of the run.
type Program struct {
	ID      ident.ProgramID
	Region  ident.Region
	Class   ident.Class
	Arrival time.Duration
	Steps   []Step
}

// Step is one step of a program. The interface is sealed: the variants are the
// types of this package.
type Step interface{ sealedStep() }

type (
	// Turn is a call of an engine.
	Turn struct {
		Pool ident.PoolID
		// Prompt is the length of the body, which the history precedes.
		Prompt unit.Tokens
		Answer unit.Tokens
		// Text is the seed of the body's words.
		Text uint64
	}
	// Operation is a call of a service.
	Operation struct {
		Pool      ident.PoolID
		Operation ident.Operation
		Text      uint64
	}
	// Pause is the run time of a tool on the caller's side.
	Pause struct{ Duration time.Duration }
	// SubAgent runs steps in a sub-agent while the program waits.
	SubAgent struct{ Steps []Step }
)

func (Turn) sealedStep()      {}
func (Operation) sealedStep() {}
func (Pause) sealedStep()     {}
func (SubAgent) sealedStep()  {}

// Body returns the body of the call: Prompt words.
func (t Turn) Body() string {
	var b strings.Builder
	random := rand.New(rand.NewPCG(t.Text, 0))
	for i := range t.Prompt {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(random.Uint64N(1<<20), 36))
	}
	return b.String()
}

// Body returns the body of the call as JSON.
func (o Operation) Body() string {
	return `{"form":"` + strconv.FormatUint(o.Text, 36) + `"}`
}

// PerSecond is a rate.
type PerSecond float64

// Phase is a time with one arrival rate of programs.
type Phase struct {
	Duration time.Duration
	Rate     PerSecond
}

const (
	// A tenth of the arrival events are bursts, so that about a third of the
	// programs arrive in bursts.
	burstPart = 0.1
	burstSize = 5
)

// Generator generates programs.
type Generator struct {
	kind    Kind
	seed    uint64
	regions []ident.Region
	phases  []Phase
}

// Option changes how New builds a Generator.
type Option func(*Generator)

// WithSeed sets the seed; the default is 1.
func WithSeed(seed uint64) Option { return func(g *Generator) { g.seed = seed } }

// WithRegions sets the regions over which callers are spread evenly.
func WithRegions(regions ...ident.Region) Option {
	return func(g *Generator) { g.regions = regions }
}

// WithPhases sets the arrival rates, one phase after the other.
func WithPhases(phases ...Phase) Option { return func(g *Generator) { g.phases = phases } }

// New returns a generator. The default is one phase of 10 s with 5 programs a
// second in one region without a name.
func New(kind Kind, options ...Option) Generator {
	g := Generator{
		kind: kind, seed: 1, regions: []ident.Region{""},
		phases: []Phase{{Duration: 10 * time.Second, Rate: 5}},
	}
	for _, option := range options {
		option(&g)
	}
	return g
}

// Generate returns the programs in the order of their arrival.
func (g Generator) Generate() []Program {
	var programs []Program
	random := rand.New(rand.NewPCG(g.seed, math.MaxUint64))
	start := time.Duration(0)
	for _, phase := range g.phases {
		events := float64(phase.Rate) / (1 - burstPart + burstPart*burstSize)
		end := start + phase.Duration
		at := start
		for events > 0 {
			at += time.Duration(random.ExpFloat64() / events * float64(time.Second))
			if at >= end {
				break
			}
			size := 1
			if random.Float64() < burstPart {
				size = burstSize
			}
			for range size {
				p := g.program(len(programs))
				p.Arrival = at
				programs = append(programs, p)
			}
		}
		start = end
	}
	return programs
}

// program returns the n-th program, from 0.
func (g Generator) program(n int) Program {
	d := draw{rand.New(rand.NewPCG(g.seed, uint64(n)))}
	p := Program{
		ID:     ident.ProgramID(g.kind.prefix() + "-" + strconv.FormatUint(g.seed, 10) + "-" + strconv.Itoa(n)),
		Region: g.regions[d.IntN(len(g.regions))],
		Class:  Standard,
	}
	switch g.kind.(type) {
	case PadangBersama:
		p.Steps = d.permit()
	case SchoolmaalLoket:
		if d.Float64() < quickPart {
			p.Steps = d.check()
		} else {
			p.Steps = d.helper()
		}
	}
	return p
}
