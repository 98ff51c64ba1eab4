package design

import (
	. "goa.design/goa/v3/dsl"
)

var address = Type("Address", func() {
	Attribute("address", String, "IP address and port")
	Attribute("region", String)
	Attribute("domain", String, "Failure domain")
	Attribute("weight", Float64, "Share of callers that get this address first")
	Required("address", "region", "domain", "weight")
})

var _ = Service("addresses", func() {
	Description("Addresses of entry VMs for callers")
	common()

	Method("list", func() {
		Payload(func() {
			token()
			Attribute("account", String, "Account whose order is asked for; the credential's own if empty", func() { MaxLength(128) })
		})
		Result(func() {
			Attribute("addresses", ArrayOf(address))
			Attribute("retention_seconds", Int64, "How long the list may be cached")
			Required("addresses", "retention_seconds")
		})
		HTTP(func() {
			GET("/addresses")
			Param("account")
			Response(StatusOK)
		})
	})
})

var teamChange = Type("TeamChange", func() {
	Attribute("team", String, "Team that is affected; empty for all teams")
	Attribute("change", String)
	Required("team", "change")
})

var plan = Type("Plan", func() {
	Attribute("plan", String)
	Attribute("status", String, func() { Enum("open", "confirmed") })
	Attribute("base_version", UInt64, "Version of the configuration from which the plan was computed")
	Attribute("new_version", UInt64, "Version that the plan creates when it is confirmed")
	Attribute("steps", ArrayOf(String))
	Attribute("changes", ArrayOf(teamChange))
	Attribute("costs", ArrayOf(String), "What the plan interrupts or costs")
	Attribute("not_promised", ArrayOf(String), "What the plan can't promise")
	Required("plan", "status", "base_version", "new_version", "steps", "changes", "costs", "not_promised")
})

func planPath() {
	Attribute("plan", String, func() { Pattern(planPattern) })
}

var _ = Service("plans", func() {
	Description("Plans of operators")
	common()

	Method("create", func() {
		Payload(func() {
			token()
			Attribute("intent", String, "Intent in TOML", func() { MinLength(1) })
			Required("intent")
		})
		Result(plan)
		HTTP(func() {
			POST("/plans")
			Response(StatusCreated)
		})
	})

	Method("show", func() {
		Payload(func() {
			token()
			planPath()
			Required("plan")
		})
		Result(plan)
		HTTP(func() {
			GET("/plans/{plan}")
			Response(StatusOK)
		})
	})

	Method("confirm", func() {
		Payload(func() {
			token()
			planPath()
			Required("plan")
		})
		Result(plan)
		HTTP(func() {
			POST("/plans/{plan}/confirm")
			Response(StatusOK)
		})
	})
})

var upstream = Type("Upstream", func() {
	Attribute("upstream", String)
	Attribute("pool", String)
	Attribute("team", String)
	Attribute("address", String)
	Attribute("region", String)
	Attribute("domain", String)
	Attribute("slots", Int)
	Attribute("drain", Boolean, "True if an operator asked that no new work be sent")
	Attribute("leaving", Boolean, "True if the upstream is shutting down")
	Attribute("usable", Boolean, "True if this node sends work to it")
	Attribute("reason", String, "Why it is not usable: drained, leaving, unlisted or silent; empty if it is")
	Attribute("in_flight", Int, "Calls of this node on the upstream")
	Attribute("limit", Int, "Calls that this node may have on the upstream")
	Required("upstream", "pool", "team", "address", "region", "domain", "slots", "drain", "leaving", "usable", "reason", "in_flight", "limit")
})

var finding = Type("Finding", func() {
	Attribute("kind", String, "Kind of the finding; stable")
	Attribute("text", String, "What was found")
	Attribute("next_step", String, "What to do about it")
	Required("kind", "text", "next_step")
})

var unknownCall = Type("UnknownCall", func() {
	Attribute("program", String)
	Attribute("call_id", String)
	Required("program", "call_id")
})

var openOrder = Type("OpenOrder", func() {
	Attribute("upstream", String)
	Attribute("kind", String, "load_model, load_adapter or set_role")
	Attribute("name", String)
	Required("upstream", "kind", "name")
})

var vm = Type("VM", func() {
	Attribute("vm", String)
	Attribute("state", String, "live or leaving")
	Attribute("address", String, "Address for callers")
	Attribute("region", String)
	Attribute("domain", String)
	Required("vm", "state", "address", "region", "domain")
})

var _ = Service("status", func() {
	Description("State of the system as the answering node sees it")
	common()

	Method("show", func() {
		Payload(func() { token() })
		Result(func() {
			Attribute("vm", String)
			Attribute("state", String, "live or leaving")
			Attribute("configuration_version", UInt64)
			Attribute("configuration_plan", String)
			Attribute("configuration_fresh", Boolean, "True if the configuration is fresh enough for new work")
			Attribute("configuration_age_ms", Int64)
			Attribute("vms_live", Int)
			Attribute("vms_leaving", Int)
			Attribute("healthy", Boolean, "True if there are no problems")
			Attribute("problems", ArrayOf(finding), "What holds calls up")
			Attribute("notes", ArrayOf(finding), "What needs no action now")
			Attribute("platform_reachable", Boolean, "True if this node has read the platform within 5 s")
			Attribute("outcomes_unknown", Int, "Calls whose outcome is unknown")
			Attribute("unknown_calls", ArrayOf(unknownCall), "Those of the operator's own team, at most 100")
			Attribute("open_orders", ArrayOf(openOrder), "Orders of this node's share of engines that have not been confirmed")
			Attribute("upstreams", Int)
			Attribute("upstreams_usable", Int)
			Required("vm", "state", "configuration_version", "configuration_plan", "configuration_fresh", "configuration_age_ms",
				"vms_live", "vms_leaving", "upstreams", "upstreams_usable", "healthy", "problems", "notes", "platform_reachable",
				"outcomes_unknown", "unknown_calls", "open_orders")
		})
		HTTP(func() {
			GET("/status")
			Response(StatusOK)
		})
	})

	Method("upstreams", func() {
		Payload(func() { token() })
		Result(ArrayOf(upstream))
		HTTP(func() {
			GET("/upstreams")
			Response(StatusOK)
		})
	})

	Method("vms", func() {
		Payload(func() { token() })
		Result(ArrayOf(vm))
		HTTP(func() {
			GET("/vms")
			Response(StatusOK)
		})
	})
})
