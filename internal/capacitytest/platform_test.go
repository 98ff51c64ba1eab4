package capacitytest

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
)

// objectStore and rows keep the platform's part in memory, so that only the
// node's own work is measured.
type objectStore map[string][]byte

func (o objectStore) Put(_ context.Context, key string, content []byte) error {
	o[key] = content
	return nil
}

func (o objectStore) Get(_ context.Context, key string) ([]byte, bool, error) {
	content, ok := o[key]
	return content, ok, nil
}

type rows map[string]table.Row

func (r rows) Get(_ context.Context, kind, key string) (table.Row, bool, error) {
	row, ok := r[kind+"/"+key]
	return row, ok, nil
}

func (r rows) List(context.Context, string) ([]table.Row, error) { return nil, nil }

func (r rows) Commit(_ context.Context, writes []table.Write) message.Verdict {
	for _, w := range writes {
		r[w.Kind+"/"+w.Key] = table.Row{Kind: w.Kind, Key: w.Key, Version: w.Expect + 1, WriteID: w.WriteID, Body: w.Body}
	}
	return message.Committed
}
