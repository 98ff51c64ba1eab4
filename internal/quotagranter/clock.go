package quotagranter

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// clockTolerance is the least suspension that counts. Both clocks can't be read at once,
	// and a busy VM may wait in between.
	clockTolerance = 50 * time.Millisecond
	// suspensionRetention is the time for which readings from before a suspension are
	// converted.
	suspensionRetention = time.Minute
)

// clock adds the time for which the VM was suspended to the monotonic clock.
type clock struct {
	timers *timer.Service
	// start and boot are readings of both clocks at the same time.
	start time.Time
	boot  timer.BootTime
	// suspended is the time for which the VM was suspended up to resumedAt, when that was
	// last noticed, and before the time up to the suspension.
	suspended, before time.Duration
	resumedAt         time.Time
}

func newClock(timers *timer.Service) clock {
	return clock{timers: timers, start: timers.Now(), boot: timers.Boot()}
}

// now returns the current time.
func (c *clock) now() time.Time {
	reading := c.timers.Now()
	suspended := c.timers.Boot().Sub(c.boot) - reading.Sub(c.start)
	if suspended > c.suspended+clockTolerance {
		if c.resumedAt.IsZero() || reading.Sub(c.resumedAt) > suspensionRetention {
			c.before = c.suspended
		}
		c.suspended, c.resumedAt = suspended, reading
	}
	return reading.Add(c.suspended)
}

// at converts an earlier reading of the monotonic clock. A reading from before the VM was
// found to have been suspended counts as one from before the suspension.
func (c *clock) at(reading time.Time) time.Time {
	if reading.Before(c.resumedAt) {
		return reading.Add(c.before)
	}
	return reading.Add(c.suspended)
}
