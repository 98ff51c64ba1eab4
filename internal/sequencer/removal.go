package sequencer

import (
	"maps"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// defaultRetention is far above the time for which a caller repeats a request.
const defaultRetention = time.Hour

// WithRetention sets how long a program is kept after it has ended, its engine
// memory is released and the outcomes of its calls are known. A repeated call of
// a removed program is refused as not found, without a promise that it has not
// run. The id of a program must not be used again.
func WithRetention(d time.Duration) Option {
	return func(s *Sequencer) { s.retention = d }
}

// remove drops the trees that ended long ago. A checkpoint has to follow: a
// later record of a program that the checkpoint does not hold is ignored.
func (s *Sequencer) remove(now time.Time, on *shard) {
	// old has the roots that have rested for the retention.
	old := map[ident.ProgramID]bool{}
	resting := s.resting(on)
	maps.DeleteFunc(on.restingSince, func(id ident.ProgramID, _ time.Time) bool { return !resting[id] })
	for id := range resting {
		since, known := on.restingSince[id]
		if !known {
			on.restingSince[id] = now
			continue
		}
		if now.Sub(since) >= s.retention {
			old[id] = true
		}
	}
	if len(old) == 0 {
		return
	}
	for id := range on.programs {
		if old[id.Root()] {
			delete(on.programs, id)
			delete(on.active, id)
			delete(on.restingSince, id)
			on.sinceCheckpoint++
		}
	}
}

// resting returns the roots of trees that need nothing more: all programs have
// ended, no engine holds their memory, and no call or record is open.
func (s *Sequencer) resting(on *shard) map[ident.ProgramID]bool {
	roots := map[ident.ProgramID]bool{}
	for id, state := range on.programs {
		if state.Ended && id.IsRoot() {
			roots[id] = true
		}
	}
	if len(roots) == 0 {
		return nil
	}
	for _, w := range s.waits {
		delete(roots, w.subject().Root())
	}
	for id, state := range on.programs {
		if !roots[id.Root()] {
			continue
		}
		_, _, open := state.Open()
		if !state.Ended || len(state.Residents) > 0 || open || on.activity(id).running != nil {
			delete(roots, id.Root())
		}
	}
	return roots
}
