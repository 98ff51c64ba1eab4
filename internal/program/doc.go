// Package program computes the state of programs by applying their records in
// order.
//
// Every entry VM applies the same records with the same code, so all VMs derive
// the same state.
package program
