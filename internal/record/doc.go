// Package record defines the durable records of programs.
//
// The records of a tree, which consists of a root program and its sub-agents,
// form one sequence in the platform's store. Applying them in order yields the
// state of the tree.
package record
