// Package quotataker takes tokens of client accounts from the keepers of their quotas.
//
// A request waits while a call to the keepers is under way for its account, and the next
// call asks for the tokens of all requests that wait, so that a VM has at most one call
// for each account under way. Refusals are remembered for as long as the keepers state.
package quotataker
