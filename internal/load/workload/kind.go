package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Kind selects the shape of the programs. The interface is sealed: only the types
// of this package implement it.
type Kind interface {
	// String returns the name of the kind on the command line.
	String() string
	// idPrefix returns the prefix of program ids, which can't contain the
	// underscores of the name.
	idPrefix() string
}

type (
	// PadangBersama has many short programs: a few turns with a booking
	// assistant, look-ups, and one or two file operations at a permit counter.
	PadangBersama struct{}
	// SchoolmaalLoket mixes quick checks with long programs that have a growing
	// history and long tool pauses.
	SchoolmaalLoket struct{}
)

// String returns the name of the kind on the command line.
func (PadangBersama) String() string { return "padang_bersama" }

// String returns the name of the kind on the command line.
func (SchoolmaalLoket) String() string { return "schoolmaal_loket" }

func (PadangBersama) idPrefix() string   { return "padang" }
func (SchoolmaalLoket) idPrefix() string { return "schoolmaal" }

// KindByName returns the kind with the given name. It returns false if there is
// none.
func KindByName(name string) (Kind, bool) {
	for _, k := range []Kind{PadangBersama{}, SchoolmaalLoket{}} {
		if k.String() == name {
			return k, true
		}
	}
	return nil, false
}

const (
	// quickCheckFraction is the fraction of SchoolmaalLoket programs that are quick
	// checks. At this value the long programs have most of the tokens.
	quickCheckFraction = 0.7
	// Shape parameters of the Pareto distributions. Below 2 the variance is large,
	// as it is for the lengths of real sessions.
	countShape  = 1.2
	lengthShape = 1.3
	pauseShape  = 1.1
)

// sampler draws the random parts of one program.
type sampler struct{ *rand.Rand }

// pareto draws from a Pareto distribution bounded to [low, high]. A smaller shape
// gives a heavier tail.
func (s sampler) pareto(shape, low, high float64) float64 {
	ratio := math.Pow(low/high, shape)
	return low / math.Pow(1-s.Float64()*(1-ratio), 1/shape)
}

func (s sampler) count(low, high float64) int {
	return int(s.pareto(countShape, low, high+1))
}

func (s sampler) tokens(low, high float64) unit.Tokens {
	return unit.Tokens(s.pareto(lengthShape, low, high))
}

func (s sampler) toolPause(low, high time.Duration) Pause {
	ms := s.pareto(pauseShape, float64(low.Milliseconds()), float64(high.Milliseconds()))
	return Pause{Duration: time.Duration(ms) * time.Millisecond}
}

func (s sampler) turn(prompt, answer unit.Tokens) Turn {
	return Turn{Pool: Engines, PromptTokens: prompt, OutputTokens: answer, BodySeed: s.Uint64()}
}

func (s sampler) lookUp() Operation {
	return Operation{Pool: Services, Operation: LookUp, BodySeed: s.Uint64()}
}

func (s sampler) filing() Operation {
	return Operation{Pool: Services, Operation: File, BodySeed: s.Uint64()}
}

// permitProgram returns the steps of a PadangBersama program: 2 to 6 turns and 1
// or 2 file operations.
func (s sampler) permitProgram() []Step {
	var steps []Step
	for i := range s.count(2, 6) {
		if i > 0 {
			steps = append(steps, s.toolPause(50*time.Millisecond, 500*time.Millisecond))
		}
		prompt := s.tokens(30, 300)
		if i == 0 {
			// The first prompt includes the assistant's system prompt.
			prompt += 200
		}
		steps = append(steps, s.turn(prompt, s.tokens(12, 60)))
		if s.Float64() < 0.4 {
			steps = append(steps, s.lookUp())
		}
	}
	if s.Float64() < 0.15 {
		steps = append(steps, SubAgent{Steps: []Step{
			s.turn(100+s.tokens(30, 300), s.tokens(12, 60)),
			s.lookUp(),
			s.turn(s.tokens(30, 150), s.tokens(12, 40)),
		}})
	}
	for range 1 + s.IntN(2) {
		steps = append(steps, s.filing())
	}
	return steps
}

// quickCheck returns the steps of a short SchoolmaalLoket program: 1 or 2 calls.
func (s sampler) quickCheck() []Step {
	steps := []Step{s.turn(100+s.tokens(20, 100), s.tokens(8, 32))}
	if s.Float64() < 0.5 {
		steps = append([]Step{s.lookUp()}, steps...)
	}
	return steps
}

// longProgram returns the steps of a long SchoolmaalLoket program: 6 to 14 calls,
// the last of which may be a file operation.
func (s sampler) longProgram() []Step {
	calls := s.count(6, 14)
	filing := s.Float64() < 0.6
	steps := []Step{s.turn(400+s.tokens(200, 2000), s.tokens(16, 100))}
	for i := 1; i < calls; i++ {
		switch {
		case i == calls-1 && filing:
			steps = append(steps, s.filing())
			continue
		case s.Float64() < 0.25:
			steps = append(steps, s.lookUp())
			continue
		}
		steps = append(steps, s.toolPause(300*time.Millisecond, 3*time.Second), s.turn(s.tokens(80, 800), s.tokens(16, 100)))
	}
	if s.Float64() < 0.1 {
		sub := []Step{s.turn(200+s.tokens(100, 500), s.tokens(16, 60)), s.lookUp(), s.turn(s.tokens(50, 200), s.tokens(16, 60))}
		steps = append(steps, SubAgent{Steps: sub})
	}
	return steps
}
