package main

import (
	"fmt"
	"net/http"
	"time"
)

// Names of the deployment. Pools and routes are those of a small one: an engine pool for
// chats and a service for the permit counter.
const (
	engines = "huvo11a"
	counter = "wuno96b"

	chatPath   = "/pufi791/"
	quickPath  = "/lohu930/"
	lookupPath = "/pule252/"
	feePath    = "/puxa403/"
)

func chatRoute() map[string]any {
	return map[string]any{
		"name": "r-chat", "hostname": host, "prefix": chatPath, "routeKind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 300, "priority": 0,
		"service": engines, "maxAttempts": 2, "retained": true, "retentionS": 60.0, "sticky": true, "resumable": false, "targetGapMs": 250,
	}
}

func quickRoute() map[string]any {
	return map[string]any{
		"name": "r-quick", "hostname": host, "prefix": quickPath, "routeKind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 300, "priority": 1,
		"service": engines, "maxAttempts": 2, "retained": false, "retentionS": 60.0, "sticky": true, "resumable": true, "targetGapMs": 250,
	}
}

func lookupRoute() map[string]any {
	return map[string]any{
		"name": "r-lookup", "hostname": host, "prefix": lookupPath, "routeKind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2,
		"service": counter, "maxAttempts": 2, "sticky": false,
	}
}

func feeRoute() map[string]any {
	return map[string]any{
		"name": "r-fee", "hostname": host, "prefix": feePath, "routeKind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 2,
		"service": counter, "maxAttempts": 2, "sticky": false,
	}
}

func services() []map[string]any {
	return []map[string]any{
		{"name": engines, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tlsEnabled": false, "engine": map[string]any{
			"slots": 64, "kvCapacityTokens": 221617, "kvTokenBytes": 163840, "linkMbps": 260000.0, "chunkTokens": chunkTokens, "models": []map[string]any{{"name": "m"}},
		}},
		{"name": counter, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tlsEnabled": false},
	}
}

// deploy configures all routes, with more fields of the configuration.
func (l *lab) deploy(more map[string]any) {
	l.configure(7, []map[string]any{chatRoute(), quickRoute(), lookupRoute(), feeRoute()}, services(), more)
}

// startReplicas starts replicas in the zones in turn.
func (l *lab) startReplicas(n int, service string, slots int, acts func(i int) behaviour) error {
	for i := range n {
		if _, err := l.newReplica(service, inTurn(i), service == engines, slots, acts(i)); err != nil {
			return fmt.Errorf("replica %d of %s: %w", i, service, err)
		}
	}
	return nil
}

// sound returns the behaviour of sound replicas.
func sound(acts behaviour) func(int) behaviour { return func(int) behaviour { return acts } }

// turn returns an attempt of a turn.
func turn(id, program, previous, body string, prompt int) attempt {
	header := map[string]string{
		"X-Model": "m", "X-Program-Id": program, "X-Session-Id": "s" + program, "X-Program-Deadline-Ms": "20000",
		"X-Token-Budget": "100000", "X-Token-Usage": fmt.Sprintf("%d,16", prompt), "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%s:%d", "91bd3f06", max(prompt-800, 1)),
	}
	if previous != "" {
		header["X-Previous-Turn"] = previous
	}
	return attempt{id: id, method: http.MethodPost, path: chatPath + "2f", header: header, body: body, limit: 6 * time.Second}
}
