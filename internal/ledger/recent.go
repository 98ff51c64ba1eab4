package ledger

import (
	"bytes"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// recentTurns and recentBytes bound the memory for turns: 16 MB of the 112 MB
	// of the smallest VMs. Longer turns are read from the store.
	recentTurns = 1024
	recentBytes = 16 << 10
	// recentAge is a third of the time for which rows are kept after the last use
	// of their program, so that no turn is continued whose rows are gone.
	recentAge = 5 * time.Minute
)

// recent has the turns that this VM stored or read lately. A stored turn never
// changes. Half of the turns of a program come to the VM of the turn before.
type recent struct {
	turns  *lru.Cache[ident.RequestID, recentTurn]
	timers *timer.Service
}

type recentTurn struct {
	previous ident.RequestID
	text     []byte
	at       time.Time
}

func newRecent(timers *timer.Service) recent {
	// The size is above 0, which is all that can be wrong.
	turns, _ := lru.New[ident.RequestID, recentTurn](recentTurns)
	return recent{turns: turns, timers: timers}
}

// add remembers a turn that is in the store.
func (r recent) add(t, previous ident.RequestID, text []byte) {
	if len(text) <= recentBytes {
		r.turns.Add(t, recentTurn{previous: previous, text: bytes.Clone(text), at: r.timers.Now()})
	}
}

// history returns the text of a turn and of all turns before it, false if one of
// them is not remembered.
func (r recent) history(t ident.RequestID) ([]byte, bool) {
	var texts [][]byte
	for t != "" {
		turn, ok := r.turns.Get(t)
		if !ok || r.timers.Now().Sub(turn.at) > recentAge {
			return nil, false
		}
		texts = append(texts, turn.text)
		t = turn.previous
	}
	slices.Reverse(texts)
	return slices.Concat(texts...), true
}
