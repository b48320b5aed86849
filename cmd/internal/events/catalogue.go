package events

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// The events. Numbers 1xx are the process, 2xx requests, 3xx the platform and
// the configuration, 4xx backend servers, 5xx other routers.
var (
	RouterStarted = Event{
		Number:  101,
		Name:    "router-started",
		Level:   zerolog.InfoLevel,
		Meaning: "The router listens.",
		Remedy:  "None.",
	}
	DrainStarted = Event{
		Number:  102,
		Name:    "drain-started",
		Level:   zerolog.InfoLevel,
		Meaning: "The router was asked to stop: it is no longer ready, and requests in progress go on.",
		Remedy:  "None; wait for drain-finished.",
	}
	DrainFinished = Event{
		Number:  103,
		Name:    "drain-finished",
		Level:   zerolog.InfoLevel,
		Meaning: "The router has stopped; the field cut counts requests that it cut off.",
		Remedy:  "If cut is above 0, raise limits.drain.",
	}
	HomesLearnt = Event{
		Number:  105,
		Name:    "homes-learnt",
		Level:   zerolog.InfoLevel,
		Meaning: "A starting router has learnt which engines keep which prompts; missing counts those it knows nothing of.",
		Remedy:  "None; prompts of missing engines are read again, and found by use.",
	}
	SettingsReloaded = Event{
		Number:  104,
		Name:    "settings-reloaded",
		Level:   zerolog.InfoLevel,
		Meaning: "The process read its settings anew: seeds, grace period and the bound on repeats.",
		Remedy:  "Restart the process for what it listens on.",
	}
	SettingsRefused = Event{
		Number:  106,
		Name:    "settings-refused",
		Level:   zerolog.WarnLevel,
		Meaning: "The changed settings could not be read; those before stay in use.",
		Remedy:  "Mend what the field cause lists.",
	}
	BoxSuspended = Event{
		Number:  107,
		Name:    "box-suspended",
		Level:   zerolog.WarnLevel,
		Meaning: "The box was suspended for slept_ms, which its steady clock leaves out; all that is known is older.",
		Remedy:  "Find out who suspends boxes; callers that waited have left.",
	}
	RequestEnded = Event{
		Number:  201,
		Name:    "request-ended",
		Level:   zerolog.DebugLevel,
		Meaning: "A request ended; the field outcome says how.",
		Remedy:  "None.",
	}
	RequestBroken = Event{
		Number:  202,
		Name:    "request-broken",
		Level:   zerolog.WarnLevel,
		Meaning: "A request ended as failed or unknown.",
		Remedy:  "Look at the backend server that the field backend names.",
	}
	RequestRefused = Event{
		Number:  203,
		Name:    "request-refused",
		Level:   zerolog.InfoLevel,
		Meaning: "A gateway turned a request away before it chose a backend server; the field reason says why.",
		Remedy:  "Compare host, path and key with the configuration in force.",
	}
	AttemptFailed = Event{
		Number:  204,
		Name:    "attempt-failed",
		Level:   zerolog.InfoLevel,
		Meaning: "A backend server did not bring the answer: not-run, unsent, failed, broken, or the caller left.",
		Remedy:  "Follow the request by its ID; look at the backend server if many of its attempts fail.",
	}
	RequestUnserved = Event{
		Number:  205,
		Name:    "request-unserved",
		Level:   zerolog.WarnLevel,
		Meaning: "A request ended without a whole answer; the field reason says why it was not sent again.",
		Remedy:  "Read its attempt-failed lines, by the same request ID.",
	}
	RequestQuarantined = Event{
		Number:  206,
		Name:    "request-quarantined",
		Level:   zerolog.WarnLevel,
		Meaning: "Backend servers ended under what the field key names, as many as ends says; it gets no further one.",
		Remedy:  "Find its caller by the lines 204 with the same key; have the engine mended that ends under it.",
	}
	RequestReleased = Event{
		Number:  207,
		Name:    "request-released",
		Level:   zerolog.InfoLevel,
		Meaning: "A request that was quarantined ran to its end when it was tried again, and is served from now on.",
		Remedy:  "None.",
	}
	ConfigurationInForce = Event{
		Number:  301,
		Name:    "configuration-in-force",
		Level:   zerolog.InfoLevel,
		Meaning: "A newer version of the configuration is in force.",
		Remedy:  "None.",
	}
	PlatformCallFailed = Event{
		Number:  302,
		Name:    "platform-call-failed",
		Level:   zerolog.WarnLevel,
		Meaning: "The platform gave no usable answer. The router goes on with what it has and tries again.",
		Remedy:  "Check the platform's address and health.",
	}
	StoreRegained = Event{
		Number:  303,
		Name:    "store-regained",
		Level:   zerolog.InfoLevel,
		Meaning: "A feed is followed again, from the store or another router, after calls that failed.",
		Remedy:  "None; timeline and revision say which state of the store was taken, hops through how many routers.",
	}
	StoreFellBack = Event{
		Number: 304,
		Name:   "store-fell-back",
		Level:  zerolog.WarnLevel,
		Meaning: "The store came back from a copy of itself: what it had acknowledged since is gone until it is " +
			"written again. From steady_ms ago on, timeline and revision count from the copy.",
		Remedy: "Ask who restored the store; what this router changed by it follows in 301, 405 and 406.",
	}
	EvacuationsChanged = Event{
		Number:  406,
		Name:    "evacuations-changed",
		Level:   zerolog.InfoLevel,
		Meaning: "Data centres were evacuated or taken back; those in the field evacuated get nothing new.",
		Remedy:  "None if it was planned; slipwick gateways shows which routers follow.",
	}
	EvacuationsUnknown = Event{
		Number:  407,
		Name:    "evacuations-unknown",
		Level:   zerolog.WarnLevel,
		Meaning: "A starting router could not learn in time which data centres are evacuated, and serves without knowing.",
		Remedy:  "Check the platform's health; the list is taken as soon as it is known.",
	}
	RolloutChanged = Event{
		Number: 410,
		Name:   "rollout-changed",
		Level:  zerolog.InfoLevel,
		Meaning: "A rollout was ordered, or this router came to a verdict: " +
			"the answers of both versions that it goes by are in the fields.",
		Remedy: "None; a version that was rolled back failed or was slow more often than the one before it.",
	}
	RolloutNotWritten = Event{
		Number:  411,
		Name:    "rollout-not-written",
		Level:   zerolog.WarnLevel,
		Meaning: "The state of a rollout could not be written to the store; the verdict is in force at the routers.",
		Remedy:  "Check the platform's health; it is written again.",
	}
	BackendsChanged = Event{
		Number: 405,
		Name:   "backends-changed",
		Level:  zerolog.InfoLevel,
		Meaning: "The list of backend servers changed; leaving ones get nothing new. " +
			"`leaving` and `cold` count those among the changed entries.",
		Remedy: "None if it was planned.",
	}
	BackendEjected = Event{
		Number:  402,
		Name:    "backend-ejected",
		Level:   zerolog.WarnLevel,
		Meaning: "A backend server failed several requests or probes in a row and gets no new work for a while.",
		Remedy:  "Look at the backend server; it is tried again by itself.",
	}
	BackendRestored = Event{
		Number:  403,
		Name:    "backend-restored",
		Level:   zerolog.InfoLevel,
		Meaning: "A backend server that was ejected or leaving gets new work again, slowly at first.",
		Remedy:  "None.",
	}
	CacheListFailed = Event{
		Number:  404,
		Name:    "cache-list-failed",
		Level:   zerolog.WarnLevel,
		Meaning: "An engine did not tell a starting router which prompts it has cached; they may be read again elsewhere.",
		Remedy:  "None; look at the engine if it goes on.",
	}
	EntryRefused = Event{
		Number:  408,
		Name:    "entry-refused",
		Level:   zerolog.WarnLevel,
		Meaning: "An object of the store can't be read, for the field and rule in reason; a backend server's is out of use.",
		Remedy:  "Find who wrote the object that the field entry names; it is in use again when it is good.",
	}
	BackendNotice = Event{
		Number: 409,
		Name:   "backend-notice",
		Level:  zerolog.InfoLevel,
		Meaning: "A backend server said that it leaves, in an answer to this router or another, " +
			"or for how long (rest_ms) it wants nothing from this one.",
		Remedy: "None if it was planned; one that often asks for rest has too little room.",
	}
	RouterDied = Event{
		Number:  501,
		Name:    "router-died",
		Level:   zerolog.WarnLevel,
		Meaning: "Another router, in the field died, answers no probes; what it owned has new owners.",
		Remedy:  "None if its box was replaced; else check the box and the network.",
	}
	BackendLeaving = Event{
		Number:  401,
		Name:    "backend-leaving",
		Level:   zerolog.InfoLevel,
		Meaning: "A backend server leaves and gets no new work.",
		Remedy:  "None if it was planned.",
	}
)

// All lists the events by number.
func All() []Event {
	return []Event{
		RouterStarted,
		DrainStarted,
		DrainFinished,
		SettingsReloaded,
		HomesLearnt,
		SettingsRefused,
		BoxSuspended,
		RequestEnded,
		RequestBroken,
		RequestRefused,
		AttemptFailed,
		RequestUnserved,
		RequestQuarantined,
		RequestReleased,
		ConfigurationInForce,
		PlatformCallFailed,
		StoreRegained,
		StoreFellBack,
		BackendLeaving,
		BackendEjected,
		BackendRestored,
		CacheListFailed,
		BackendsChanged,
		EvacuationsChanged,
		EvacuationsUnknown,
		EntryRefused,
		BackendNotice,
		RolloutChanged,
		RolloutNotWritten,
		RouterDied,
	}
}

// Markdown writes the catalogue as docs/EVENTS.md has it.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Log events\n\nEvery log line of `slipwickd` carries `event` and `name`. " +
		"`go test ./internal/events -update`, run in `cmd`, writes this page.\n\n" +
		"| event | name | level | meaning | remedy |\n|---|---|---|---|---|\n")
	for _, e := range All() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Remedy)
	}
	return page.String()
}
