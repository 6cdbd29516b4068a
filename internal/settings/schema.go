// The schema of the configuration file, for Check: every key in the platform's words, also those that a router does not read.
// A key that is not part of it is unknown.

package settings

// shape is the form of a value.
type shape uint8

// Shapes of values.
const (
	object shape = iota
	array
	text
	truth // true or false
	integer
	number
	address // IP:PORT
)

// field describes one key.
type field struct {
	name       string // empty for the file and for items of arrays
	shape      shape
	required   bool
	unit       string                                // of a number
	lo, hi     float64                               // of a number; hi also bounds the length of an array
	minMicros  int64                                 // a smaller time was meant in milliseconds; 0 for no such check
	words      []string                              // the only values of a text
	wordsAre   string                                // what the words are, for messages
	callable   bool                                  // an address that a router calls, whose port is not 0
	fields     []field                               // of an object
	items      *field                                // of an array
	checkWhole func(c *checker, at string, v values) // checks a value beyond its range; nil for none
}

// Bounds of what a platform may configure.
const (
	MaxTime     = 86_400_000_000 // microseconds: a day
	MaxCores    = 1024           // processor cores
	MaxMemoryMB = 1 << 20        // MiB of memory
	MinSockets  = 64             // descriptors, without which a router can't work

	maxTextBytes = 256  // bytes of a text
	maxNumber    = 1e12 // a figure without a bound of its own
)

// timeField is a time, 0 where it is left out.
func timeField(name string, minMicros int64) field {
	return field{name: name, shape: integer, unit: "µs", hi: MaxTime, minMicros: minMicros}
}

// requiredTime is a time of at least 1 µs that must be there.
func requiredTime(name string, minMicros int64) field {
	f := timeField(name, minMicros)
	f.required, f.lo = true, 1
	return f
}

func truthField(name string) field { return field{name: name, shape: truth} }
func textField(name string) field  { return field{name: name, shape: text} }

func integerField(name string, lo, hi float64) field {
	return field{name: name, shape: integer, lo: lo, hi: hi}
}
func numberField(name string, lo, hi float64) field {
	return field{name: name, shape: number, lo: lo, hi: hi}
}
func objectField(name string, fields ...field) field { return field{name: name, fields: fields} }

func arrayField(name string, maxItems float64, items field) field {
	return field{name: name, shape: array, hi: maxItems, items: &items}
}

func wordField(name, what string, words ...string) field {
	return field{name: name, shape: text, words: words, wordsAre: what}
}

func required(f field) field {
	f.required = true
	return f
}

func withCheck(f field, check func(c *checker, at string, v values)) field {
	f.checkWhole = check
	return f
}

// fileSchema describes the whole file.
var fileSchema = objectField("",
	textField("name"),
	required(field{name: "listen", shape: address}),
	required(field{name: "discovery", shape: address, callable: true}),
	withCheck(textField("seed"), (*checker).seed),
	objectField("limits",
		numberField("cores", 0, MaxCores),
		field{name: "memory_mb", shape: integer, unit: "MiB", hi: MaxMemoryMB},
		withCheck(field{name: "sockets", shape: integer, unit: "descriptors", hi: 1 << 24}, (*checker).sockets)),
	field{name: "peer_listen", shape: address},
	arrayField("peers", 10_000, field{shape: address, callable: true}),
	field{name: "peers_all", shape: address, callable: true},
	objectField("known",
		required(integerField("index", 0, 1<<62)),
		truthField("snapshot"),
		required(arrayField("endpoints", 100_000, withCheck(objectField("",
			required(textField("name")),
			textField("address"),
			textField("zone"),
			textField("type"),
			integerField("group", -1<<31, 1<<31),
			required(wordField("status", "status", "in_service", "terminating", "terminated")),
			numberField("weight", 0, maxNumber),
			withCheck(field{name: "since_ms", shape: integer, unit: "ms", hi: 9_223_372_036_854_775}, (*checker).since),
		), (*checker).endpoint)))),
	required(objectField("settings", routerSettings...)),
)

// routerSettings are the keys of the object that Parse reads, which the simulator's first message holds too.
var routerSettings = []field{
	required(integerField("instances", 1, 100_000)),
	integerField("me", 0, 100_000),
	wordField("discovery", "discovery mode", "subscribe", "automatic"),
	wordField("weights", "kind of weights", "none", "nominal", "rough", "live"),
	wordField("countedBy", "count", "request", "work"),
	required(withCheck(arrayField("categories", 1000, withCheck(objectField("",
		required(textField("name")),
		required(wordField("effect", "effect", "read_like", "idempotency_key", "non_idempotent")),
		wordField("dedupScope", "dedupScope", "all", "zone", "cell"),
		timeField("keyTtl", 10_000),
		requiredTime("aim", 5_000),
		requiredTime("hardLimit", 5_000),
		required(numberField("worth", 0, maxNumber)),
		numberField("lateWorth", 0, 1),
		numberField("aimStretch", 0, maxNumber),
		truthField("stream"),
	), (*checker).class)), (*checker).classes)),
	objectField("limits",
		truthField("cancel"), truthField("probes"), truthField("secondCopies"), truthField("retryAfter"), truthField("peerMessages"),
		integerField("maxAttempts", 1, 1000),
		timeField("maxRetryAfter", 5_000),
		integerField("maxOpen", 0, 1<<31),
		integerField("maxStreams", 0, 1<<31),
		timeField("dialTimeout", 5_000),
		timeField("keepalive", 100_000),
		numberField("cpuUsPerRequest", 0, maxNumber), numberField("cpuUsPerS", 0, maxNumber),
	),
	objectField("rules",
		timeField("askEvery", 100_000),
		timeField("cold", 100_000),
		timeField("drainGrace", 10_000),
		timeField("fall", 10_000),
		timeField("graceToAnswer", 0),
		numberField("startCapacity", 0, 1),
		numberField("tipMultiple", 0, maxNumber),
	),
	objectField("penalties",
		numberField("probe", 0, maxNumber), numberField("connection", 0, maxNumber), numberField("handshake", 0, maxNumber),
		numberField("crossZone", 0, maxNumber), numberField("discovery", 0, maxNumber), numberField("fleet", 0, maxNumber),
		numberField("lateFail", 0, maxNumber), numberField("moves", 0, maxNumber), numberField("origin", 0, maxNumber),
		numberField("peer", 0, maxNumber), numberField("waste", 0, maxNumber),
	),
	objectField("clients", truthField("marksRetry")),
	objectField("scoringMix",
		numberField("whole", 0, maxNumber), numberField("worstClass", 0, maxNumber),
		numberField("worstTenant", 0, maxNumber), numberField("worstWindow", 0, maxNumber),
	),
	objectField("report", wordField("via", "way of reports", "answers", "probe", "none"),
		arrayField("fields", 100, textField(""))),
	objectField("specifics",
		textField("mode"), textField("notes"), integerField("originKind", -1, 1000), timeField("originFall", 10_000),
		numberField("originFallMultiple", 0, maxNumber), textField("reportX0"), textField("reportX1"),
	),
	arrayField("realms", 100_000, objectField("",
		textField("name"), numberField("quotaPerS", 0, maxNumber), numberField("share", 0, maxNumber))),
	arrayField("failureDomains", 10_000, textField("")),
	arrayField("kinds", 10_000, textField("")),
	arrayField("tiers", 10_000, textField("")),
	textField("az"), textField("workload"),
	numberField("overShareWorth", 0, maxNumber),
	timeField("round", 0),
	integerField("stage", 0, 1000),
}
