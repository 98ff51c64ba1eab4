// Package lender decides whether a team may use an upstream.
//
// The owner may always use it. A borrower may use the loan's share of the slots, but
// starts no call while the owner has calls waiting.
//
// The entry VMs observe one share without coordination: the share in slots, rounded
// down, is divided by the number of live entry VMs. Each VM gets the quotient. The
// remaining slots, fewer than there are VMs, go to one VM each, chosen by the
// upstream's id and the VM's position among the live VMs. The parts add up to
// exactly the rounded share; a fraction of a slot is not lent. The remaining slots
// do not rotate, because a call that started in one VM's turn could still be
// running in the turn of the next.
//
// The package is pure.
package lender
