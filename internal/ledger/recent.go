package ledger

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// maxCachedTurns and maxCachedTurnBytes limit the cache to 16 MB of the 112 MB
	// of memory on the smallest VMs. Longer turns are read from the store. Ids count,
	// since callers choose them.
	maxCachedTurns     = 1024
	maxCachedTurnBytes = 16 << 10
	// maxCachedTurnAge is a third of the retention period of rows after the last
	// use of their program, so that no turn is continued after its rows were removed.
	maxCachedTurnAge = 5 * time.Minute
)

// turnCache has the turns that this VM stored or read recently. A stored turn
// never changes. Half of the turns of a program are served by the VM that served
// the previous one.
type turnCache struct {
	turns  *lru.Cache[ident.RequestID, cachedTurn]
	timers *timer.Service
}

type cachedTurn struct {
	previous ident.RequestID
	account  ident.AccountID
	text     []byte
	at       time.Time
}

func newTurnCache(timers *timer.Service) turnCache {
	// New fails only if the size is not positive.
	turns, _ := lru.New[ident.RequestID, cachedTurn](maxCachedTurns)
	return turnCache{turns: turns, timers: timers}
}

// add caches a stored turn, unless its text and ids are too long.
func (c turnCache) add(t Turn, input, output []byte) {
	if len(input)+len(output)+len(t.Turn)+len(t.Previous)+len(t.Account) <= maxCachedTurnBytes {
		c.turns.Add(t.Turn, cachedTurn{previous: t.Previous, account: t.Account, text: slices.Concat(input, output), at: c.timers.Now()})
	}
}

// history returns the text of all turns before a turn, false if one of them is not
// cached, is too old, or must not be continued by the turn. More turns than the cache holds
// follow each other in a circle.
func (c turnCache) history(t Turn) ([]byte, bool) {
	var texts [][]byte
	for previous := t.Previous; previous != ""; {
		turn, ok := c.turns.Get(previous)
		if !ok || c.timers.Now().Sub(turn.at) > maxCachedTurnAge || !t.mayContinue(turn.account) || len(texts) > maxCachedTurns {
			return nil, false
		}
		texts = append(texts, turn.text)
		previous = turn.previous
	}
	slices.Reverse(texts)
	return slices.Concat(texts...), true
}
