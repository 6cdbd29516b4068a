// The schema of the configuration file, for Check. It lists every key under the platform's name, including the keys that a router
// does not use. Check reports any other key as unknown.

package settings

// kind is the type of a value.
type kind uint8

// Types of values.
const (
	object kind = iota
	array
	text
	boolean // true or false
	integer
	number
	address // IP:PORT
)

// field describes one key, the file itself or the items of an array.
type field struct {
	name       string // empty for the file and for items of arrays
	kind       kind
	required   bool
	unit       string                                  // unit of a number
	lo, hi     float64                                 // range of a number; hi also limits the length of an array
	minMicros  int64                                   // smaller times, except 0, are taken for milliseconds and rejected; 0 for no such check
	choices    []string                                // allowed values of a text
	choiceNoun string                                  // noun for the allowed values in messages
	callable   bool                                    // set for an address to which a router connects, whose port must not be 0
	fields     []field                                 // keys of an object
	items      *field                                  // items of an array
	validate   func(c *checker, path string, v values) // checks beyond the range, such as across the keys of an object; may be nil
}

// Bounds of settings.
const (
	MaxTime     = 86_400_000_000 // microseconds; one day
	MaxCores    = 1024           // processor cores
	MaxMemoryMB = 1 << 20        // MiB of memory
	MinSockets  = 64             // descriptors; a router does not work with fewer

	maxTextBytes = 256  // maximum length of a text in bytes
	maxNumber    = 1e12 // maximum of numbers without a specific bound
)

// timeField returns a field for an optional time, which is 0 if absent.
func timeField(name string, minMicros int64) field {
	return field{name: name, kind: integer, unit: "µs", hi: MaxTime, minMicros: minMicros}
}

// requiredTime returns a field for a required time of at least 1 µs.
func requiredTime(name string, minMicros int64) field {
	f := timeField(name, minMicros)
	f.required, f.lo = true, 1
	return f
}

func booleanField(name string) field { return field{name: name, kind: boolean} }
func textField(name string) field    { return field{name: name, kind: text} }

func integerField(name string, lo, hi float64) field {
	return field{name: name, kind: integer, lo: lo, hi: hi}
}
func numberField(name string, lo, hi float64) field {
	return field{name: name, kind: number, lo: lo, hi: hi}
}
func objectField(name string, fields ...field) field { return field{name: name, fields: fields} }

func arrayField(name string, maxItems float64, items field) field {
	return field{name: name, kind: array, hi: maxItems, items: &items}
}

func choiceField(name, noun string, choices ...string) field {
	return field{name: name, kind: text, choices: choices, choiceNoun: noun}
}

func required(f field) field {
	f.required = true
	return f
}

func withValidation(f field, validate func(c *checker, path string, v values)) field {
	f.validate = validate
	return f
}

// fileSchema describes the configuration file.
var fileSchema = objectField("",
	textField("name"),
	required(field{name: "listen", kind: address}),
	required(field{name: "discovery", kind: address, callable: true}),
	withValidation(textField("seed"), (*checker).checkSeed),
	objectField("limits",
		numberField("cores", 0, MaxCores),
		field{name: "memory_mb", kind: integer, unit: "MiB", hi: MaxMemoryMB},
		withValidation(field{name: "sockets", kind: integer, unit: "descriptors", hi: 1 << 24}, (*checker).checkSockets)),
	field{name: "peer_listen", kind: address},
	arrayField("peers", 10_000, field{kind: address, callable: true}),
	field{name: "peers_all", kind: address, callable: true},
	objectField("known",
		required(integerField("index", 0, 1<<62)),
		booleanField("snapshot"),
		required(arrayField("endpoints", 100_000, withValidation(objectField("",
			required(textField("name")),
			textField("address"),
			textField("zone"),
			textField("type"),
			integerField("group", -1<<31, 1<<31),
			required(choiceField("status", "status", "in_service", "terminating", "terminated")),
			numberField("weight", 0, maxNumber),
			withValidation(field{name: "since_ms", kind: integer, unit: "ms", hi: 9_223_372_036_854_775}, (*checker).checkSince),
		), (*checker).checkEndpoint)))),
	required(objectField("settings", routerSettings...)),
)

// routerSettings lists the keys of the object that Parse decodes. The simulator's first message to a router holds the same object.
var routerSettings = []field{
	required(integerField("instances", 1, 100_000)),
	integerField("me", 0, 100_000),
	choiceField("discovery", "discovery mode", "subscribe", "automatic"),
	choiceField("weights", "kind of weights", "none", "nominal", "rough", "live"),
	choiceField("countedBy", "count", "request", "work"),
	required(withValidation(arrayField("categories", 1000, withValidation(objectField("",
		required(textField("name")),
		required(choiceField("effect", "effect", "read_like", "idempotency_key", "non_idempotent")),
		choiceField("dedupScope", "dedupScope", "all", "zone", "cell"),
		timeField("keyTtl", 10_000),
		requiredTime("aim", 5_000),
		requiredTime("hardLimit", 5_000),
		required(numberField("worth", 0, maxNumber)),
		numberField("lateWorth", 0, 1),
		numberField("aimStretch", 0, maxNumber),
		booleanField("stream"),
	), (*checker).checkClass)), (*checker).checkClasses)),
	objectField("limits",
		booleanField("cancel"), booleanField("probes"), booleanField("secondCopies"), booleanField("retryAfter"), booleanField("peerMessages"),
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
	objectField("clients", booleanField("marksRetry")),
	objectField("scoringMix",
		numberField("whole", 0, maxNumber), numberField("worstClass", 0, maxNumber),
		numberField("worstTenant", 0, maxNumber), numberField("worstWindow", 0, maxNumber),
	),
	objectField("report", choiceField("via", "reporting mode", "answers", "probe", "none"),
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
