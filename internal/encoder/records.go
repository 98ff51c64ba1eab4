package encoder

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// entry is the encoded form of a record.
type entry struct {
	Type   string          `json:"type"`
	Record json.RawMessage `json:"record"`
}

// EncodeRecords encodes the records of one transaction.
func EncodeRecords(records []record.Record) ([]byte, error) {
	entries := make([]entry, len(records))
	for i, r := range records {
		tag, err := typeTag(r)
		if err != nil {
			return nil, errors.Annotatef(err, "record %d", i)
		}
		body, err := marshal(r)
		if err != nil {
			return nil, errors.Annotatef(err, "record %d", i)
		}
		entries[i] = entry{Type: tag, Record: body}
	}
	return marshal(entries)
}

// DecodeRecords decodes the records of one transaction.
func DecodeRecords(data []byte) ([]record.Record, error) {
	var entries []entry
	if err := unmarshal(data, &entries); err != nil {
		return nil, errors.Annotate(err, "records")
	}
	records := make([]record.Record, len(entries))
	for i, e := range entries {
		r, err := decodeRecord(e.Type, e.Record)
		if err != nil {
			return nil, errors.Annotatef(err, "record %d", i)
		}
		records[i] = r
	}
	return records, nil
}

func typeTag(r record.Record) (string, error) {
	switch r.(type) {
	case record.Opened:
		return "opened", nil
	case record.Started:
		return "started", nil
	case record.Intended:
		return "intended", nil
	case record.Cancelled:
		return "cancelled", nil
	case record.Failed:
		return "failed", nil
	case record.Doubted:
		return "doubted", nil
	case record.Completed:
		return "completed", nil
	case record.Resolved:
		return "resolved", nil
	case record.Ended:
		return "ended", nil
	case record.Released:
		return "released", nil
	default:
		return "", errors.NotValidf("record of type %T", r)
	}
}

func decodeRecord(tag string, body json.RawMessage) (record.Record, error) {
	switch tag {
	case "opened":
		return decodeAs[record.Opened](body)
	case "started":
		return decodeAs[record.Started](body)
	case "intended":
		return decodeAs[record.Intended](body)
	case "cancelled":
		return decodeAs[record.Cancelled](body)
	case "failed":
		return decodeAs[record.Failed](body)
	case "doubted":
		return decodeAs[record.Doubted](body)
	case "completed":
		return decodeAs[record.Completed](body)
	case "resolved":
		return decodeAs[record.Resolved](body)
	case "ended":
		return decodeAs[record.Ended](body)
	case "released":
		return decodeAs[record.Released](body)
	default:
		return nil, errors.NotValidf("record type %q", tag)
	}
}

func decodeAs[R record.Record](body json.RawMessage) (record.Record, error) {
	var r R
	if err := unmarshal(body, &r); err != nil {
		return nil, errors.Trace(err)
	}
	if r.Subject() == "" {
		return nil, errors.NotValidf("record without a program id")
	}
	return r, nil
}
