// Package livenesschecker determines whether the process that holds an attempt is
// still running.
package livenesschecker

import (
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Livenesschecker checks processes against the list of entry VMs. It is safe for
// concurrent use.
type Livenesschecker struct {
	self   record.Holder
	view   func() snapshot.Entry
	timers *timer.Service

	mu sync.Mutex
	// missingSince is the time at which each process was first found missing from
	// the list.
	missingSince map[record.Holder]time.Time
}

// New returns the liveness checker of the process self. The function view
// returns the newest list.
func New(self record.Holder, view func() snapshot.Entry, timers *timer.Service) *Livenesschecker {
	return &Livenesschecker{self: self, view: view, timers: timers, missingSince: map[record.Holder]time.Time{}}
}

// IsRunning reports whether a process is running. A process that is missing from the
// list has ended only if a list that was read after it was first found missing
// does not contain it either: a process writes its row before it holds an attempt,
// but the newest list may have been read before.
func (c *Livenesschecker) IsRunning(h record.Holder) bool {
	if h == c.self {
		return true
	}
	view := c.view()
	listed := false
	for _, m := range view.Present {
		listed = listed || m.VM == h.VM && m.Process == h.Process
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if listed {
		delete(c.missingSince, h)
		return true
	}
	since, ok := c.missingSince[h]
	if !ok {
		c.missingSince[h] = c.timers.Now()
		return true
	}
	return !view.MembersAsOf.After(since)
}
