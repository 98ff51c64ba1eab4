package settings

import (
	"net/netip"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// AccountsKey is the key of the list of accounts. The keys below it set the
// last element of Settings.Accounts.
const AccountsKey = "accounts"

// Key is one key of the file.
type Key struct {
	// Path is the dotted path; a list is written as name[].
	Path string
	Kind Kind
	Help string
}

// Keys returns the table of all keys.
func Keys() []Key {
	return []Key{
		{"vm", Text{Min: 1, Set: func(s *Settings, v string) { s.VM = ident.VMID(v) }}, "Id of this entry VM; it survives restarts."},
		{"region", Text{Min: 1, Set: func(s *Settings, v string) { s.Region = ident.Region(v) }}, "Region of this VM."},
		{"failure_domain", Text{Min: 1, Set: func(s *Settings, v string) { s.Domain = ident.Domain(v) }}, "Failure domain of this VM."},
		{"caller_address", Address{func(s *Settings, v netip.AddrPort) { s.CallerAddress = v }}, "Address for callers; also serves the metrics."},
		{"peer_address", Address{func(s *Settings, v netip.AddrPort) { s.PeerAddress = v }}, "Address for other entry VMs."},
		{"peer_key", Text{Secret: true, Min: 16, Set: func(s *Settings, v string) { s.PeerKey = v }}, "Key of the deployment by which entry VMs authenticate each other."},
		{"log_level", Choice{[]string{"debug", "info", "warn", "error"}, "info", func(s *Settings, v string) { s.LogLevel = v }}, "Lowest level that is logged."},
		{"address_retention", Duration{30 * time.Second, time.Second, time.Hour, func(s *Settings, v time.Duration) { s.AddressRetention = v }}, "How long callers may keep addresses; a shutdown takes at least this long."},

		{"platform.table_url", URL{func(s *Settings, v string) { s.Platform.TableURL = v }}, "Table service."},
		{"platform.object_url", URL{func(s *Settings, v string) { s.Platform.ObjectURL = v }}, "Object store."},
		{"platform.list_url", URL{func(s *Settings, v string) { s.Platform.ListURL = v }}, "VM list."},
		{"platform.timeout", Duration{time.Second, 50 * time.Millisecond, 30 * time.Second, func(s *Settings, v time.Duration) { s.Platform.Timeout = v }}, "Limit on one request to the platform."},
		{"platform.access_key", Text{Secret: true, Min: 1, Set: func(s *Settings, v string) { s.Platform.AccessKey = v }}, "Access key for the platform."},
		{"platform.secret_key", Text{Secret: true, Min: 1, Set: func(s *Settings, v string) { s.Platform.SecretKey = v }}, "Secret key for the platform."},

		{"cluster.shards", Integer{48, 1, 65536, "shards", func(s *Settings, v int64) { s.Cluster.Shards = int(v) }}, "Number of shards; the same on all entry VMs, fixed for the life of a deployment."},
		{"cluster.lease", Duration{6 * time.Second, time.Second, time.Minute, func(s *Settings, v time.Duration) { s.Cluster.Lease = v }}, "Lease of a node; the same on all entry VMs."},
		{"cluster.renewal", Duration{2 * time.Second, 100 * time.Millisecond, 20 * time.Second, func(s *Settings, v time.Duration) { s.Cluster.Renewal = v }}, "Interval of lease renewals; at most half of the lease."},
		{"cluster.margin", Duration{2 * time.Second, 100 * time.Millisecond, 30 * time.Second, func(s *Settings, v time.Duration) { s.Cluster.Margin = v }}, "Wait beyond the lease before a takeover."},
		{"cluster.batch_spacing", Duration{100 * time.Millisecond, 5 * time.Millisecond, 2 * time.Second, func(s *Settings, v time.Duration) { s.Cluster.BatchSpacing = v }}, "Shortest time between two commits of a node; shorter than the renewal."},

		{"freshness.configuration", Duration{5 * time.Second, time.Second, 7 * time.Second, func(s *Settings, v time.Duration) { s.Freshness.Configuration = v }}, "Age of the configuration above which new work is refused."},
		{"freshness.upstreams", Duration{5 * time.Second, time.Second, 5 * time.Second, func(s *Settings, v time.Duration) { s.Freshness.Upstreams = v }}, "Age of the view of an upstream above which it gets no new work."},

		{"limits.body", Integer{4 << 20, 1 << 10, 64 << 20, "bytes", func(s *Settings, v int64) { s.Limits.Body = unit.Bytes(v) }}, "Largest body of a request."},
		{"limits.call", Duration{2 * time.Minute, time.Second, time.Hour, func(s *Settings, v time.Duration) { s.Limits.Call = v }}, "Longest time of a call."},
		{"limits.first_byte", Duration{30 * time.Second, 10 * time.Millisecond, 10 * time.Minute, func(s *Settings, v time.Duration) { s.Limits.FirstByte = v }}, "Longest wait for the first byte of an upstream."},
		{"limits.between_bytes", Duration{5 * time.Second, 10 * time.Millisecond, 2 * time.Minute, func(s *Settings, v time.Duration) { s.Limits.BetweenBytes = v }}, "Longest silence of an upstream after the first byte."},

		{"placement.policy", Choice{[]string{"predicted", "least_loaded", "random"}, "predicted", func(s *Settings, v string) { s.Placement = v }}, "Policy of the router; its weights are in the configuration."},

		{"accounts[].token", Text{Secret: true, Min: 8, Set: func(s *Settings, v string) { s.last().Token = v }}, "Token that the account presents; unique."},
		{"accounts[].id", Text{Min: 1, Set: func(s *Settings, v string) { s.last().Account.ID = ident.AccountID(v) }}, "Id of the account; unique."},
		{"accounts[].team", Text{Min: 1, Set: func(s *Settings, v string) { s.last().Account.Team = ident.TeamID(v) }}, "Team of the account."},
		{"accounts[].role", Choice{[]string{string(chain.Caller), string(chain.Operator)}, string(chain.Caller), func(s *Settings, v string) { s.last().Account.Role = chain.Role(v) }}, "What the account may do."},
	}
}

func (s *Settings) last() *Account { return &s.Accounts[len(s.Accounts)-1] }
