// Package rowserver serves the stand-in for the platform's store over the
// platform's published protocol.
package rowserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
)

// partsLimit is the largest number of parts in one response.
const partsLimit = 1000

// Rowserver serves one store over HTTP.
type Rowserver struct {
	store *rowstore.Rowstore
}

// New returns a Rowserver for a store.
func New(store *rowstore.Rowstore) *Rowserver { return &Rowserver{store: store} }

type wireRow struct {
	Table   rows.Table     `json:"table"`
	Part    rows.Partition `json:"part"`
	Key     rows.Key       `json:"key"`
	Value   []byte         `json:"value"`
	Ver     rows.Version   `json:"ver"`
	Deleted bool           `json:"deleted,omitempty"`
}

func (w wireRow) id() rows.ID { return rows.ID{Table: w.Table, Part: w.Part, Key: w.Key} }

type wirePage struct {
	Rows      []wireRow    `json:"rows,omitempty"`
	Truncated bool         `json:"truncated"`
	Ver       rows.Version `json:"ver"`
	NowMs     int64        `json:"nowMs"`
}

func toWirePage(page rows.Page) wirePage {
	w := wirePage{Ver: page.Version, NowMs: time.Duration(page.Clock).Milliseconds()}
	for _, row := range page.Rows {
		w.Rows = append(w.Rows, wireRow{Table: row.Table, Part: row.Part, Key: row.Key, Value: row.Value, Ver: row.Version})
	}
	for _, id := range page.Removed {
		w.Rows = append(w.Rows, wireRow{Table: id.Table, Part: id.Part, Key: id.Key, Deleted: true})
	}
	return w
}

// Handler returns the HTTP handler of the store's calls.
func (s *Rowserver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.commit)
	mux.HandleFunc("GET /api/rows-get", s.read)
	mux.HandleFunc("GET /api/rows-feed", s.changes)
	mux.HandleFunc("GET /api/rows-parts", s.parts)
	return mux
}

func (s *Rowserver) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []wireRow `json:"precondition"`
		Puts         []wireRow `json:"puts"`
		Remove       []wireRow `json:"remove"`
		Across       bool      `json:"across"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var t rows.Transaction
	parts := map[rows.Partition]bool{}
	for _, c := range body.Precondition {
		parts[c.Part] = true
		t.Conditions = append(t.Conditions, rows.Condition{ID: c.id(), Version: c.Ver})
	}
	for _, p := range body.Puts {
		parts[p.Part] = true
		t.Puts = append(t.Puts, rows.Put{ID: p.id(), Value: p.Value})
	}
	for _, d := range body.Remove {
		parts[d.Part] = true
		t.Removes = append(t.Removes, d.id())
	}
	if len(parts) > 1 && !body.Across {
		http.Error(w, "the rows belong to several parts; set across to true", http.StatusBadRequest)
		return
	}
	outcome, err := s.store.Commit(r.Context(), t)
	switch o := outcome.(type) {
	case rows.Committed:
		writeJSON(w, http.StatusOK, wirePage{Ver: o.Version})
	case rows.Conflict:
		writeJSON(w, http.StatusPreconditionFailed, toWirePage(rows.Page{Rows: o.Rows}))
	default:
		writeStoreError(w, err)
	}
}

func (s *Rowserver) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, err := s.store.Read(r.Context(), rows.Range{
		Table: rows.Table(q.Get("table")), Part: rows.Partition(q.Get("part")), From: rows.Key(q.Get("from")), To: rows.Key(q.Get("to")),
		OnePage: true,
	})
	if err != nil {
		writeStoreError(w, err)
		return
	}
	answer := toWirePage(page)
	answer.Truncated = page.Truncated
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil && limit < len(answer.Rows) {
		answer.Rows, answer.Truncated = answer.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Rowserver) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	all, err := s.store.Parts(r.Context(), rows.Table(q.Get("table")))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	answer := struct {
		Parts     []rows.Partition `json:"parts"`
		Truncated bool             `json:"truncated"`
	}{Parts: []rows.Partition{}}
	for _, part := range all {
		if string(part) <= q.Get("after") && q.Get("after") != "" {
			continue
		}
		if len(answer.Parts) == partsLimit {
			answer.Truncated = true
			break
		}
		answer.Parts = append(answer.Parts, part)
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Rowserver) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, afterErr := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if afterErr != nil || waitErr != nil {
		http.Error(w, "after and waitMs must be numbers", http.StatusBadRequest)
		return
	}
	page, err := s.store.Changes(r.Context(), rows.Table(q.Get("table")), rows.Version(after), time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, toWirePage(page))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// writeStoreError writes the error response of the store. An error that leaves
// the outcome unknown closes the connection without a response.
func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, rows.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, rows.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}
