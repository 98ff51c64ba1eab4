// Package roster tells whether the process that holds an attempt still runs.
package roster

import (
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Roster follows the list of entry VMs. It may be used by several goroutines.
type Roster struct {
	self   record.Holder
	view   func() snapshot.Entry
	timers *timer.Service

	mu sync.Mutex
	// missed has when each process was first looked for and not listed.
	missed map[record.Holder]time.Time
}

// New returns the roster of a process.
func New(self record.Holder, view func() snapshot.Entry, timers *timer.Service) *Roster {
	return &Roster{self: self, view: view, timers: timers, missed: map[record.Holder]time.Time{}}
}

// Runs reports whether a process runs. It has ended if a list that was read
// after it was first missed does not have it either: a process writes its row
// before it holds an attempt, and the newest list may be older than that.
func (r *Roster) Runs(h record.Holder) bool {
	if h == r.self {
		return true
	}
	view := r.view()
	listed := false
	for _, m := range view.Present {
		listed = listed || m.VM == h.VM && m.Process == h.Process
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if listed {
		delete(r.missed, h)
		return true
	}
	since, ok := r.missed[h]
	if !ok {
		r.missed[h] = r.timers.Now()
		return true
	}
	return !view.MembersAsOf.After(since)
}
