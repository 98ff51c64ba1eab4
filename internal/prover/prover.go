// Package prover determines how old the state of the store is at most that an answer shows.
//
// An answer may be late, because this VM or a peer was frozen or suspended, and it may come
// from an old state of the store. The age of a proof is therefore counted from the start of
// the read, on a clock that includes suspended time, and from the store's own clock.
package prover

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// driftRatio is the share of the elapsed time by which the store's clock may fall
	// behind that of this VM. Quartz clocks differ by up to 0.02 %. Without it, proofs
	// would lapse for good after some hours with a slower clock of the store.
	driftRatio = 0.0005
	// maxStaleness is the time by which a state is older than the start of its read if
	// the store's clock has been set back. The store answers from states that are up to
	// 3 s old.
	maxStaleness = time.Minute
)

// Prover derives proofs from the answers of one store.
type Prover struct {
	// offset is the largest difference seen between the store's clock and the time of
	// receipt, which is that of the fastest answer. It is valid as of measuredAt.
	offset     time.Duration
	measuredAt timer.BootTime
	measured   bool
}

// Prove returns the time at which the store held the state of an answer, false if the
// answer does not prove one.
func (p *Prover) Prove(t message.ReadTiming, page rows.Page) (timer.BootTime, bool) {
	p.measure(t.Received, page.Clock)
	if t.Known == 0 || page.Version < t.Known {
		return 0, false
	}
	stateAt := timer.BootTime(time.Duration(page.Clock) - p.offset)
	if t.Sent.Sub(stateAt) > maxStaleness {
		p.measured = false
		p.measure(t.Received, page.Clock)
		return 0, false
	}
	return min(t.Sent, stateAt), true
}

// measure updates the offset by an answer.
func (p *Prover) measure(received timer.BootTime, clock rows.Clock) {
	offset := time.Duration(clock) - time.Duration(received)
	elapsed := max(received.Sub(p.measuredAt), 0)
	if p.measured {
		offset = max(offset, p.offset-time.Duration(float64(elapsed)*driftRatio))
	}
	p.offset, p.measured = offset, true
	p.measuredAt = max(p.measuredAt, received)
}
