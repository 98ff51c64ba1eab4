package quotakeeper_test

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flags that are set here.
)

// The seed is fixed to make runs reproducible; -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
