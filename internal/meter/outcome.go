package meter

import (
	"fmt"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// Outcome is the outcome of a call. The interface is sealed: the variants are
// Answered, Replayed and Failed.
type Outcome interface{ sealed() }

type (
	// Answered reports that the caller received the end marker.
	Answered struct{}
	// Replayed reports that a repeated call received the answer of the first.
	Replayed struct{}
	// Failed reports that the caller received an error.
	Failed struct{ Kind failure.Kind }
)

func (Answered) sealed() {}
func (Replayed) sealed() {}
func (Failed) sealed()   {}

// Label returns the metric label of an outcome.
func Label(outcome Outcome) string {
	switch o := outcome.(type) {
	case Answered:
		return "answered"
	case Replayed:
		return "replayed"
	case Failed:
		return string(o.Kind)
	default:
		panic(fmt.Sprintf("unknown outcome %T", outcome))
	}
}
