// Package table has the rows of the platform's transactional table.
package table

import "github.com/sassafrasspur/sassafrasspur/ident"

// Kinds of rows.
const (
	NodeKind          = "node"
	AssignmentKind    = "assignment"
	ShardKind         = "shard"
	ConfigurationKind = "config"
	PlanKind          = "plan"
)

// CurrentKey is the key of kinds that have a single row.
const CurrentKey = "current"

// Row is a row as it was read. Version grows by one with each write.
type Row struct {
	Kind    string
	Key     string
	Version ident.Version
	WriteID ident.WriteID
	Body    []byte
}

// Write replaces a row if its version is still Expect; 0 means that there must
// be no row. The written row has the version Expect+1.
type Write struct {
	Kind    string
	Key     string
	Expect  ident.Version
	WriteID ident.WriteID
	Body    []byte
}
