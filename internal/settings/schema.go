package settings

// What a platform may say: every key of the configuration file, in its own words, also those that the router
// does not read. A key that is not here is one nobody knows.

type shape uint8

const (
	object shape = iota
	array
	text
	truth
	integer
	number
	address // IP:PORT
)

// field describes one key.
type field struct {
	name   string
	shape  shape
	needed bool
	unit   string
	lo, hi float64  // of a number; of an array's length where hi is set
	tiny   int64    // a time below it was meant in milliseconds; 0 for no such look
	words  []string // the only values of a text
	what   string   // ... and what they are
	port   bool     // an address that is called: its port is not 0
	fields []field  // of an object
	items  *field   // of an array
	whole  func(c *checker, at string, v values)
}

// Bounds of what a platform may say.
const (
	Day          = 86_400_000_000 // microseconds; no time is longer
	MostCores    = 1024
	MostMemoryMB = 1 << 20
	LeastSockets = 64 // descriptors that a router can work with

	longest = 256 // bytes of a text
	lots    = 1e12
)

// span is a time that is 0 where it is left out.
func span(name string, tiny int64) field {
	return field{name: name, shape: integer, unit: "µs", hi: Day, tiny: tiny}
}

// need is a time that must be there.
func need(name string, tiny int64) field {
	f := span(name, tiny)
	f.needed, f.lo = true, 1
	return f
}

func flag(name string) field  { return field{name: name, shape: truth} }
func label(name string) field { return field{name: name, shape: text} }
func count(name string, lo, hi float64) field {
	return field{name: name, shape: integer, lo: lo, hi: hi}
}
func figure(name string, lo, hi float64) field {
	return field{name: name, shape: number, lo: lo, hi: hi}
}
func under(name string, fields ...field) field { return field{name: name, fields: fields} }

func list(name string, most float64, items field) field {
	return field{name: name, shape: array, hi: most, items: &items}
}

func choice(name, what string, words ...string) field {
	return field{name: name, shape: text, words: words, what: what}
}

func must(f field) field {
	f.needed = true
	return f
}

func checked(f field, whole func(c *checker, at string, v values)) field {
	f.whole = whole
	return f
}

// file is the whole configuration.
var file = under("",
	label("name"),
	must(field{name: "listen", shape: address}),
	must(field{name: "discovery", shape: address, port: true}),
	checked(label("seed"), (*checker).seed),
	under("limits",
		figure("cores", 0, MostCores),
		field{name: "memory_mb", shape: integer, unit: "MiB", hi: MostMemoryMB},
		checked(field{name: "sockets", shape: integer, unit: "descriptors", hi: 1 << 24}, (*checker).sockets)),
	field{name: "peer_listen", shape: address},
	list("peers", 10_000, field{shape: address, port: true}),
	field{name: "peers_all", shape: address, port: true},
	under("known",
		must(count("index", 0, 1<<62)),
		flag("snapshot"),
		must(list("endpoints", 100_000, checked(under("",
			must(label("name")),
			label("address"),
			label("zone"),
			label("type"),
			count("group", -1<<31, 1<<31),
			must(choice("status", "status", "in_service", "terminating", "terminated")),
			figure("weight", 0, lots),
			checked(field{name: "since_ms", shape: integer, unit: "ms", hi: 9_223_372_036_854_775}, (*checker).since),
		), (*checker).endpoint)))),
	must(under("settings", told...)),
)

// told is the object that the simulator's first message gives an instance.
var told = []field{
	must(count("instances", 1, 100_000)),
	count("me", 0, 100_000),
	choice("discovery", "discovery mode", "subscribe", "automatic"),
	choice("weights", "kind of weights", "none", "nominal", "rough", "live"),
	choice("countedBy", "count", "request", "work"),
	must(checked(list("categories", 1000, checked(under("",
		must(label("name")),
		must(choice("effect", "effect", "read_like", "idempotency_key", "non_idempotent")),
		choice("dedupScope", "dedupScope", "all", "zone", "cell"),
		span("keyTtl", 10_000),
		need("aim", 5_000),
		need("hardLimit", 5_000),
		must(figure("worth", 0, lots)),
		figure("lateWorth", 0, 1),
		figure("aimStretch", 0, lots),
		flag("stream"),
	), (*checker).class)), (*checker).classes)),
	under("limits",
		flag("cancel"), flag("probes"), flag("secondCopies"), flag("retryAfter"), flag("peerMessages"),
		count("maxAttempts", 1, 1000),
		span("maxRetryAfter", 5_000),
		count("maxOpen", 0, 1<<31),
		count("maxStreams", 0, 1<<31),
		span("dialTimeout", 5_000),
		span("keepalive", 100_000),
		figure("cpuUsPerRequest", 0, lots), figure("cpuUsPerS", 0, lots),
	),
	under("rules",
		span("askEvery", 100_000),
		span("cold", 100_000),
		span("drainGrace", 10_000),
		span("fall", 10_000),
		span("graceToAnswer", 0),
		figure("startCapacity", 0, 1),
		figure("tipMultiple", 0, lots),
	),
	under("penalties",
		figure("probe", 0, lots), figure("connection", 0, lots), figure("handshake", 0, lots),
		figure("crossZone", 0, lots), figure("discovery", 0, lots), figure("fleet", 0, lots),
		figure("lateFail", 0, lots), figure("moves", 0, lots), figure("origin", 0, lots),
		figure("peer", 0, lots), figure("waste", 0, lots),
	),
	under("clients", flag("marksRetry")),
	under("scoringMix",
		figure("whole", 0, lots), figure("worstClass", 0, lots),
		figure("worstTenant", 0, lots), figure("worstWindow", 0, lots),
	),
	under("report", choice("via", "way of reports", "answers", "probe", "none"),
		list("fields", 100, label(""))),
	under("specifics",
		label("mode"), label("notes"), count("originKind", -1, 1000), span("originFall", 10_000),
		figure("originFallMultiple", 0, lots), label("reportX0"), label("reportX1"),
	),
	list("realms", 100_000, under("",
		label("name"), figure("quotaPerS", 0, lots), figure("share", 0, lots))),
	list("failureDomains", 10_000, label("")),
	list("kinds", 10_000, label("")),
	list("tiers", 10_000, label("")),
	label("az"), label("workload"),
	figure("overShareWorth", 0, lots),
	span("round", 0),
	count("stage", 0, 1000),
}
