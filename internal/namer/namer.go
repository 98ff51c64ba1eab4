// Package namer names rows of the store after ids that callers choose.
package namer

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	// maxBytes is the length of the longest id that is used as it is. The store accepts
	// names of 200 bytes, of which the keys of turns need 47 beside the id.
	maxBytes = 150
	// prefix marks the names of other ids.
	prefix = "sha256-"
)

// Name returns an id if the store accepts it in the name of a row, and otherwise a name of
// 71 bytes that no other id has. Bytes beyond ASCII would be changed by JSON, which has no
// invalid UTF-8, so that several ids would have the same rows.
func Name(id string) string {
	if isPlain(id) {
		return id
	}
	hash := sha256.Sum256([]byte(id))
	return prefix + hex.EncodeToString(hash[:])
}

func isPlain(id string) bool {
	for i := range len(id) {
		if id[i] < ' ' || id[i] > '~' {
			return false
		}
	}
	return len(id) <= maxBytes
}
