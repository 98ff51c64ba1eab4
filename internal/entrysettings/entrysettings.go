// Package entrysettings loads and checks the settings of an entry VM.
package entrysettings

import (
	"net/netip"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Settings of an entry VM. All addresses are an IP and a port.
type Settings struct {
	VM               ident.VMID   `toml:"vm"`
	Domain           ident.Domain `toml:"failure_domain"`
	Region           ident.Region `toml:"region"`
	CallersAddress   string       `toml:"callers_address"`
	ReadinessAddress string       `toml:"readiness_address"`
	DirectoryAddress string       `toml:"directory_address"`
	MetricsAddress   string       `toml:"metrics_address"`
	// PeerIP and PeerPorts are where other entry VMs may connect.
	PeerIP    string `toml:"peer_ip"`
	PeerPorts []int  `toml:"peer_ports"`
	// Grace is the time from the request to stop until the process is killed.
	Grace        time.Duration                 `toml:"grace"`
	StoreAddress string                        `toml:"store_address"`
	Regions      map[ident.Domain]ident.Region `toml:"regions"`
}

const (
	defaultGrace   = 8 * time.Second
	defaultMetrics = "0.0.0.0:9180"
)

// Load reads the settings of a file. The error lists every fault.
func Load(file string) (Settings, error) {
	s := Settings{Grace: defaultGrace, MetricsAddress: defaultMetrics}
	meta, err := toml.DecodeFile(file, &s)
	if err != nil {
		return s, errors.Annotatef(err, "settings %s", file)
	}
	var faults []error
	for _, key := range meta.Undecoded() {
		faults = append(faults, errors.Errorf("%s is not a setting; remove it", key))
	}
	return s, join(append(faults, s.check()...))
}

// check returns all faults of the values.
func (s Settings) check() []error {
	var faults []error
	for _, required := range []struct{ key, value string }{
		{"vm", string(s.VM)}, {"failure_domain", string(s.Domain)}, {"region", string(s.Region)},
	} {
		if required.value == "" {
			faults = append(faults, errors.Errorf("%s is missing; set it", required.key))
		}
	}
	for _, address := range []struct{ key, value string }{
		{"callers_address", s.CallersAddress}, {"readiness_address", s.ReadinessAddress},
		{"directory_address", s.DirectoryAddress}, {"store_address", s.StoreAddress}, {"metrics_address", s.MetricsAddress},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			faults = append(faults, errors.Errorf("%s is %q; set it to an IP and a port", address.key, address.value))
		}
	}
	if s.Grace <= 0 {
		faults = append(faults, errors.Errorf("grace is %s; set it to the time until the process is killed", s.Grace))
	}
	if len(s.PeerPorts) != 2 || s.PeerPorts[0] > s.PeerPorts[1] {
		faults = append(faults, errors.Errorf("peer_ports is %v; set it to the first and the last port", s.PeerPorts))
	}
	return faults
}

func join(faults []error) error {
	if len(faults) == 0 {
		return nil
	}
	text := faults[0].Error()
	for _, fault := range faults[1:] {
		text += "\n" + fault.Error()
	}
	return errors.New(text)
}
