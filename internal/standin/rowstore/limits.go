package rowstore

import (
	"encoding/base64"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// Limits of the platform's store on one call.
const (
	maxEntries    = 100
	maxCallBytes  = 1_000_000
	maxNameBytes  = 200
	maxRowBytes   = 64 << 10
	maxPageRows   = 500
	maxPageBytes  = 1_000_000
	entryOverhead = len(`{"table":"","part":"","key":"","value":"","ver":0},`)
)

// checkLimits returns the error of a transaction that the platform's store refuses.
func checkLimits(t rows.Transaction) error {
	size := 0
	var tooLong error
	count := func(id rows.ID, value []byte) {
		encoded := base64.StdEncoding.EncodedLen(len(value))
		size += entryOverhead + len(id.Table) + len(id.Part) + len(id.Key) + encoded
		if max(len(id.Table), len(id.Part), len(id.Key)) > maxNameBytes {
			tooLong = errors.Annotatef(rows.ErrUnavailable, "status 400: a name of a row has more than %d bytes", maxNameBytes)
		}
		if encoded > maxRowBytes {
			tooLong = errors.Annotatef(rows.ErrUnavailable, "status 413: a row of %d bytes; at most %d are stored", encoded, maxRowBytes)
		}
	}
	for _, c := range t.Conditions {
		count(c.ID, nil)
	}
	for _, p := range t.Puts {
		count(p.ID, p.Value)
	}
	for _, id := range t.Removes {
		count(id, nil)
	}
	switch entries := len(t.Conditions) + len(t.Puts) + len(t.Removes); {
	case entries > maxEntries:
		return errors.Annotatef(rows.ErrUnavailable, "status 400: %d entries; a transaction has at most %d", entries, maxEntries)
	case size > maxCallBytes:
		return errors.Annotatef(rows.ErrUnavailable, "status 413: a transaction of %d bytes; at most %d are read", size, maxCallBytes)
	}
	return tooLong
}

// firstPage returns the rows of the first response of a read, and whether others follow.
func firstPage(all []rows.Row) (page []rows.Row, truncated bool) {
	size := 0
	for i, row := range all {
		if size += len(row.Value); i == maxPageRows || i > 0 && size > maxPageBytes {
			return all[:i], true
		}
	}
	return all, false
}
