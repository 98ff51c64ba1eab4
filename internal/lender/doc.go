// Package lender decides whether a team may use an upstream.
//
// The owner always may. A borrower may hold its loan's share of the slots, but
// starts nothing while the owner has work waiting.
//
// Several entry VMs keep one share without talking to each other: the whole
// slots of the share are divided by the number of live entry VMs. Each VM gets
// the quotient, and the remaining slots, fewer than there are VMs, go to one VM
// each, chosen by the upstream and the VM's place among the live VMs. The parts
// add up to exactly the whole slots of the share; a fraction of a slot is not
// lent. The remaining slots do not move with time, because a call that started
// in one VM's turn could still run in the turn of the next.
//
// The package is pure.
package lender
