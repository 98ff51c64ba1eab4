// Package pacer has the schedule of a controller that repeats something.
package pacer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
)

// Pacer holds the moment of the next repetition. The zero value has none.
type Pacer struct {
	at time.Time
}

// Set schedules the next repetition and asks for a tick.
func (p *Pacer) Set(at time.Time) effect.Effect {
	p.at = at
	return effect.WakeAt{Time: at}
}

// IsSet reports whether a repetition is scheduled.
func (p *Pacer) IsSet() bool { return !p.at.IsZero() }

// Tick reports whether the repetition is due, which is then no longer scheduled.
// The executor keeps the earliest wake only, and forgets it with the tick, so a
// repetition that is not due asks again.
func (p *Pacer) Tick(now time.Time) (due bool, effects []effect.Effect) {
	switch {
	case p.at.IsZero():
		return false, nil
	case now.Before(p.at):
		return false, []effect.Effect{effect.WakeAt{Time: p.at}}
	}
	p.at = time.Time{}
	return true, nil
}
