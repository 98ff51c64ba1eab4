package design

import (
	. "goa.design/goa/v3/dsl"
)

var member = Type("Member", func() {
	Attribute("vm", String)
	Attribute("domain", String)
	Attribute("region", String)
	Attribute("caller_address", String, "Address of the product's own interface, empty if it is not served")
	Attribute("request_address", String, "Address of the users' interface, empty if it is not served")
	Required("vm", "domain", "region", "caller_address", "request_address")
})

// The age attributes are omitted until the first read.
var _ = Service("view", func() {
	Description("What one entry VM believes and how old that is; anyone may read it on the metrics address")

	Method("show", func() {
		Result(func() {
			Attribute("vm", String)
			Attribute("process", String, "Id of the process; each start has another")
			Attribute("region", String)
			Attribute("domain", String)
			Attribute("leaving", Boolean, "True from the request to stop")
			Attribute("enrolled", Boolean, "True once the VM's own row was written")
			Attribute("routes_version", UInt64, "Version of the routes of the users' interface, 0 without")
			Attribute("routes", Int, "Number of routes")
			Attribute("routes_age_ms", Int64, "Time since the routes were last known to be the newest")
			Attribute("configuration_version", UInt64, "Version of the configuration of the product's own interface, 0 without")
			Attribute("configuration_age_ms", Int64, "Time since the configuration was last known to be the newest")
			Attribute("upstreams", Int, "Upstreams that may get new work")
			Attribute("upstreams_age_ms", Int64, "Time since the list of upstreams was read")
			Attribute("members", ArrayOf(member), "Entry VMs that serve callers")
			Attribute("members_age_ms", Int64, "Time since the list of entry VMs was read")
			Required("vm", "process", "region", "domain", "leaving", "enrolled", "routes_version", "routes",
				"configuration_version", "upstreams", "members")
		})
		HTTP(func() {
			GET("/view")
			Response(StatusOK)
		})
	})
})
