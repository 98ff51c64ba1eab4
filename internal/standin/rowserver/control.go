package rowserver

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/responder"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
)

// Control registers upstreams in a store and injects faults into it.
type Control struct {
	store *rowstore.Rowstore

	mu     sync.Mutex
	faults Faults
}

// Faults is the set of faults of a store.
type Faults struct {
	// Outage makes the store refuse all calls.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of next transactions that are applied without a
	// response. ApplyLate is the number of next transactions that get no response
	// and are applied only when the faults are next set.
	LoseAnswers int `json:"lose_answers"`
	ApplyLate   int `json:"apply_late"`
}

// NewControl returns a Control for a store, initially without faults.
func NewControl(store *rowstore.Rowstore) *Control {
	c := &Control{store: store}
	store.Inject(c.nextFault)
	return c
}

// Set replaces the faults and applies the transactions that were held back.
func (c *Control) Set(f Faults) {
	c.store.ApplyHeldBack()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

func (c *Control) nextFault(write bool) rowstore.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.faults.Outage:
		return rowstore.Refuse{}
	case write && c.faults.LoseAnswers > 0:
		c.faults.LoseAnswers--
		return rowstore.LoseAnswer{}
	case write && c.faults.ApplyLate > 0:
		c.faults.ApplyLate--
		return rowstore.ApplyLate{}
	}
	return nil
}

// List writes the row that registers an upstream.
func (c *Control) List(address string, leaving bool) error {
	state := "ready"
	if leaving {
		state = "leaving"
	}
	value, err := json.Marshal(map[string]any{
		"service": "upstreams", "address": address, "zone": "any", "slots": 1, "state": state, "version": "v1", "coldRemainingMs": 0, "seq": 1,
	})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.store.Commit(context.Background(), rows.Transaction{
		Puts: []rows.Put{{ID: rows.ID{Table: "servers", Key: rows.Key(address)}, Value: value}},
	})
	return errors.Trace(err)
}

// Handler returns an HTTP handler of the store's calls and the control routes.
func (c *Control) Handler(s *Rowserver) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.Handler())
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			responder.Error(w, http.StatusBadRequest, err.Error())
			return
		}
		c.Set(f)
		writeJSON(w, http.StatusOK, f)
	})
	mux.HandleFunc("POST /standin/servers", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Address string `json:"address"`
			Leaving bool   `json:"leaving"`
		}
		err := json.NewDecoder(r.Body).Decode(&body)
		if err == nil {
			err = c.List(body.Address, body.Leaving)
		}
		if err != nil {
			responder.Error(w, http.StatusBadRequest, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, body)
	})
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writes, reads := c.store.Calls()
		writeJSON(w, http.StatusOK, map[string]int{"writes": writes, "reads": reads})
	})
	return mux
}
