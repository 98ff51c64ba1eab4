package confirmer_test

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flag that init sets.
)

// init fixes the seed so that test runs are reproducible. The flag -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
