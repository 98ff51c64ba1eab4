package encoder

import (
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
)

// Node encodes the body of a node row.
func Node(n cluster.Node) ([]byte, error) { return marshal(n) }

// ReadNode decodes a node row. Version and write id are those of the row.
func ReadNode(row table.Row) (cluster.Node, error) {
	var n cluster.Node
	if err := unmarshal(row.Body, &n); err != nil {
		return cluster.Node{}, errors.Annotatef(err, "node row %q", row.Key)
	}
	switch n.State {
	case cluster.Live, cluster.Leaving, cluster.Closed:
	default:
		return cluster.Node{}, errors.NotValidf("state %q of node row %q", n.State, row.Key)
	}
	if n.VM == "" {
		return cluster.Node{}, errors.NotValidf("node row %q without a VM", row.Key)
	}
	n.Version, n.WriteID = row.Version, row.WriteID
	return n, nil
}

// Assignment encodes the body of the assignment.
func Assignment(a cluster.Assignment) ([]byte, error) { return marshal(a) }

// ReadAssignment decodes the assignment. Version and write id are those of the
// row.
func ReadAssignment(row table.Row) (cluster.Assignment, error) {
	var a cluster.Assignment
	if err := unmarshal(row.Body, &a); err != nil {
		return cluster.Assignment{}, errors.Annotate(err, "assignment")
	}
	a.Version, a.WriteID = row.Version, row.WriteID
	return a, nil
}

// ShardRow encodes the body of a shard row.
func ShardRow(s cluster.ShardRow) ([]byte, error) { return marshal(s) }

// ReadShardRow decodes a shard row. Version and write id are those of the row.
func ReadShardRow(row table.Row) (cluster.ShardRow, error) {
	var s cluster.ShardRow
	if err := unmarshal(row.Body, &s); err != nil {
		return cluster.ShardRow{}, errors.Annotatef(err, "shard row %q", row.Key)
	}
	if s.Shard < 0 {
		return cluster.ShardRow{}, errors.NotValidf("shard row %q of shard %d", row.Key, s.Shard)
	}
	s.Version, s.WriteID = row.Version, row.WriteID
	return s, nil
}
