package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a reading of a clock that, unlike the monotonic clock, also runs while the
// VM is suspended. It is not affected by changes of the wall clock. It is only comparable
// with other readings of the same VM.
type BootTime time.Duration

// Sub returns the time from an earlier reading to t.
func (t BootTime) Sub(earlier BootTime) time.Duration { return time.Duration(t - earlier) }

// Add returns the reading d later.
func (t BootTime) Add(d time.Duration) BootTime { return t + BootTime(d) }

// Boot returns the current reading of the clock that includes suspended time.
func (s *Service) Boot() BootTime {
	if s.clock != nil {
		return s.clock.boot()
	}
	var reading unix.Timespec
	// The call fails only for a clock that the system does not have. Linux has this
	// one since version 2.6.39, which is older than the oldest that Go supports.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading)
	return BootTime(reading.Nano())
}
