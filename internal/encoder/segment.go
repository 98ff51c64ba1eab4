package encoder

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

type segment struct {
	Entries []entry `json:"entries"`
}

type entry struct {
	Shard  ident.Shard     `json:"shard"`
	Epoch  ident.Epoch     `json:"epoch"`
	Type   string          `json:"type"`
	Record json.RawMessage `json:"record"`
}

// Segment encodes a segment of a journal.
func Segment(entries []message.Entry) ([]byte, error) {
	s := segment{Entries: make([]entry, len(entries))}
	for i, e := range entries {
		tag, err := tagOf(e.Record)
		if err != nil {
			return nil, errors.Annotatef(err, "entry %d", i)
		}
		body, err := marshal(e.Record)
		if err != nil {
			return nil, errors.Annotatef(err, "entry %d", i)
		}
		s.Entries[i] = entry{Shard: e.Shard, Epoch: e.Epoch, Type: tag, Record: body}
	}
	return marshal(s)
}

// ReadSegment decodes a segment of a journal.
func ReadSegment(data []byte) ([]message.Entry, error) {
	var s segment
	if err := unmarshal(data, &s); err != nil {
		return nil, errors.Annotate(err, "segment")
	}
	if s.Entries == nil {
		return nil, errors.NotValidf("segment without entries")
	}
	entries := make([]message.Entry, len(s.Entries))
	for i, e := range s.Entries {
		if e.Shard < 0 {
			return nil, errors.NotValidf("shard %d of segment entry %d", e.Shard, i)
		}
		r, err := readRecord(e.Type, e.Record)
		if err != nil {
			return nil, errors.Annotatef(err, "segment entry %d", i)
		}
		entries[i] = message.Entry{Shard: e.Shard, Epoch: e.Epoch, Record: r}
	}
	return entries, nil
}

func tagOf(r record.Record) (string, error) {
	switch r.(type) {
	case record.Opened:
		return "opened", nil
	case record.Extended:
		return "extended", nil
	case record.Intended:
		return "intended", nil
	case record.Cancelled:
		return "cancelled", nil
	case record.Completed:
		return "completed", nil
	case record.Resolved:
		return "resolved", nil
	case record.Charged:
		return "charged", nil
	case record.Ended:
		return "ended", nil
	case record.Released:
		return "released", nil
	default:
		return "", errors.NotValidf("record of type %T", r)
	}
}

func readRecord(tag string, body json.RawMessage) (record.Record, error) {
	switch tag {
	case "opened":
		return readAs[record.Opened](body)
	case "extended":
		return readAs[record.Extended](body)
	case "intended":
		return readAs[record.Intended](body)
	case "cancelled":
		return readAs[record.Cancelled](body)
	case "completed":
		return readAs[record.Completed](body)
	case "resolved":
		return readAs[record.Resolved](body)
	case "charged":
		return readAs[record.Charged](body)
	case "ended":
		return readAs[record.Ended](body)
	case "released":
		return readAs[record.Released](body)
	default:
		return nil, errors.NotValidf("record type %q", tag)
	}
}

func readAs[R record.Record](body json.RawMessage) (record.Record, error) {
	var r R
	if err := unmarshal(body, &r); err != nil {
		return nil, errors.Trace(err)
	}
	if r.Subject() == "" {
		return nil, errors.NotValidf("record without a program")
	}
	return r, nil
}
