// Package escrow holds parts of programs' budgets, so that most turns need no
// call to the platform's store.
//
// A VM takes a part of a program's budget out of the store by one transaction,
// which counts it as spent, and grants turns from it. A turn is granted at its
// largest size and returned at what its caller received. When a part was not
// used for a while, the VM settles it: the store then counts what was used. A
// part whose VM stopped stays spent. No VM can grant what another holds, so the
// budget holds whichever VM a turn asks, and whatever VMs believe of each other.
package escrow
