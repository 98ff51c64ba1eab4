package chain

// Result is the result of one dispatch. The interface is sealed: the variants
// are Answered, Declined, Interrupted and Unresolved.
type Result interface{ sealed() }

// Answered says that the upstream ran the call and answered.
type Answered struct{}

// Declined says that the upstream certainly did not run the call.
type Declined struct {
	// Leaving is true if the upstream is leaving.
	Leaving bool
}

// Interrupted says that the call may have run in part and may be run again.
type Interrupted struct{}

// Unresolved says that the call may have run and must not be run again.
type Unresolved struct{}

func (Answered) sealed()    {}
func (Declined) sealed()    {}
func (Interrupted) sealed() {}
func (Unresolved) sealed()  {}
