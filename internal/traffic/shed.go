package traffic

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Shed has the figures that decided on a request that was refused for load.
type Shed struct {
	Reason   string
	Priority int
	Account  ident.AccountID
	// Rank is the value that was below the level, Excess that of the account.
	Rank, Excess unit.Ratio
	// TimeLeft and ProgramTimeLeft are the times until the deadline and until the
	// program is of no use; Estimate is the expected time to the end of the request.
	TimeLeft, ProgramTimeLeft, Estimate time.Duration
	// Load is the load of the pool, whose newest evidence has the age LoadAge.
	Load    snapshot.PoolLoad
	LoadAge time.Duration
}
