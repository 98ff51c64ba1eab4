package cacher_test

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flag that is set here.
)

// The seed is fixed so that each run gives the same verdict; -rapid.seed
// replaces it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
