package chain

// Result is the result of one dispatch. The interface is sealed: the variants
// are Answered, Declined, Interrupted and Unresolved.
type Result interface{ sealed() }

// Answered means that the upstream ran the call and answered.
type Answered struct{}

// Declined means that the upstream certainly did not run the call.
type Declined struct {
	// Leaving is true if the upstream is shutting down.
	Leaving bool
}

// Interrupted means that the call may have run partially and may be run again.
type Interrupted struct{}

// Unresolved means that the call must not be run again, because it may have run or the
// upstream rejected it as invalid.
type Unresolved struct{}

func (Answered) sealed()    {}
func (Declined) sealed()    {}
func (Interrupted) sealed() {}
func (Unresolved) sealed()  {}
