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
	unitDuration = "duration"
	unitSecret   = "secret text"
	unitChoice   = "choice"
)

// Keys returns the table of keys in the order of the documentation.
func Keys() []Key {
	return []Key{
		{"", "vm", unitName, nil, "name of this entry VM, unique in the deployment and kept across restarts", Name{
			func(s Target, v string) { s.VM = ident.VMID(v) }}},
		{"", "region", unitName, nil, "region of this VM", Name{
			func(s Target, v string) { s.Region = ident.Region(v) }}},
		{"", "domain", unitName, nil, "failure domain of this VM", Name{
			func(s Target, v string) { s.Domain = ident.Domain(v) }}},
		{"", "caller_address", unitAddress, "", "address of the product's own interface, for callers and operators; not served without it", Address{
			func(s Target, v netip.AddrPort) { s.CallerAddress = v }}},
		{"", "peer_address", unitAddress, "", "address for other entry VMs; required with ingress.requests", Address{
			func(s Target, v netip.AddrPort) { s.PeerAddress = v }}},
		{"", "metrics_address", unitAddress, "", "address of metrics and of the VM's view, which anyone may read; not served without it", Address{
			func(s Target, v netip.AddrPort) { s.MetricsAddress = v }}},
		{"", "log_level", unitChoice, "info", "lowest level that is logged", Choice{
			[]string{"debug", "info", "warn", "error"}, setLogLevel}},

		{"", "memory", "MB", int64(112), "memory of the VM, from which the limits on callers and Go's soft memory limit (75 in 100 of it) follow; the smallest VMs have 112", Integer{64, 1 << 20,
			func(s Target, v int64) { s.Memory = unit.Bytes(v) << 20 }}},
		{"", "descriptors", "descriptors", int64(3075), "file descriptors that the process may have open; the smallest VMs have 3075", Integer{256, 1 << 24,
			func(s Target, v int64) { s.Descriptors = int(v) }}},

		{"platform", "store_address", unitAddress, nil, "address of the platform's store", Address{
			func(s Target, v netip.AddrPort) { s.Platform.StoreAddress = v }}},

		{RegionsTable, "FAILURE_DOMAIN", unitName, "", "region of a failure domain, used for distances; one key for each", Name{
			func(s Target, v string) { s.Regions[s.FailureDomain] = ident.Region(v) }}},

		{"ingress", "requests", unitAddress, "", "address of the users' interface; not served without it", Address{
			func(s Target, v netip.AddrPort) { s.Ingress.Requests = v }}},
		{"ingress", "readiness", unitAddress, "", "address of the readiness probe; required with requests", Address{
			func(s Target, v netip.AddrPort) { s.Ingress.Readiness = v }}},
		{"ingress", "directory", unitAddress, "", "address of the directory, which tells callers where to connect; required with requests", Address{
			func(s Target, v netip.AddrPort) { s.Ingress.Directory = v }}},
		{"ingress", "grace", unitDuration, "8s", "time from SIGTERM until the process is killed", Duration{2 * time.Second, time.Hour, 0,
			func(s Target, v time.Duration) { s.Ingress.Grace = v }}},
		{"ingress", "drain_limit", unitDuration, "2500ms", "time within which an upstream that leaves must no longer receive new work", Duration{time.Second, time.Minute, 0,
			func(s Target, v time.Duration) { s.Ingress.DrainLimit = v }}},
		{"ingress", "routes_limit", unitDuration, "2500ms", "time within which a new version of the routes must take effect", Duration{time.Second, time.Minute, 0,
			func(s Target, v time.Duration) { s.Ingress.RoutesLimit = v }}},
		{"ingress", "revocation_limit", unitDuration, "", "time after which a removed key of a client account must no longer be used by any VM; without it, keys are used however old the routes are", Duration{2 * time.Second, time.Minute, 0,
			func(s Target, v time.Duration) { s.Ingress.RevocationLimit = v }}},
		{"ingress", "quota_window", unitDuration, "5s", "sliding window over which the quota of a client account bounds its requests on all VMs together", Duration{100 * ms, time.Hour, 0,
			func(s Target, v time.Duration) { s.Ingress.QuotaWindow = v }}},
		{"ingress", "quota_overage", "fraction", 0.1, "share by which the requests of a window may exceed what the quota allows in it; tokens live for half of this share of the window, 30 to 250 ms", Fraction{0, 10,
			func(s Target, v float64) { s.Ingress.QuotaOverage = unit.Ratio(v) }}},
		{"ingress", "quota_slack", "requests", int64(20), "number of requests by which those of a window may exceed the quota beside the overage", Integer{0, math.MaxInt32,
			func(s Target, v int64) { s.Ingress.QuotaSlack = int(v) }}},

		{"callers", "request_memory", "bytes", int64(0), "memory for the requests of all callers together, with the histories of their turns, and for the answers that the VM holds (outputs of turns, events above 4 KB, bodies above 8 KB), with the copies that it makes of them; 0 stands for 35 in 100 of memory: the process takes 14 MB, histories of turns 16 MB and connections 15 in 100", Integer{0, 1 << 40,
			func(s Target, v int64) { s.Callers.RequestMemory = unit.Bytes(v) }}},
		{"callers", "reserved_memory", "bytes", int64(0), "part of request_memory that large requests leave free for small ones; 0 stands for a quarter", Integer{0, 1 << 40,
			func(s Target, v int64) { s.Callers.ReservedMemory = unit.Bytes(v) }}},
		{"callers", "small_request", "bytes", int64(128 << 10), "memory up to which a request counts as small; a header section of 16 KB with 60 lines takes 64 KB, a body twice its size", Integer{16 << 10, 1 << 30,
			func(s Target, v int64) { s.Callers.SmallRequest = unit.Bytes(v) }}},
		{"callers", "connections", "connections", int64(0), "connections at the address for requests, and at that of the product's own interface; the other addresses have a quarter of it each, at least 64; 0 stands for a third of descriptors, at most 15 in 100 of memory at 20 KB each", Integer{0, 1 << 24,
			func(s Target, v int64) { s.Callers.Connections = int(v) }}},
		{"callers", "head_time", unitDuration, "10s", "time for a header section; callers of the known deployments have 3 s", Duration{100 * ms, 10 * time.Minute, 0,
			func(s Target, v time.Duration) { s.Callers.HeadTime = v }}},
		{"callers", "body_pace", unitDuration, "10s", "time within which each further 16 KB of a body, or its end, must arrive; a third of the 22 Mbit/s of the smallest VMs, shared by 500 callers, carries that in 9 s", Duration{100 * ms, 10 * time.Minute, 0,
			func(s Target, v time.Duration) { s.Callers.BodyPace = v }}},
		{"callers", "write_pace", unitDuration, "15s", "time within which a caller must take each further 16 KB of an answer, once the buffers of its connection are full; as idle connections of the known deployments", Duration{100 * ms, 10 * time.Minute, 0,
			func(s Target, v time.Duration) { s.Callers.WritePace = v }}},

		{"freshness", "configuration", unitDuration, "5s", "age of the configuration above which new work is refused", Duration{100 * ms, 5 * time.Second, 0,
			func(s Target, v time.Duration) { s.Freshness.Configuration = v }}},
		{"freshness", "upstreams", unitDuration, "5s", "age of an upstream's view above which it receives no new work", Duration{100 * ms, 5 * time.Second, 0,
			func(s Target, v time.Duration) { s.Freshness.Upstreams = v }}},
		{"freshness", "interval", unitDuration, "1s", "time between two reads of the configuration and of each upstream's load; below both limits", Duration{10 * ms, 5 * time.Second, 0,
			func(s Target, v time.Duration) { s.Freshness.Interval = v }}},

		{"addresses", "retention", unitDuration, "1m", "time for which a caller may cache addresses; a VM that leaves serves at least that long", Duration{time.Second, time.Hour, time.Second,
			func(s Target, v time.Duration) { s.Addresses.Retention = v }}},
		{"addresses", "count", "addresses", int64(4), "largest number of addresses in one response", Integer{1, 64,
			func(s Target, v int64) { s.Addresses.Count = int(v) }}},

		{AccountsTable, "id", unitName, nil, "name of the account, unique in the file", Name{
			func(s Target, v string) { s.Account.ID = ident.AccountID(v) }}},
		{AccountsTable, "token", unitSecret, nil, "bearer token of the account, unique in the file", Credential{16, 256,
			func(s Target, v Secret) { s.Account.Token = v }}},
		{AccountsTable, "team", unitName, nil, "team for which the account makes requests", Name{
			func(s Target, v string) { s.Account.Team = ident.TeamID(v) }}},
		{AccountsTable, "role", unitChoice, nil, "what the account may do", Choice{[]string{string(chain.Caller), string(chain.Operator)},
			func(s Target, v string) { s.Account.Role = chain.Role(v) }}},

		{"limits", "body_bytes", "bytes", int64(4 << 20), "largest request body that is read", Integer{1 << 10, 64 << 20,
			func(s Target, v int64) { s.Limits.BodyBytes = unit.Bytes(v) }}},
		{"limits", "call_time", unitDuration, "10m", "limit on one call, from its arrival to its end marker", Duration{100 * ms, 24 * time.Hour, 0,
			func(s Target, v time.Duration) { s.Limits.CallTime = v }}},
		{"limits", "first_byte", unitDuration, "30s", "limit on the wait for the first byte of an upstream; at most call_time", Duration{10 * ms, time.Hour, 0,
			func(s Target, v time.Duration) { s.Limits.FirstByte = v }}},
		{"limits", "between_bytes", unitDuration, "10s", "limit on the time without data from an upstream within an answer; at most call_time", Duration{10 * ms, time.Hour, 0,
			func(s Target, v time.Duration) { s.Limits.BetweenBytes = v }}},
		{"limits", "queue_wait", unitDuration, "4s", "limit on the wait for an upstream; at most call_time", Duration{10 * ms, time.Hour, 0,
			func(s Target, v time.Duration) { s.Limits.QueueWait = v }}},
		{"limits", "drain", unitDuration, "30s", "limit on the wait for running calls at shutdown, after the retention", Duration{10 * ms, time.Hour, 0,
			func(s Target, v time.Duration) { s.Limits.Drain = v }}},

		{"placement", "policy", unitChoice, "product", "policy that chooses the upstream of a call; all but product are baselines", Choice{
			[]string{"product", "round_robin", "least_loaded", "cache_affinity", "fcfs"}, setPolicy}},
		{"placement", "seed", "number", int64(1), "seed of the random choices, for reproducible runs", Integer{0, math.MaxInt64,
			func(s Target, v int64) { s.Placement.Seed = uint64(v) }}},
	}
}

// setLogLevel ignores the error: the loader passes only values of the choice, and
// its tests load each of them. The same holds for setPolicy.
func setLogLevel(s Target, v string) { s.LogLevel, _ = zerolog.ParseLevel(v) }

func setPolicy(s Target, v string) { s.Placement.Policy, _ = router.PolicyByName(v) }
