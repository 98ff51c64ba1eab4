package escrow_test

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flags that are set here.
)

// The seed is fixed so that each run gives the same verdict; -rapid.seed
// replaces it. Faults make a step wait, which bounds the number of checks.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
