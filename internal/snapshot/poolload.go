package snapshot

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// PoolLoad is the load of a pool as measured by the calls of this VM. The zero value
// means that nothing is known.
type PoolLoad struct {
	// AsOf is the time of the figures, EvidenceAt the time of the newest call that
	// contributed to RelativeDelay or RefusedShare.
	AsOf       time.Time
	EvidenceAt time.Time
	// UpstreamsAsOf and MembersAsOf are the times of the lists from which Slots follows.
	UpstreamsAsOf time.Time
	MembersAsOf   time.Time
	// InFlight is the number of calls of this VM. Slots is its share of the slots of
	// all usable upstreams, 0 if unknown.
	InFlight int
	Slots    float64
	// Occupancy is the smoothed quotient of InFlight and Slots.
	Occupancy unit.Ratio
	// RelativeDelay is the smoothed time that calls wait at upstreams beyond the usual
	// time to the first event, as a multiple of the target of their routes.
	RelativeDelay unit.Ratio
	// RefusedShare is the smoothed share of calls that upstreams refused.
	RefusedShare unit.Ratio
	// CallsPerSecond and TokensPerSecond are the completed work of this VM's calls.
	CallsPerSecond  unit.Rate
	TokensPerSecond float64
	// Level is how much is shed: from 0, nothing, over 1, the first turns of all new
	// programs, to 2, everything.
	Level unit.Ratio
	// Routes has the routes whose calls were measured.
	Routes map[ident.RouteID]RouteLoad
}

// RouteLoad describes the calls of one route.
type RouteLoad struct {
	// Delay is the smoothed time beyond FirstEvent, the usual time to the first event
	// in an idle pool, which is 0 if unknown.
	Delay      time.Duration
	FirstEvent time.Duration
	// PerToken is the time after the first event for each output token that a request
	// allows.
	PerToken time.Duration
}
