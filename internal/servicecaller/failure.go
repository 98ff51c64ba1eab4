package servicecaller

import "fmt"

// Failure is an error of Call. The interface is sealed: the variants are
// Declined and Unresolved.
type Failure interface {
	error
	sealed()
}

// Declined says that the service certainly did not run the operation.
type Declined struct {
	// Leaving is true if the service is leaving.
	Leaving bool
	Cause   error
}

// Unresolved says that the service may have run the operation.
type Unresolved struct{ Cause error }

// Error returns a message that names the remedy.
func (f Declined) Error() string {
	return fmt.Sprintf("service did not run the operation: %v; use another upstream", f.Cause)
}

// Error returns a message that names the remedy.
func (f Unresolved) Error() string {
	return fmt.Sprintf("it is not known whether the service ran the operation: %v; look the result up", f.Cause)
}

// Unwrap returns the cause.
func (f Declined) Unwrap() error { return f.Cause }

// Unwrap returns the cause.
func (f Unresolved) Unwrap() error { return f.Cause }

func (Declined) sealed()   {}
func (Unresolved) sealed() {}
