package traffic

import "github.com/sassafrasspur/sassafrasspur/internal/upstream"

// Placement is what is known of the engine of a request's program. The interface is
// sealed: the variants are NewProgram and RememberedEngine. It is nil if nothing is known,
// as for a request without a budget; its engine is then chosen by hash.
type Placement interface{ placement() }

// NewProgram means that no engine has served the program.
type NewProgram struct{}

// RememberedEngine is the process that served the program last.
type RememberedEngine struct{ upstream.Process }

func (NewProgram) placement()       {}
func (RememberedEngine) placement() {}
