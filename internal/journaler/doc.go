// Package journaler carries out the effects that touch the platform's table and
// object store.
//
// Objects are written before the table row that names them, so that a row never
// names an object that does not exist. Segments and checkpoints have keys that
// only one incarnation of one VM writes, so that writing one again is harmless.
package journaler
