// Package placementkeeper remembers which engine served a program last.
//
// It is kept at the VM that grants the turns of the program in a failure domain, and is
// not stored: a VM that has restarted knows nothing, and the engine is then chosen by
// hash. An entry is dropped some minutes after its last use, and the oldest entries
// earlier if there are too many.
package placementkeeper
