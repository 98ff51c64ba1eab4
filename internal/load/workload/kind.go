package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Kind selects what the programs do. The interface is sealed: the variants are
// the types of this package.
type Kind interface {
	// String returns the name that the command line uses.
	String() string
	// prefix starts the ids of programs, which have no underscore.
	prefix() string
}

type (
	// PadangBersama has many short programs: a few turns with a booking
	// assistant, look-ups and one or two filings at a permit counter.
	PadangBersama struct{}
	// SchoolmaalLoket mixes quick checks with long helper programs whose history
	// grows and whose tools pause for long.
	SchoolmaalLoket struct{}
)

// String returns the name that the command line uses.
func (PadangBersama) String() string { return "padang_bersama" }

// String returns the name that the command line uses.
func (SchoolmaalLoket) String() string { return "schoolmaal_loket" }

func (PadangBersama) prefix() string   { return "padang" }
func (SchoolmaalLoket) prefix() string { return "schoolmaal" }

// KindByName returns the kind with a name, and false if there is none.
func KindByName(name string) (Kind, bool) {
	for _, k := range []Kind{PadangBersama{}, SchoolmaalLoket{}} {
		if k.String() == name {
			return k, true
		}
	}
	return nil, false
}

const (
	// quickPart is the part of quick checks; the helper programs then have most
	// of the tokens.
	quickPart = 0.7
	// Indices of the Pareto distributions. Below 2 the variance is large, as it
	// is for the lengths of real sessions.
	shapeOfCounts  = 1.2
	shapeOfLengths = 1.3
	shapeOfPauses  = 1.1
)

// draw draws the parts of one program.
type draw struct{ *rand.Rand }

// pareto draws from a Pareto distribution bounded to [low, high].
func (d draw) pareto(shape, low, high float64) float64 {
	ratio := math.Pow(low/high, shape)
	return low / math.Pow(1-d.Float64()*(1-ratio), 1/shape)
}

func (d draw) count(low, high float64) int {
	return int(d.pareto(shapeOfCounts, low, high+1))
}

func (d draw) tokens(low, high float64) unit.Tokens {
	return unit.Tokens(d.pareto(shapeOfLengths, low, high))
}

func (d draw) pause(low, high time.Duration) Pause {
	ms := d.pareto(shapeOfPauses, float64(low.Milliseconds()), float64(high.Milliseconds()))
	return Pause{Duration: time.Duration(ms) * time.Millisecond}
}

func (d draw) turn(prompt, answer unit.Tokens) Turn {
	return Turn{Pool: Engines, Prompt: prompt, Answer: answer, Text: d.Uint64()}
}

func (d draw) lookUp() Operation {
	return Operation{Pool: Services, Operation: LookUp, Text: d.Uint64()}
}

func (d draw) filing() Operation {
	return Operation{Pool: Services, Operation: File, Text: d.Uint64()}
}

// permit is a program of PadangBersama: 2 to 6 turns, and 1 or 2 filings.
func (d draw) permit() []Step {
	var steps []Step
	for i := range d.count(2, 6) {
		if i > 0 {
			steps = append(steps, d.pause(50*time.Millisecond, 500*time.Millisecond))
		}
		prompt := d.tokens(30, 300)
		if i == 0 {
			// The assistant's instructions precede the first message.
			prompt += 200
		}
		steps = append(steps, d.turn(prompt, d.tokens(12, 60)))
		if d.Float64() < 0.4 {
			steps = append(steps, d.lookUp())
		}
	}
	if d.Float64() < 0.15 {
		steps = append(steps, SubAgent{Steps: []Step{
			d.turn(100+d.tokens(30, 300), d.tokens(12, 60)),
			d.lookUp(),
			d.turn(d.tokens(30, 150), d.tokens(12, 40)),
		}})
	}
	for range 1 + d.IntN(2) {
		steps = append(steps, d.filing())
	}
	return steps
}

// check is a quick check of SchoolmaalLoket: 1 or 2 calls.
func (d draw) check() []Step {
	steps := []Step{d.turn(100+d.tokens(20, 100), d.tokens(8, 32))}
	if d.Float64() < 0.5 {
		steps = append([]Step{d.lookUp()}, steps...)
	}
	return steps
}

// helper is a long program of SchoolmaalLoket: 6 to 14 calls, of which the last
// may be a filing.
func (d draw) helper() []Step {
	calls := d.count(6, 14)
	filing := d.Float64() < 0.6
	steps := []Step{d.turn(400+d.tokens(200, 2000), d.tokens(16, 100))}
	for i := 1; i < calls; i++ {
		switch {
		case i == calls-1 && filing:
			steps = append(steps, d.filing())
			continue
		case d.Float64() < 0.25:
			steps = append(steps, d.lookUp())
			continue
		}
		steps = append(steps, d.pause(300*time.Millisecond, 3*time.Second), d.turn(d.tokens(80, 800), d.tokens(16, 100)))
	}
	if d.Float64() < 0.1 {
		sub := []Step{d.turn(200+d.tokens(100, 500), d.tokens(16, 60)), d.lookUp(), d.turn(d.tokens(50, 200), d.tokens(16, 60))}
		steps = append(steps, SubAgent{Steps: sub})
	}
	return steps
}
