package design

import (
	. "goa.design/goa/v3/dsl"
)

var budget = Type("Budget", func() {
	Attribute("calls", Int64, "Calls of the program and its sub-agents", func() { Minimum(1) })
	Attribute("tokens", Int64, "Tokens of the program and its sub-agents", func() { Minimum(0) })
	Attribute("seconds", Int64, "Time from the opening after which no call starts", func() {
		Minimum(1)
		Maximum(31536000)
	})
	Required("calls", "tokens", "seconds")
})

var spending = Type("Spending", func() {
	Attribute("calls", Int64)
	Attribute("tokens", Int64)
	Required("calls", "tokens")
})

var limits = Type("Limits", func() {
	Attribute("calls", Int64)
	Attribute("tokens", Int64)
	Attribute("expires", String, "Time after which no call starts", func() { Format(FormatDateTime) })
	Required("calls", "tokens", "expires")
})

var usage = Type("Usage", func() {
	Attribute("calls", Int64)
	Attribute("prompt_tokens", Int64)
	Attribute("cached_tokens", Int64)
	Attribute("output_tokens", Int64)
	Required("calls", "prompt_tokens", "cached_tokens", "output_tokens")
})

var event = Type("Event", func() {
	Attribute("event", String, "What the event says", func() { Enum("chunk", "void", "end", "error") })
	Attribute("index", Int, "Index of the chunk, from 0 or from the last void")
	Attribute("text", String, "Text of the chunk")
	Attribute("call_id", String, "Call that the event belongs to")
	Attribute("attempt", Int, "Attempt whose answer this is")
	Attribute("chunks", Int, "Number of valid chunks of the whole answer")
	Attribute("failed", Boolean, "True if the upstream ran the call and answered with an error")
	Attribute("usage", usage, "What the call spent")
	Attribute("kind", String, "Kind of the error")
	Attribute("message", String, "What happened and what to do about it")
	Attribute("not_run", Boolean, "True only if the call did not run and never will")
	Attribute("retry_after_ms", Int64, "Delay before a repeat makes sense")
	Required("event")
})

var turn = Type("Turn", func() {
	Attribute("call_id", String)
	Attribute("position", Int)
	Attribute("pool", String)
	Attribute("operation", String)
	Attribute("body", String)
	Attribute("attempt", Int)
	Attribute("answer", String)
	Attribute("failed", Boolean)
	Attribute("usage", usage)
	Required("call_id", "position", "pool", "operation", "body", "attempt", "answer", "failed", "usage")
})

var openCall = Type("OpenCall", func() {
	Attribute("call_id", String)
	Attribute("position", Int)
	Attribute("status", String, "started, intended or unknown")
	Attribute("attempt", Int)
	Attribute("upstream", String)
	Required("call_id", "position", "status", "attempt", "upstream")
})

var program = Type("Program", func() {
	Attribute("program", String)
	Attribute("team", String)
	Attribute("class", String)
	Attribute("running", Boolean, "True while a call is under way")
	Attribute("ended", Boolean)
	Attribute("reason", String, "Why the program ended")
	Attribute("turns", ArrayOf(turn))
	Attribute("budget", limits, "Budget of the root program")
	Attribute("spent", spending, "What the root program and its sub-agents spent")
	Attribute("allowance", spending, "What is spent, and reserved for calls under way")
	Attribute("open_calls", ArrayOf(openCall), "Calls with an attempt and no answer")
	Required("program", "team", "class", "running", "ended", "reason", "turns", "budget", "spent", "allowance", "open_calls")
})

var programID = Type("ProgramRef", func() {
	Attribute("program", String, "Id of the program")
	Required("program")
})

func programPath() {
	Attribute("program", String, "Id of a program or sub-agent", func() { Pattern(programPattern) })
}

var _ = Service("programs", func() {
	Description("Programs and their calls")
	common()

	Method("open", func() {
		Payload(func() {
			token()
			Attribute("program", String, "Id chosen by the caller, so that a repeat opens no second program", func() { Pattern(rootPattern) })
			Attribute("class", String, "Priority class", func() { MinLength(1); MaxLength(64) })
			Attribute("budget", budget)
			Required("program", "class", "budget")
		})
		Result(programID)
		HTTP(func() {
			POST("/programs")
			Response(StatusCreated)
		})
	})

	Method("child", func() {
		Payload(func() {
			token()
			programPath()
			Attribute("child", String, "Id of the parent, a dot and a number", func() { Pattern(childPattern) })
			Required("program", "child")
		})
		Result(programID)
		HTTP(func() {
			POST("/programs/{program}/children")
			Response(StatusCreated)
		})
	})

	Method("call", func() {
		Payload(func() {
			token()
			programPath()
			Attribute("call_id", String, "Id chosen by the caller; a repeat joins or replays the answer", func() { Pattern(callPattern) })
			Attribute("position", Int, "Place of the call in its program, from 1", func() { Minimum(1) })
			Attribute("pool", String, func() { MinLength(1); MaxLength(64) })
			Attribute("operation", String, func() { MaxLength(128); Default("") })
			Attribute("body", String)
			Attribute("max_tokens", Int64, "Limit of the answer", func() { Minimum(0); Default(0) })
			Attribute("first_submission", Boolean, "The caller has not sent this call id before; without it, a refusal may be unable to promise that the call has not run", func() { Default(false) })
			Required("program", "call_id", "position", "pool", "body")
		})
		StreamingResult(event)
		HTTP(func() {
			POST("/programs/{program}/calls")
			ServerSentEvents()
		})
	})

	Method("end", func() {
		Payload(func() {
			token()
			programPath()
			Required("program")
		})
		Result(programID)
		HTTP(func() {
			POST("/programs/{program}/end")
			Response(StatusOK)
		})
	})

	Method("show", func() {
		Payload(func() {
			token()
			programPath()
			Required("program")
		})
		Result(program)
		HTTP(func() {
			GET("/programs/{program}")
			Response(StatusOK)
		})
	})
})
