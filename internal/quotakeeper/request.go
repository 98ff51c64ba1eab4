package quotakeeper

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Request asks the keeper of a part for tokens.
type Request struct {
	Account ident.AccountID `json:"account"`
	Part    ident.Region    `json:"part"`
	// Rate and Burst are the quota as of a version of the configuration. A keeper goes by
	// the newest version that it was told.
	Rate    unit.Rate     `json:"rate"`
	Burst   int           `json:"burst"`
	Version ident.Version `json:"version"`
	// First is the number of requests that begin a program, Further that of requests of
	// programs under way.
	First   int `json:"first,omitempty"`
	Further int `json:"further,omitempty"`
	// Spare is the number of tokens for requests that are expected soon. They are granted
	// only while the part is far from exhausted.
	Spare int `json:"spare,omitempty"`
	// Unused is the number of tokens of this part that expired without use and were
	// granted at most returnHorizon ago.
	Unused int `json:"unused,omitempty"`
}

func (r Request) quota() clientaccount.Quota {
	return clientaccount.Quota{Rate: r.Rate, Burst: r.Burst}
}

// Answer is the answer to a request. The interface is sealed: the variants are Granted
// and Unavailable.
type Answer interface{ answer() }

// Granted has the granted tokens, which may be fewer than requested.
type Granted struct {
	First, Further, Spare int
	// FirstRetry and FurtherRetry are the times after which a token may be available, 0
	// if all were granted.
	FirstRetry, FurtherRetry time.Duration
	// ListAge is the age of the list of VMs by which the VM is the keeper.
	ListAge time.Duration
}

// Unavailable is the answer of a VM that can't grant tokens of the part.
type Unavailable struct {
	Reason Reason
	// Retry is the time after which the VM may be able to grant.
	Retry   time.Duration
	ListAge time.Duration
}

func (Granted) answer()     {}
func (Unavailable) answer() {}

// Reason is the reason why a VM can't grant tokens. Its text is part of the protocol.
type Reason string

// The reasons.
const (
	// ListTooOld is the reason of a VM that can't know whether another VM has become keeper.
	ListTooOld Reason = "list_too_old"
	// NotKeeper is the reason of a VM whose list names another keeper.
	NotKeeper Reason = "not_keeper"
	// NewKeeper is the reason of a VM that does not yet know that the previous keeper has
	// stopped.
	NewKeeper Reason = "new_keeper"
	// ConfigurationNotProven is the reason of a VM whose configuration may have been
	// replaced.
	ConfigurationNotProven Reason = "configuration_not_proven"
	// NoAnswer is the reason used for a VM that did not answer.
	NoAnswer Reason = "no_answer"
)
