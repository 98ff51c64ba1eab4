package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// maxStoreEntries, maxStoreBytes and maxPageRows are the limits of PROTOCOL.md on a
	// transaction and on a page of rows.
	maxStoreEntries = 100
	maxStoreBytes   = 1 << 20
	maxPageRows     = 500
	// storeDelay is the time of an answer.
	storeDelay = 4 * time.Millisecond
)

// rowID names a row of the store.
type rowID struct{ Table, Part, Key string }

// row is a row on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// page is an answer about rows.
type page struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Ver       uint64 `json:"ver"`
	NowMs     int64  `json:"nowMs"`
}

// store is a stand-in for the platform's store: linearizable, without faults, with the
// limits that PROTOCOL.md names.
type store struct {
	started time.Time
	// onTooLarge is called with the size of a transaction that exceeds the limit.
	onTooLarge func(bytes int)

	mu      sync.Mutex
	version uint64
	rows    map[rowID]row
	removed map[rowID]uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowID]row{}, removed: map[rowID]uint64{}, changed: make(chan struct{}), onTooLarge: func(int) {}}
}

// serve serves the store to one machine, over the machine's link, and returns its address.
func (s *store) serve() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveCommit)
	mux.HandleFunc("GET /api/rows-get", s.serveRead)
	mux.HandleFunc("GET /api/rows-parts", s.serveParts)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	go func() { _ = http.Serve(linkListener{listener, &link{}}, mux) }()
	return listener.Addr().String(), nil
}

func (s *store) page() page {
	return page{Rows: []row{}, Ver: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type transaction struct {
	Precondition []row `json:"precondition"`
	Puts         []row `json:"puts"`
	Remove       []row `json:"remove"`
	Across       bool  `json:"across"`
}

func (s *store) serveCommit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 16<<20))
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	if len(body) > maxStoreBytes {
		s.onTooLarge(len(body))
		http.Error(w, "a call holds at most 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, list := range [][]row{t.Precondition, t.Puts, t.Remove} {
		for _, entry := range list {
			parts[entry.Part] = true
		}
	}
	if len(t.Precondition)+len(t.Puts)+len(t.Remove) > maxStoreEntries || len(parts) > 1 && !t.Across {
		http.Error(w, "too many entries or parts", http.StatusBadRequest)
		return
	}
	if current, ok := s.commit(t); !ok {
		answer(w, http.StatusPreconditionFailed, current)
	} else {
		answer(w, http.StatusOK, current)
	}
}

// commit applies a transaction, or returns the rows of its conditions and false.
func (s *store) commit(t transaction) (page, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, s.page()
	for _, c := range t.Precondition {
		known, ok := s.rows[c.id()]
		if ok {
			current.Rows = append(current.Rows, known)
		}
		holds = holds && known.Ver == c.Ver
	}
	if !holds {
		return current, false
	}
	s.version++
	for _, p := range t.Puts {
		p.Ver = s.version
		s.rows[p.id()] = p
		delete(s.removed, p.id())
	}
	for _, p := range t.Remove {
		if _, ok := s.rows[p.id()]; ok {
			delete(s.rows, p.id())
			s.removed[p.id()] = s.version
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return page{Ver: s.version, NowMs: current.NowMs}, true
}

// put writes one row as the operator or a replica does, and remove removes one.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.commit(transaction{Puts: []row{{Table: table, Key: key, Value: encoded}}})
}

func (s *store) remove(table, key string) {
	s.commit(transaction{Remove: []row{{Table: table, Key: key}}})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	p := s.page()
	for id, known := range s.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") && (q.Get("to") == "" || id.Key < q.Get("to")) {
			p.Rows = append(p.Rows, known)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	size := 0
	for i, known := range p.Rows {
		size += len(known.Value)
		if i == limit || size > maxStoreBytes && i > 0 {
			p.Rows, p.Truncated = p.Rows[:i], true
			break
		}
	}
	answer(w, http.StatusOK, p)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	parts := []string{}
	s.mu.Lock()
	for id := range s.rows {
		if id.Table == q.Get("table") && id.Part > q.Get("after") && !slices.Contains(parts, id.Part) {
			parts = append(parts, id.Part)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	answer(w, http.StatusOK, map[string]any{"parts": parts, "truncated": false})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, afterErr := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if afterErr != nil || waitErr != nil {
		http.Error(w, "after and waitMs must be numbers", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		p, changed := s.changes(q.Get("table"), after)
		if len(p.Rows) > 0 {
			answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changes(table string, after uint64) (page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.page()
	for id, known := range s.rows {
		if id.Table == table && known.Ver > after {
			p.Rows = append(p.Rows, known)
		}
	}
	for id, version := range s.removed {
		if id.Table == table && version > after {
			p.Rows = append(p.Rows, row{Table: id.Table, Part: id.Part, Key: id.Key, Ver: version, Deleted: true})
		}
	}
	slices.SortFunc(p.Rows, func(a, b row) int { return cmp.Compare(a.Ver, b.Ver) })
	return p, s.changed
}
