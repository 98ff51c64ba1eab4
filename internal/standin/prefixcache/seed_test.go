package prefixcache_test

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flag rapid.seed.
)

// The seed is fixed so that each run gives the same result; -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
