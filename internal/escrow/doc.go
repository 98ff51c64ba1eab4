// Package escrow reserves portions of program budgets on this VM, so that most
// turns need no call to the platform's store.
//
// A VM reserves a portion of a program's budget with one transaction, which
// counts it as spent, and grants turns from the reservation. A turn is granted
// its maximum number of tokens and returns those that its caller did not
// receive. The VM settles an idle reservation, after which the store counts only
// the tokens used. The reservation of a VM that stopped remains spent. No VM can
// grant tokens that another one has reserved, so a budget is never exceeded,
// even if the VMs disagree about the members of the deployment.
package escrow
