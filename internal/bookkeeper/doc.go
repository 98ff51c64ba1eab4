// Package bookkeeper keeps programs in the platform's store.
//
// All records of a tree are one sequence of batches in one part of the store.
// The next batch is written on the condition that it does not exist and that the
// last one is unchanged, so that any VM may write and two never decide on the
// same state. A VM keeps the trees that it used lately, and reads only what
// others have added since.
package bookkeeper
