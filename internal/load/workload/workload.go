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

// Names that the configuration of an experiment must define.
const (
	Engines  = ident.PoolID("engines")
	Services = ident.PoolID("services")
	// Standard is the class of all programs. With a single class the order of
	// calls depends only on the policy under test.
	Standard = ident.Class("standard")
	LookUp   = ident.Operation("look_up")
	File     = ident.Operation("file")
)

// Program is a sequence of steps that starts at Arrival, an offset from the start
// of the run.
type Program struct {
	ID      ident.ProgramID
	Region  ident.Region
	Class   ident.Class
	Arrival time.Duration
	Steps   []Step
}

// Step is one step of a program. The interface is sealed: only the types of this
// package implement it.
type Step interface{ sealedStep() }

type (
	// Turn is a call to an engine.
	Turn struct {
		Pool ident.PoolID
		// PromptTokens is the length of the body. The history that precedes it in
		// the prompt is not included.
		PromptTokens unit.Tokens
		OutputTokens unit.Tokens
		// BodySeed seeds the generator of the body's words.
		BodySeed uint64
	}
	// Operation is a call to a service.
	Operation struct {
		Pool      ident.PoolID
		Operation ident.Operation
		BodySeed  uint64
	}
	// Pause is the run time of a tool on the caller's side, between two calls.
	Pause struct{ Duration time.Duration }
	// SubAgent runs steps in a sub-agent while the parent waits.
	SubAgent struct{ Steps []Step }
)

func (Turn) sealedStep()      {}
func (Operation) sealedStep() {}
func (Pause) sealedStep()     {}
func (SubAgent) sealedStep()  {}

// Body returns the body of the call, which has PromptTokens words.
func (t Turn) Body() string {
	var b strings.Builder
	random := rand.New(rand.NewPCG(t.BodySeed, 0))
	for i := range t.PromptTokens {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(random.Uint64N(1<<20), 36))
	}
	return b.String()
}

// Body returns the body of the call as JSON.
func (o Operation) Body() string {
	return `{"form":"` + strconv.FormatUint(o.BodySeed, 36) + `"}`
}

// Rate is an arrival rate in programs per second.
type Rate float64

// Phase is a period with a constant mean arrival rate.
type Phase struct {
	Duration time.Duration
	Rate     Rate
}

const (
	// With these values about a third of the programs arrive in bursts.
	burstFraction = 0.1
	burstSize     = 5
)

// Generator generates the programs of a workload.
type Generator struct {
	kind    Kind
	seed    uint64
	regions []ident.Region
	phases  []Phase
}

// Option configures a Generator.
type Option func(*Generator)

// WithSeed sets the seed; the default is 1.
func WithSeed(seed uint64) Option { return func(g *Generator) { g.seed = seed } }

// WithRegions sets the regions over which programs are distributed uniformly at
// random.
func WithRegions(regions ...ident.Region) Option {
	return func(g *Generator) { g.regions = regions }
}

// WithPhases sets the phases, which follow one another.
func WithPhases(phases ...Phase) Option { return func(g *Generator) { g.phases = phases } }

// New returns a generator. The default is one phase of 10 s at 5 programs per
// second, in a single region with an empty name.
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

// Generate returns the programs in arrival order.
func (g Generator) Generate() []Program {
	var programs []Program
	random := rand.New(rand.NewPCG(g.seed, math.MaxUint64))
	start := time.Duration(0)
	for _, phase := range g.phases {
		events := float64(phase.Rate) / (1 - burstFraction + burstFraction*burstSize)
		end := start + phase.Duration
		at := start
		for events > 0 {
			at += time.Duration(random.ExpFloat64() / events * float64(time.Second))
			if at >= end {
				break
			}
			size := 1
			if random.Float64() < burstFraction {
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

// program returns the program with index n, counted from 0, without its arrival.
func (g Generator) program(n int) Program {
	s := sampler{rand.New(rand.NewPCG(g.seed, uint64(n)))}
	p := Program{
		ID:     ident.ProgramID(g.kind.idPrefix() + "-" + strconv.FormatUint(g.seed, 10) + "-" + strconv.Itoa(n)),
		Region: g.regions[s.IntN(len(g.regions))],
		Class:  Standard,
	}
	switch g.kind.(type) {
	case PadangBersama:
		p.Steps = s.permitProgram()
	case SchoolmaalLoket:
		if s.Float64() < quickCheckFraction {
			p.Steps = s.quickCheck()
		} else {
			p.Steps = s.longProgram()
		}
	}
	return p
}
