package settings

import (
	"math"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/router"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	ms = time.Millisecond

	unitName     = "name"
	unitAddress  = "IP:port"
	unitURL      = "URL"
	unitDuration = "duration"
	unitSecret   = "secret text"
	unitChoice   = "choice"
)

// Keys returns the table in the order of the documentation.
func Keys() []Key {
	return []Key{
		{"", "vm", unitName, nil, "name of this entry VM, unique in the deployment and kept over restarts", Name{
			func(s Scope, v string) { s.VM = ident.VMID(v) }}},
		{"", "region", unitName, nil, "region of this VM", Name{
			func(s Scope, v string) { s.Region = ident.Region(v) }}},
		{"", "domain", unitName, nil, "failure domain of this VM", Name{
			func(s Scope, v string) { s.Domain = ident.Domain(v) }}},
		{"", "caller_address", unitAddress, nil, "address on which callers and operators are served", Address{
			func(s Scope, v netip.AddrPort) { s.CallerAddress = v }}},
		{"", "peer_address", unitAddress, nil, "address on which other entry VMs are served", Address{
			func(s Scope, v netip.AddrPort) { s.PeerAddress = v }}},
		{"", "log_level", unitChoice, "info", "lowest level of the lines that are logged", Choice{
			[]string{"debug", "info", "warn", "error"}, setLogLevel}},

		{"platform", "table_url", unitURL, nil, "endpoint of the table service", URL{
			func(s Scope, v string) { s.Platform.TableURL = v }}},
		{"platform", "object_url", unitURL, nil, "endpoint of the object store", URL{
			func(s Scope, v string) { s.Platform.ObjectURL = v }}},
		{"platform", "list_url", unitURL, nil, "endpoint of the VM list", URL{
			func(s Scope, v string) { s.Platform.ListURL = v }}},
		{"platform", "timeout", unitDuration, "2s", "limit on one request to the platform", Duration{10 * ms, time.Minute, 0,
			func(s Scope, v time.Duration) { s.Platform.Timeout = v }}},
		{"platform", "access_key", unitSecret, nil, "name of the key by which requests to the platform are signed", Credential{1, 256,
			func(s Scope, v Secret) { s.Platform.AccessKey = v }}},
		{"platform", "secret_key", unitSecret, nil, "key by which requests to the platform are signed", Credential{1, 256,
			func(s Scope, v Secret) { s.Platform.SecretKey = v }}},

		{"cluster", "shards", "shards", int64(48), "number of shards; equal on all VMs and never changed, about 4 to 8 for each VM", Integer{1, 65536,
			func(s Scope, v int64) { s.Cluster.Shards = int(v) }}},
		{"cluster", "lease", unitDuration, "6s", "time for which a renewed lease is valid", Duration{100 * ms, time.Minute, 0,
			func(s Scope, v time.Duration) { s.Cluster.Lease = v }}},
		{"cluster", "renewal", unitDuration, "2s", "longest time between two renewals of the lease; below half of the lease", Duration{10 * ms, 30 * time.Second, 0,
			func(s Scope, v time.Duration) { s.Cluster.Renewal = v }}},
		{"cluster", "margin", unitDuration, "2s", "time that a takeover waits beyond the lease", Duration{10 * ms, time.Minute, 0,
			func(s Scope, v time.Duration) { s.Cluster.Margin = v }}},
		{"cluster", "batch_spacing", unitDuration, "100ms", "shortest time between two commits; at most the renewal", Duration{ms, time.Second, 0,
			func(s Scope, v time.Duration) { s.Cluster.BatchSpacing = v }}},
		{"cluster", "read_interval", unitDuration, "1s", "time between two reads of the node rows and the assignment", Duration{10 * ms, 10 * time.Second, 0,
			func(s Scope, v time.Duration) { s.Cluster.ReadInterval = v }}},

		{"freshness", "configuration", unitDuration, "5s", "age of the configuration above which new work is refused", Duration{100 * ms, 5 * time.Second, 0,
			func(s Scope, v time.Duration) { s.Freshness.Configuration = v }}},
		{"freshness", "upstreams", unitDuration, "5s", "age of the view of an upstream above which it gets no new work", Duration{100 * ms, 5 * time.Second, 0,
			func(s Scope, v time.Duration) { s.Freshness.Upstreams = v }}},
		{"freshness", "interval", unitDuration, "1s", "time between two reads of the configuration's version; below both limits", Duration{10 * ms, 5 * time.Second, 0,
			func(s Scope, v time.Duration) { s.Freshness.Interval = v }}},

		{"addresses", "retention", unitDuration, "1m", "time for which a caller may cache addresses; a VM that leaves serves at least that long", Duration{time.Second, time.Hour, time.Second,
			func(s Scope, v time.Duration) { s.Addresses.Retention = v }}},
		{"addresses", "count", "addresses", int64(4), "largest number of addresses in one response", Integer{1, 64,
			func(s Scope, v int64) { s.Addresses.Count = int(v) }}},

		{"peer", "key", unitSecret, nil, "key of the deployment that entry VMs prove to each other; equal on all VMs", Credential{32, 256,
			func(s Scope, v Secret) { s.Peer.Key = v }}},

		{AccountsTable, "id", unitName, nil, "name of the account, unique in the file", Name{
			func(s Scope, v string) { s.Account.ID = ident.AccountID(v) }}},
		{AccountsTable, "token", unitSecret, nil, "bearer token of the account, unique in the file", Credential{16, 256,
			func(s Scope, v Secret) { s.Account.Token = v }}},
		{AccountsTable, "team", unitName, nil, "team for which the account makes requests", Name{
			func(s Scope, v string) { s.Account.Team = ident.TeamID(v) }}},
		{AccountsTable, "role", unitChoice, nil, "what the account may do", Choice{[]string{string(chain.Caller), string(chain.Operator)},
			func(s Scope, v string) { s.Account.Role = chain.Role(v) }}},

		{"limits", "body_bytes", "bytes", int64(4 << 20), "largest request body that is read", Integer{1 << 10, 64 << 20,
			func(s Scope, v int64) { s.Limits.BodyBytes = unit.Bytes(v) }}},
		{"limits", "call_time", unitDuration, "10m", "limit on one call, from its arrival to its end marker", Duration{100 * ms, 24 * time.Hour, 0,
			func(s Scope, v time.Duration) { s.Limits.CallTime = v }}},
		{"limits", "first_byte", unitDuration, "30s", "limit on the wait for the first byte of an upstream; at most call_time", Duration{10 * ms, time.Hour, 0,
			func(s Scope, v time.Duration) { s.Limits.FirstByte = v }}},
		{"limits", "between_bytes", unitDuration, "10s", "limit on the silence of an upstream within an answer; at most call_time", Duration{10 * ms, time.Hour, 0,
			func(s Scope, v time.Duration) { s.Limits.BetweenBytes = v }}},
		{"limits", "owner_wait", unitDuration, "3s", "limit on the wait for an answer of the VM that owns a program", Duration{10 * ms, time.Minute, 0,
			func(s Scope, v time.Duration) { s.Limits.OwnerWait = v }}},
		{"limits", "queue_wait", unitDuration, "4s", "limit on the wait for an upstream; at most call_time", Duration{10 * ms, time.Hour, 0,
			func(s Scope, v time.Duration) { s.Limits.QueueWait = v }}},
		{"limits", "drain", unitDuration, "30s", "limit on the wait for running calls at shutdown, after the retention", Duration{10 * ms, time.Hour, 0,
			func(s Scope, v time.Duration) { s.Limits.Drain = v }}},

		{"placement", "policy", unitChoice, "product", "how the upstream of a call is chosen; the others are baselines", Choice{
			[]string{"product", "round_robin", "least_loaded", "cache_affinity", "fcfs"}, setPolicy}},
		{"placement", "seed", "number", int64(1), "seed of the random choices, so that a run can be repeated", Integer{0, math.MaxInt64,
			func(s Scope, v int64) { s.Placement.Seed = uint64(v) }}},
	}
}

// Only values of the choice arrive here; the tests load each of them.
func setLogLevel(s Scope, v string) { s.LogLevel, _ = zerolog.ParseLevel(v) }

func setPolicy(s Scope, v string) { s.Placement.Policy, _ = router.PolicyByName(v) }
