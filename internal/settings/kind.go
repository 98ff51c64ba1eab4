package settings

import (
	"net/netip"
	"time"
)

// Kind says which values a key takes and stores a checked value. The interface
// is sealed: the variants are Text, Choice, Address, URL, Duration and Integer.
type Kind interface{ sealed() }

// Text is a string that is not empty and has at most 256 bytes.
type Text struct {
	// Secret values never appear in errors.
	Secret bool
	Min    int
	Set    func(*Settings, string)
}

// Choice is one of a list of strings.
type Choice struct {
	Values []string
	// Default is empty if the key is required.
	Default string
	Set     func(*Settings, string)
}

// Address is an IP address and a port.
type Address struct {
	Set func(*Settings, netip.AddrPort)
}

// URL is an http or https URL whose host is an IP address.
type URL struct{ Set func(*Settings, string) }

// Duration is a string with a unit.
type Duration struct {
	Default, Min, Max time.Duration
	Set               func(*Settings, time.Duration)
}

// Integer is a number with a unit.
type Integer struct {
	Default, Min, Max int64
	Unit              string
	Set               func(*Settings, int64)
}

func (Text) sealed()     {}
func (Choice) sealed()   {}
func (Address) sealed()  {}
func (URL) sealed()      {}
func (Duration) sealed() {}
func (Integer) sealed()  {}
