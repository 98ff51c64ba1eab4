// Package record has the durable records of programs.
//
// The records of a tree, a root program and its sub-agents, form one sequence in
// the platform's store. Applying them in order gives the state of the tree.
package record
