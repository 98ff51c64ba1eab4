package encoder

import (
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

type checkpoint struct {
	Programs program.Set `json:"programs"`
}

// Checkpoint encodes the programs of a shard.
func Checkpoint(programs program.Set) ([]byte, error) {
	if programs == nil {
		programs = program.Set{}
	}
	return marshal(checkpoint{Programs: programs})
}

// ReadCheckpoint decodes the programs of a shard. The maps of each program are
// never nil, so that records can be applied.
func ReadCheckpoint(data []byte) (program.Set, error) {
	var c checkpoint
	if err := unmarshal(data, &c); err != nil {
		return nil, errors.Annotate(err, "checkpoint")
	}
	if c.Programs == nil {
		return nil, errors.NotValidf("checkpoint without programs")
	}
	for id, state := range c.Programs {
		if state == nil || state.ID != id {
			return nil, errors.NotValidf("checkpoint with another program under %q", id)
		}
		if state.Calls == nil {
			state.Calls = map[ident.CallID]program.Call{}
		}
		if state.Residents == nil {
			state.Residents = map[ident.UpstreamID]unit.Tokens{}
		}
		for call, entry := range state.Calls {
			switch entry.Status {
			case program.Intended, program.Unknown, program.Done:
			default:
				return nil, errors.NotValidf("status %q of call %q", entry.Status, call)
			}
		}
	}
	return c.Programs, nil
}
