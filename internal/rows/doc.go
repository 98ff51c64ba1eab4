// Package rows defines the rows of the platform's transactional store and the
// transactions on them.
//
// Transactions are atomic. Every row has the version of the transaction that wrote
// it, taken from a store-wide counter, so that a condition on a version detects
// every intermediate change.
package rows
