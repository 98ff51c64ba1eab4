// Package rows has the rows of the platform's transactional store and the
// transactions on them.
//
// A transaction is applied whole or not at all. Every row has the version of
// the transaction that wrote it, from one counter of the store, so that a
// condition on a version detects each change in between.
package rows
