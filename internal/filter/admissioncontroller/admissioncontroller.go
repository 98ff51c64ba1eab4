// Package admissioncontroller has the filter that refuses requests while their pool is
// short of capacity.
package admissioncontroller

import (
	"context"
	"math/rand/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/demandmeter"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/loadshedder"
	"github.com/sassafrasspur/sassafrasspur/internal/programtracker"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Meter records metrics of refusals.
type Meter interface {
	// CountShed counts a request that was refused for load.
	CountShed(priority int, reason string, account ident.AccountID)
}

// Admissioncontroller refuses requests while their pool is short of capacity.
type Admissioncontroller struct {
	view     func() *snapshot.Snapshot
	meter    Meter
	timers   *timer.Service
	random   func() float64
	programs *programtracker.Programtracker
	demand   *demandmeter.Demandmeter
}

// Option configures an Admissioncontroller.
type Option func(*Admissioncontroller)

// WithRandom sets the source of random numbers between 0 and 1.
func WithRandom(random func() float64) Option {
	return func(a *Admissioncontroller) { a.random = random }
}

// New returns the filter. It reads the load of pools from the snapshot that view returns.
func New(view func() *snapshot.Snapshot, meter Meter, timers *timer.Service, options ...Option) *Admissioncontroller {
	a := &Admissioncontroller{
		view: view, meter: meter, timers: timers, random: rand.Float64,
		programs: programtracker.New(), demand: demandmeter.New(),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Serve passes a request on, or refuses it as not run.
func (a *Admissioncontroller) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	now := a.timers.Now()
	load := a.view().Entry.PoolLoads[x.Pool]
	chance := loadshedder.Chance{Rank: unit.Ratio(a.random()), Delay: unit.Ratio(a.random())}
	program := a.programs.Assess(now, x.Route.ID, &x.Request)
	demand := a.demand.Add(now, demandmeter.Demand{
		Pool: x.Pool, UnderWay: program.UnderWay, Priority: x.Priority(), Account: account(x), Work: work(x),
	})
	request := loadshedder.Request{
		Route: x.Route.ID, UnderWay: program.UnderWay, Lower: demand.Lower, Middle: demand.Middle, Upper: demand.Upper, Excess: demand.Excess,
		RelativeWork: demand.RelativeWork, Age: program.Age, TimeLeft: x.Deadline.Sub(now), ProgramTimeLeft: program.TimeLeft,
		CallerTimeLeft: x.Deadline.Sub(now),
	}
	if p := x.Request.Prompt; p != nil {
		request.Output = p.Output
	}
	if p := x.Request.Program; p != nil && p.TimeLeft > 0 {
		request.CallerTimeLeft = min(request.CallerTimeLeft, p.TimeLeft)
	}
	switch d := loadshedder.Decide(load, request, now, chance).(type) {
	case loadshedder.Refuse:
		a.meter.CountShed(x.Priority(), string(d.Reason), account(x))
		x.Trace.Shed = &traffic.Shed{
			Reason: string(d.Reason), Priority: x.Priority(), Account: account(x), Rank: d.Rank, Excess: demand.Excess,
			TimeLeft: request.TimeLeft, ProgramTimeLeft: program.TimeLeft, Estimate: d.Estimate, Load: load, LoadAge: now.Sub(load.EvidenceAt),
		}
		return failure.Refusal(failure.Overloaded, d.RetryAfter, "pool %s is short of capacity (%s); repeat the request after the retry delay", x.Pool, d.Reason)
	default:
		a.programs.Served(now, x.Request.Program)
		return next(ctx, x)
	}
}

func account(x *traffic.Exchange) ident.AccountID {
	if x.Account == nil {
		return ""
	}
	return x.Account.ID
}

// work returns the tokens of a request, 1 without a prompt: the requests to a pool of
// services take about the same work.
func work(x *traffic.Exchange) unit.Tokens {
	if p := x.Request.Prompt; p != nil {
		return p.Input + p.Output
	}
	return 1
}
