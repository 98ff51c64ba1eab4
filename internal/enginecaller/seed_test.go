package enginecaller_test

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flag that init sets.
)

// The seed is fixed so that runs are reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
