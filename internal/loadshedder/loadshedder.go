// Package loadshedder decides which requests run while a pool is short of capacity.
//
// Its functions are pure. NextLevel turns measurements of a pool into a level of
// shedding, with hysteresis; Decide compares the level with the value of a request.
// While shedding lasts, the first turns of new programs are refused before any request
// of a program under way, and within either group in the order of priority, excess of
// the account and work. When measurements are missing or old, requests are admitted.
package loadshedder

import (
	"math"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Request is what is known of a request when it arrives.
type Request struct {
	Route ident.RouteID
	// UnderWay is true if the request belongs to a program that has begun.
	UnderWay bool
	// Lower is the share of the pool's work that has a lower priority. Middle includes
	// the excess of accounts of the same priority, and Upper all work of this priority.
	Lower, Middle, Upper unit.Ratio
	// Excess is the share of the account's work that exceeds its usual.
	Excess unit.Ratio
	// RelativeWork is the work as a multiple of the usual.
	RelativeWork unit.Ratio
	// Age is 0 for a new request and 1 for one that has been put off long enough to go
	// before all others of its group.
	Age unit.Ratio
	// Output is the maximum number of tokens to generate.
	Output unit.Tokens
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// ProgramTimeLeft is the time until the program's result is of no more use, 0 if
	// unknown.
	ProgramTimeLeft time.Duration
	// CallerTimeLeft is the time of which the caller waits at most a third before it
	// sends the request again.
	CallerTimeLeft time.Duration
}

// Decision is the decision on a request. The interface is sealed: the variants are
// Admit and Refuse.
type Decision interface{ decision() }

// Admit passes the request on at once.
type Admit struct{}

// Refuse refuses the request as not run.
type Refuse struct {
	Reason Reason
	// RetryAfter is the time after which the backlog is expected to be gone.
	RetryAfter time.Duration
	// Rank is the value that was compared with the level.
	Rank unit.Ratio
	// Estimate is the expected time to the end of the request, 0 if unknown.
	Estimate time.Duration
}

// Reason says why a request was refused. Its text is part of metrics and logs.
type Reason string

const (
	// TooLate requests cannot end before their deadline.
	TooLate Reason = "too_late"
	// NewProgram requests are first turns of programs that have not begun.
	NewProgram Reason = "new_program"
	// ProgramUnderWay requests belong to a program that has begun.
	ProgramUnderWay Reason = "program_under_way"
)

func (Admit) decision()  {}
func (Refuse) decision() {}

const (
	// assumedDelay is the part of the usual delay that is assumed at least: an
	// estimate that is too long would refuse a request that can still end in time.
	assumedDelay = 0.7
	// maxRelativeWork bounds the influence of the work on the rank.
	maxRelativeWork = 10
)

// Chance has the random numbers of one decision, between 0 and 1.
type Chance struct{ Rank, Delay unit.Ratio }

// Decide returns the decision on a request.
func Decide(load snapshot.PoolLoad, r Request, now time.Time, chance Chance) Decision {
	if load.Level <= 0 || !hasEvidence(load, now) || hasRoom(load) {
		return Admit{}
	}
	rank, estimate := rank(r, chance.Rank), estimate(load, r)
	refusal := Refuse{Rank: rank, Estimate: estimate}
	switch level := load.Level; {
	case estimate > r.TimeLeft || r.ProgramTimeLeft > 0 && estimate > r.ProgramTimeLeft:
		refusal.Reason, refusal.RetryAfter = TooLate, retryAfter(load, r, 0, chance.Delay)
	case !r.UnderWay && rank < level:
		refusal.Reason, refusal.RetryAfter = NewProgram, retryAfter(load, r, level-rank, chance.Delay)
	case r.UnderWay && rank < level-1:
		refusal.Reason, refusal.RetryAfter = ProgramUnderWay, retryAfter(load, r, level-1-rank, chance.Delay)
	default:
		return Admit{}
	}
	return refusal
}

// rank returns the value of a request within its group, between 0 and 1. Priorities, and
// below the usual work of each priority the excess of its accounts, have separate ranges,
// as long as their shares of the work. Within its range the rank is random, so that a
// level refuses a share of equal requests; the exponent is that of weighted random
// sampling, with weights that are inverse to the work.
func rank(r Request, random unit.Ratio) unit.Ratio {
	work := min(max(float64(r.RelativeWork), 1.0/maxRelativeWork), maxRelativeWork)
	from, to, position := r.Middle, r.Upper, random
	switch {
	case random < r.Excess:
		from, to, position = r.Lower, r.Middle, random/r.Excess
	case r.Excess < 1:
		position = (random - r.Excess) / (1 - r.Excess)
	}
	rank := from + (to-from)*unit.Ratio(math.Pow(float64(clamp(position)), work))
	return rank + clamp(r.Age)*(1-rank)
}

// estimate returns the expected time to the end of a request, 0 if unknown.
func estimate(load snapshot.PoolLoad, r Request) time.Duration {
	route, known := load.Routes[r.Route]
	if !known || route.FirstEvent <= 0 {
		return 0
	}
	return time.Duration(assumedDelay*float64(route.Delay)) + route.FirstEvent + time.Duration(r.Output)*route.PerToken
}

const (
	// minRetryAfter and maxRetryAfter bound retry delays.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// honoredShare is the share of their time left that callers wait at most.
	honoredShare = 3
)

// retryAfter returns the time until the calls in flight fit into the slots and the level
// has fallen by a difference. It is spread at random, so that callers do not return
// together.
func retryAfter(load snapshot.PoolLoad, r Request, above, random unit.Ratio) time.Duration {
	seconds := float64(above) / fall
	if backlog := float64(load.InFlight) - float64(lowOccupancy)*load.Slots; backlog > 0 && load.CallsPerSecond > 0 {
		seconds += backlog / float64(load.CallsPerSecond)
	}
	delay := min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
	if limit := r.CallerTimeLeft / honoredShare; limit > 0 && delay > limit*2/3 {
		delay = limit * 2 / 3
	}
	return time.Duration((0.75 + 0.75*float64(random)) * float64(delay))
}

func clamp(r unit.Ratio) unit.Ratio { return min(max(r, 0), 1) }
