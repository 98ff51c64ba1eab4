package encoder_test

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the rapid.seed flag.
)

// The seed is fixed so that test runs are reproducible. The -rapid.seed flag
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
