// Package roster determines whether the process that holds an attempt is still
// running.
package roster

import (
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Roster checks processes against the list of entry VMs. It is safe for concurrent
// use.
type Roster struct {
	self   record.Holder
	view   func() snapshot.Entry
	timers *timer.Service

	mu sync.Mutex
	// missingSince is the time at which each process was first found missing from
	// the list.
	missingSince map[record.Holder]time.Time
}

// New returns the roster of the process self. The function view returns the newest
// list.
func New(self record.Holder, view func() snapshot.Entry, timers *timer.Service) *Roster {
	return &Roster{self: self, view: view, timers: timers, missingSince: map[record.Holder]time.Time{}}
}

// Runs reports whether a process is running. A process that is missing from the
// list has ended only if a list that was read after it was first found missing
// does not contain it either: a process writes its row before it holds an attempt,
// but the newest list may have been read before.
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
		delete(r.missingSince, h)
		return true
	}
	since, ok := r.missingSince[h]
	if !ok {
		r.missingSince[h] = r.timers.Now()
		return true
	}
	return !view.MembersAsOf.After(since)
}
