package loadshedder

import (
	"math"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// minOccupancy is the occupancy below which nothing is refused.
	minOccupancy unit.Ratio = 0.5
	// fullOccupancy is the occupancy from which upstreams may be full: requests are
	// not spread evenly, so that some upstreams fill up before the mean reaches 1.
	fullOccupancy unit.Ratio = 0.9
	// lowOccupancy is the occupancy below which the level falls fast.
	lowOccupancy unit.Ratio = 0.75
	// startDelay and startRefusals are the delay, in targets, and the share of refused
	// calls at which shedding starts. The level rises above highDelay and
	// highRefusals, and falls below lowDelay and lowRefusals: it stays between them,
	// so that it does not oscillate.
	startDelay    unit.Ratio = 0.75
	startRefusals unit.Ratio = 0.2
	highDelay     unit.Ratio = 0.5
	highRefusals  unit.Ratio = 0.1
	lowDelay      unit.Ratio = 0.25
	lowRefusals   unit.Ratio = 0.05
	// rise, fall and fastFall are changes of the level per second. Delays are known
	// one to two seconds late, so that a faster rise overshoots.
	rise     = 0.3
	fall     = 0.1
	fastFall = 0.5
	// protectedRise is the rise above level 1, at which requests of programs under way
	// are refused.
	protectedRise = 0.15
	// maxUrgency limits the factor by which the level rises faster the more calls wait.
	maxUrgency unit.Ratio = 3
	// outlook is the time for which the decrease of the occupancy is extrapolated, so
	// that the level falls before upstreams run out of calls.
	outlook = time.Second
	// drainingRatio is the quotient of two successive occupancies below which the level
	// is high enough: the delays that are reported meanwhile are those of earlier calls.
	drainingRatio = 0.98
	// maxLevel leaves the most important requests, whose answers show when the
	// shortage ends.
	maxLevel unit.Ratio = 1.9
	// maxEvidenceAge is the age at which measurements no longer justify a refusal.
	maxEvidenceAge = 2 * time.Second
)

// NextLevel returns the level for a new measurement of a pool, a time after the
// previous one.
func NextLevel(previous, load snapshot.PoolLoad, elapsed time.Duration) unit.Ratio {
	level := previous.Level
	strained := load.RelativeDelay >= highDelay || load.RefusedShare >= highRefusals
	relaxed := load.RelativeDelay < lowDelay && load.RefusedShare < lowRefusals
	expected, draining := expectedOccupancy(previous, load, elapsed)
	switch {
	case !hasEvidence(load, load.AsOf) || load.Slots <= 0:
		return 0
	case level == 0:
		if float64(load.Occupancy) < startOccupancy(load.Slots) || load.RelativeDelay < startDelay && load.RefusedShare < startRefusals {
			return 0
		}
		return change(0, rise, elapsed)
	case load.Occupancy < lowOccupancy:
		return change(level, -fastFall, elapsed)
	case relaxed || expected < fullOccupancy:
		return change(level, -fall, elapsed)
	case !strained || draining:
		return level
	case level >= 1:
		return change(level, protectedRise, elapsed)
	}
	return change(level, rise*float64(min(max(load.Occupancy, 1), maxUrgency)), elapsed)
}

// startOccupancy returns the occupancy at which shedding may start. The calls of one VM
// vary by about the square root of their number: with a share of 2 slots, 3 calls in
// flight do not show that upstreams are full.
func startOccupancy(slots float64) float64 {
	return float64(fullOccupancy) + 1/math.Sqrt(max(slots, 1))
}

// expectedOccupancy returns the occupancy after the outlook, and whether it decreases.
func expectedOccupancy(previous, load snapshot.PoolLoad, elapsed time.Duration) (unit.Ratio, bool) {
	if elapsed <= 0 || load.Occupancy >= drainingRatio*previous.Occupancy {
		return load.Occupancy, false
	}
	decrease := (previous.Occupancy - load.Occupancy) * unit.Ratio(outlook.Seconds()/elapsed.Seconds())
	return load.Occupancy - decrease, true
}

// change returns a level after a time at a rate of change per second.
func change(level unit.Ratio, perSecond float64, elapsed time.Duration) unit.Ratio {
	return min(max(level+unit.Ratio(perSecond*elapsed.Seconds()), 0), maxLevel)
}

// hasEvidence reports whether the measurements are new enough to justify a refusal.
func hasEvidence(load snapshot.PoolLoad, now time.Time) bool {
	return now.Sub(load.AsOf) <= maxEvidenceAge && now.Sub(load.EvidenceAt) <= maxEvidenceAge
}

// hasRoom reports whether so few slots are taken that nothing may be refused. The
// smoothed occupancy includes calls that have ended since, the calls in flight vary by
// chance; either is enough. Without a known number of slots there is room.
func hasRoom(load snapshot.PoolLoad) bool {
	return load.Occupancy < minOccupancy || float64(load.InFlight) < float64(minOccupancy)*load.Slots
}
