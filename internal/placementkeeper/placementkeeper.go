package placementkeeper

import (
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	// retention is how long an entry is kept after its last use. Programs pause for
	// seconds between turns; after minutes engines have evicted their prompts.
	retention = 3 * time.Minute
	// maxRecent bounds the entries of one generation. The largest known deployments
	// begin about 200 programs per second, which is 6,000 in the retention for each of
	// the 6 VMs that may grant turns of one program if there are only 36 VMs. Two full
	// generations take 4 MB.
	maxRecent = 8192
	// maxIDBytes is the length of the ids of programs and engines up to which an engine is
	// remembered. A UUID has 36 bytes. Callers choose the ids of programs; with ones as long
	// as a header may be, 16 KB, two full generations would take 268 MB.
	maxIDBytes = 128
)

// Placementkeeper remembers the engines of programs. It is safe for concurrent use.
type Placementkeeper struct {
	timers *timer.Service

	mu sync.Mutex
	// recent has the entries used since rotatedAt, and earlier those last used in the
	// period before. Dropping a whole period needs no order of the entries.
	recent, earlier map[ident.ProgramID]entry
	rotatedAt       time.Time
}

// entry is the engine of a program.
type entry struct {
	engine upstream.Process
	usedAt time.Time
}

// New returns a keeper that remembers nothing.
func New(timers *timer.Service) *Placementkeeper {
	return &Placementkeeper{timers: timers, recent: map[ident.ProgramID]entry{}, rotatedAt: timers.Now()}
}

// Find returns the engine of a program, the zero value if none is remembered.
func (k *Placementkeeper) Find(program ident.ProgramID) upstream.Process {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.timers.Now()
	k.rotate(now)
	found, ok := k.recent[program]
	if !ok {
		found, ok = k.earlier[program]
	}
	if !ok || now.Sub(found.usedAt) > retention {
		return upstream.Process{}
	}
	k.put(now, program, found.engine)
	return found.engine
}

// Keep remembers the engine that served a turn of a program. A turn that no engine served
// changes nothing, nor does one of a program with a long id.
func (k *Placementkeeper) Keep(program ident.ProgramID, engine upstream.Process) {
	if engine.IsZero() || len(program) > maxIDBytes || len(engine.ID) > maxIDBytes {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.timers.Now()
	k.rotate(now)
	k.put(now, program, engine)
}

// Len returns the number of entries held.
func (k *Placementkeeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rotate(k.timers.Now())
	return len(k.recent) + len(k.earlier)
}

// put adds an entry to the recent ones.
func (k *Placementkeeper) put(now time.Time, program ident.ProgramID, engine upstream.Process) {
	delete(k.earlier, program)
	if _, known := k.recent[program]; !known && len(k.recent) >= maxRecent {
		k.earlier, k.recent, k.rotatedAt = k.recent, map[ident.ProgramID]entry{}, now
	}
	k.recent[program] = entry{engine: engine, usedAt: now}
}

// rotate drops the entries that were last used before the previous period.
func (k *Placementkeeper) rotate(now time.Time) {
	age := now.Sub(k.rotatedAt)
	switch {
	case age <= retention:
		return
	case age <= 2*retention:
		k.earlier = k.recent
	default:
		k.earlier = nil
	}
	k.recent, k.rotatedAt = map[ident.ProgramID]entry{}, now
}
