// Package capacitytest measures what docs/CAPACITY.md is worked out from.
package capacitytest
