package events

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// The events. Numbers 1xx are about the process, 2xx about requests, 3xx about the platform
// and the configuration, 4xx about backend servers, 5xx about other routers.
var (
	RouterStarted = Event{
		Number:  101,
		Name:    "router-started",
		Level:   zerolog.InfoLevel,
		Meaning: "The router has opened its addresses; first_start says that its whole fleet starts for the first time.",
		Remedy:  "None.",
	}
	DrainStarted = Event{
		Number:  102,
		Name:    "drain-started",
		Level:   zerolog.InfoLevel,
		Meaning: "The router was asked to stop: it is no longer ready, and continues to serve requests in progress.",
		Remedy:  "None; wait for drain-finished.",
	}
	DrainFinished = Event{
		Number:  103,
		Name:    "drain-finished",
		Level:   zerolog.InfoLevel,
		Meaning: "The router has stopped; in_time is false if it interrupted requests, whose number a gateway gives as cut.",
		Remedy:  "If in_time is false, raise limits.drain of a router, or the grace period of a gateway.",
	}
	CachesKnown = Event{
		Number:  105,
		Name:    "homes-learnt",
		Level:   zerolog.InfoLevel,
		Meaning: "A starting router knows which engines have cached which prompts; missing is the number of unknown engines.",
		Remedy:  "None; a prompt that a missing engine has cached is found when it is next used there, or prefilled again.",
	}
	SettingsReloaded = Event{
		Number: 104,
		Name:   "settings-reloaded",
		Level:  zerolog.InfoLevel,
		Meaning: "The process applied changed settings: seeds, grace period, admission control, " +
			"limits on load, cold servers and retries.",
		Remedy: "None; restart the process if other settings, such as listen addresses, have changed.",
	}
	SettingsRefused = Event{
		Number:  106,
		Name:    "settings-refused",
		Level:   zerolog.WarnLevel,
		Meaning: "The changed settings could not be read; the previous ones stay in use.",
		Remedy:  "Correct the settings as the field cause says.",
	}
	AdmissionChanged = Event{
		Number: 108,
		Name:   "admission-changed",
		Level:  zerolog.InfoLevel,
		Meaning: "The choice of backend servers by their speed started or ended, by the settings or with the first " +
			"pace that a server reported; permits says whether requests need permits.",
		Remedy: "None; the setting admission decides.",
	}
	BoxSuspended = Event{
		Number:  107,
		Name:    "box-suspended",
		Level:   zerolog.WarnLevel,
		Meaning: "The box was suspended for slept_ms, which its monotonic clock omits; all known data is that much older.",
		Remedy:  "Find out why the box was suspended; callers that waited have probably disconnected.",
	}
	ProcessPaused = Event{
		Number: 111,
		Name:   "process-paused",
		Level:  zerolog.WarnLevel,
		Meaning: "The process did not run for about paused_ms: it was stopped, or had no processor. Requests that arrived " +
			"meanwhile are read now.",
		Remedy: "Find out what stopped the process or used the processor; callers that waited have probably disconnected.",
	}
	RequestEnded = Event{
		Number:  201,
		Name:    "request-ended",
		Level:   zerolog.DebugLevel,
		Meaning: "A request ended; the field outcome has its result.",
		Remedy:  "None.",
	}
	RequestBroken = Event{
		Number:  202,
		Name:    "request-broken",
		Level:   zerolog.WarnLevel,
		Meaning: "A request ended with the outcome failed or unknown.",
		Remedy:  "Read the fields kind and cause, which say what failed.",
	}
	RequestRefused = Event{
		Number:  203,
		Name:    "request-refused",
		Level:   zerolog.InfoLevel,
		Meaning: "A gateway refused a request before it chose a backend server; the field reason says why.",
		Remedy:  "Compare the request's host, path and key with the configuration in force.",
	}
	AttemptFailed = Event{
		Number: 204,
		Name:   "attempt-failed",
		Level:  zerolog.InfoLevel,
		Meaning: "Attempt failed: not-run, unsent, failed, broken (may have run), cut (partly forwarded), " +
			"left (by caller). If it broke off, parts has the keys of the shared parts of the prompt. With a response, " +
			"connection is the number of its connection, exchanges how many came before on that one, and named " +
			"whether the response names the request.",
		Remedy: "Follow the request by its ID; check the backend server if many attempts at it fail.",
	}
	RequestUnserved = Event{
		Number: 205,
		Name:   "request-unserved",
		Level:  zerolog.WarnLevel,
		Meaning: "A request ended without a complete response; the field reason says why it was not retried. Of its " +
			"sends, unsent reached no backend server, and after possible_runs the request may have run.",
		Remedy: "Read the attempt-failed lines with the same request ID.",
	}
	RequestOverloaded = Event{
		Number: 208,
		Name:   "request-overloaded",
		Level:  zerolog.InfoLevel,
		Meaning: "A request got no permit for its pool and was refused without being run; " +
			"the caller was told to return after retry_after_ms. unsent and possible_runs are as in event 205.",
		Remedy: "Read the pool-overloaded lines of the pool: single refusals are logged within a small budget.",
	}
	PoolOverloaded = Event{
		Number: 209,
		Name:   "pool-overloaded",
		Level:  zerolog.WarnLevel,
		Meaning: "In the last 10 s requests for a pool waited for permits or were refused at this gateway; " +
			"most is the workspace with the most refusals.",
		Remedy: "Run slipwick gateways --pools; add backend servers, or limit the workspace by max_in_flight or max_work.",
	}
	ResponseClosed = Event{
		Number: 210,
		Name:   "response-closed",
		Level:  zerolog.InfoLevel,
		Meaning: "A response without length and chunks ended with its connection, after `events` complete events " +
			"of a stream and rest_bytes further bytes; request_error says why the request could not be written whole.",
		Remedy: "None, unless the caller got an incomplete response: let the backend server send chunks or a length.",
	}
	RequestQuarantined = Event{
		Number:  206,
		Name:    "request-quarantined",
		Level:   zerolog.WarnLevel,
		Meaning: "The request with this key crashed several backend servers, `ends` times in all; it is refused from now on.",
		Remedy:  "Find the caller by lines of event 204 with the same key; have the crash fixed in the engine.",
	}
	RequestReleased = Event{
		Number:  207,
		Name:    "request-released",
		Level:   zerolog.InfoLevel,
		Meaning: "A quarantined request completed when it was tried again, and is served from now on.",
		Remedy:  "None.",
	}
	StreamContinued = Event{
		Number: 214,
		Name:   "stream-continued",
		Level:  zerolog.InfoLevel,
		Meaning: "A backend server continues a stream, within the same response or in that to a later request of the " +
			"caller, which names the request `resumes`; version is that of the server's software. origin says how it is " +
			"known: forwarded in this response, told by a router, or only-version if no other one can have begun the stream.",
		Remedy: "None; the lines of an earlier server of the stream have the same request, or the one in resumes.",
	}
	RetryBudgetSpent = Event{
		Number: 213,
		Name:   "retry-budget-spent",
		Level:  zerolog.InfoLevel,
		Meaning: "This router's share of the retry budget for a pool is used up: `retries` for `requests` within the " +
			"window, the extra divided by `routers`; fleet_retries and fleet_requests are those of all routers, as far " +
			"as they are known. age_ms is the time since its first request.",
		Remedy: "Check the pool's servers; compare routers with the size of the fleet.",
	}
	PromptPartQuarantined = Event{
		Number: 211,
		Name:   "prompt-part-quarantined",
		Level:  zerolog.WarnLevel,
		Meaning: "The prompt part with this key accounts for crashes of several backend servers, `ends` in all; " +
			"requests with it are refused from now on.",
		Remedy: "Find the requests by lines of event 204 whose parts have the key; have the crash fixed in the engine.",
	}
	PromptPartReleased = Event{
		Number: 212,
		Name:   "prompt-part-released",
		Level:  zerolog.InfoLevel,
		Meaning: "Requests with a quarantined prompt part are served again: one completed, or another part " +
			"accounts for the crashes.",
		Remedy: "None.",
	}
	StrayResponse = Event{
		Number: 215,
		Name:   "stray-response",
		Level:  zerolog.WarnLevel,
		Meaning: "A response was skipped where that to `request` was due: it belongs to the request `named`, or to none. " +
			"connection and exchanges are as in event 204.",
		Remedy: "Check the backend server: it responds twice, or sends bytes that are no response.",
	}
	ConfigurationInForce = Event{
		Number: 301,
		Name:   "configuration-in-force",
		Level:  zerolog.InfoLevel,
		Meaning: "A newer version of the configuration is in force; the store confirmed it age_ms ago, " +
			"through `hops` routers. The field anonymous says that no request needs a key.",
		Remedy: "If anonymous is true though callers have keys, write a list of workspaces, which may be empty.",
	}
	PlatformCallFailed = Event{
		Number:  302,
		Name:    "platform-call-failed",
		Level:   zerolog.WarnLevel,
		Meaning: "A call to the platform failed or its response was invalid; the router keeps its data and retries.",
		Remedy:  "Check the platform's address and health.",
	}
	FeedRecovered = Event{
		Number:  303,
		Name:    "store-regained",
		Level:   zerolog.InfoLevel,
		Meaning: "A feed is followed again, from the store or through another router, after calls had failed.",
		Remedy:  "None; timeline and revision identify the state of the store, hops is the number of routers in between.",
	}
	StoreRestored = Event{
		Number: 304,
		Name:   "store-fell-back",
		Level:  zerolog.WarnLevel,
		Meaning: "The store was restored from a backup: acknowledged later writes are lost until they are written again. " +
			"timeline and revision are the restored store's; steady_ms is the time without outage and restore, 0 if unknown.",
		Remedy: "Find out who restored the store; changes at this router follow in events 301, 405 and 406.",
	}
	ConnectionsLimited = Event{
		Number: 109,
		Name:   "connections-limited",
		Level:  zerolog.WarnLevel,
		Meaning: "The router lacks processor time while callers open `offered` connections a second, `usual` being " +
			"usual; it closes some of them unread, and connections after their responses.",
		Remedy: "Check the load balancer if this goes on: other routers get fewer connections than this one.",
	}
	ConnectionsUnlimited = Event{
		Number:  110,
		Name:    "connections-unlimited",
		Level:   zerolog.InfoLevel,
		Meaning: "The router accepts all connections again, after event 109.",
		Remedy:  "None.",
	}
	RelayUnresponsive = Event{
		Number: 305,
		Name:   "relay-unresponsive",
		Level:  zerolog.InfoLevel,
		Meaning: "The router that this one followed did not respond within waited_ms; others are asked. " +
			"The own copy of the feed was last confirmed age_ms ago.",
		Remedy: "Check that router and the network if it goes on; event 501 says when it is taken for dead.",
	}
	EvacuationsChanged = Event{
		Number:  406,
		Name:    "evacuations-changed",
		Level:   zerolog.InfoLevel,
		Meaning: "Evacuations of data centres began or ended; those in the field evacuated get no new requests.",
		Remedy:  "None if it was planned; slipwick gateways shows which routers have applied it.",
	}
	EvacuationsUnknown = Event{
		Number:  407,
		Name:    "evacuations-unknown",
		Level:   zerolog.WarnLevel,
		Meaning: "A starting router did not get the list of evacuated data centres in time, and serves without it.",
		Remedy:  "Check the platform's health; the list is applied as soon as it arrives.",
	}
	RolloutChanged = Event{
		Number: 410,
		Name:   "rollout-changed",
		Level:  zerolog.InfoLevel,
		Meaning: "A rollout was ordered, or this router came to a verdict; " +
			"the fields have the outcomes of both versions that it is based on.",
		Remedy: "None; a version that was rolled back failed or was slow more often than the previous one.",
	}
	RolloutNotWritten = Event{
		Number:  411,
		Name:    "rollout-not-written",
		Level:   zerolog.WarnLevel,
		Meaning: "The state of a rollout could not be written to the store; the routers apply the verdict nevertheless.",
		Remedy:  "Check the platform's health; the write is retried.",
	}
	RolloutsUnknown = Event{
		Number:  413,
		Name:    "rollouts-unknown",
		Level:   zerolog.WarnLevel,
		Meaning: "A starting router did not get the rollout orders in time, and sends to new versions as to any other.",
		Remedy:  "Check the platform's health; the orders are applied as soon as they arrive.",
	}
	BackendsChanged = Event{
		Number: 405,
		Name:   "backends-changed",
		Level:  zerolog.InfoLevel,
		Meaning: "The list of backend servers changed; leaving servers get no new requests. " +
			"`leaving` and `cold` count such servers among the changed entries.",
		Remedy: "None if it was planned.",
	}
	BackendEjected = Event{
		Number:  402,
		Name:    "backend-ejected",
		Level:   zerolog.WarnLevel,
		Meaning: "A backend server failed several requests or probes in a row and gets no new requests for a while.",
		Remedy:  "Check the backend server; it is tried again automatically.",
	}
	BackendRestored = Event{
		Number:  403,
		Name:    "backend-restored",
		Level:   zerolog.InfoLevel,
		Meaning: "A backend server that was ejected or leaving gets new requests again, few at first.",
		Remedy:  "None.",
	}
	CacheListFailed = Event{
		Number:  404,
		Name:    "cache-list-failed",
		Level:   zerolog.WarnLevel,
		Meaning: "An engine did not list its cached prompts to a starting router; they may be prefilled again elsewhere.",
		Remedy:  "None; check the engine if this happens again.",
	}
	EntryRefused = Event{
		Number:  408,
		Name:    "entry-refused",
		Level:   zerolog.WarnLevel,
		Meaning: "A store entry is invalid; reason names the field and the rule. An invalid backend server is not used.",
		Remedy:  "Find out who wrote the object that the field entry names; it is used again once it is valid.",
	}
	BackendNotice = Event{
		Number: 409,
		Name:   "backend-notice",
		Level:  zerolog.InfoLevel,
		Meaning: "A backend server announced that it is leaving, in a response to this router or another, " +
			"or asked this router to send no requests for rest_ms. There is a further line if the list had an earlier " +
			"incarnation of it.",
		Remedy: "None if it was planned; a server that often asks for a pause has too little capacity.",
	}
	PaceInvalid = Event{
		Number:  412,
		Name:    "pace-invalid",
		Level:   zerolog.WarnLevel,
		Meaning: "A backend server reported an invalid pace, which is ignored; logged once for each run of a server.",
		Remedy:  "Correct the server: the fourth value of its load header is a number from 10 to 10000, usually 100.",
	}
	PoolBrittle = Event{
		Number: 417,
		Name:   "pool-brittle",
		Level:  zerolog.WarnLevel,
		Meaning: "Servers of a pool begin to say that one falls over if it rejects more than this number of requests " +
			"within a second.",
		Remedy: "Add backend servers if requests are refused meanwhile; see event 209.",
	}
	PathLost = Event{
		Number: 414,
		Name:   "path-lost",
		Level:  zerolog.WarnLevel,
		Meaning: "This router can't connect to any backend server, and sends requests through other routers; " +
			"others is false if it knows none.",
		Remedy: "Check the network between this router's box and the backend servers.",
	}
	ServerPathLost = Event{
		Number: 416,
		Name:   "server-path-lost",
		Level:  zerolog.WarnLevel,
		Meaning: "This router can't connect to a backend server that another router reaches, and sends requests to it " +
			"through others until it can.",
		Remedy: "Check the network between this router's box and the backend server.",
	}
	PathRestored = Event{
		Number: 415,
		Name:   "path-restored",
		Level:  zerolog.InfoLevel,
		Meaning: "This router connects to backend servers itself again; `tunnels` went through other routers " +
			"since the start.",
		Remedy: "None.",
	}
	RouterDied = Event{
		Number:  501,
		Name:    "router-died",
		Level:   zerolog.WarnLevel,
		Meaning: "The router in the field died fails probes; others now own its backend servers and claim journals, if any.",
		Remedy:  "None if its box was replaced; otherwise check the box and the network.",
	}
	BackendLeaving = Event{
		Number:  401,
		Name:    "backend-leaving",
		Level:   zerolog.InfoLevel,
		Meaning: "A backend server is leaving and gets no new requests.",
		Remedy:  "None if it was planned.",
	}
)

// All returns the events in ascending order of their numbers.
func All() []Event {
	return []Event{
		RouterStarted,
		DrainStarted,
		DrainFinished,
		SettingsReloaded,
		CachesKnown,
		SettingsRefused,
		BoxSuspended,
		AdmissionChanged,
		ConnectionsLimited,
		ConnectionsUnlimited,
		ProcessPaused,
		RequestEnded,
		RequestBroken,
		RequestRefused,
		AttemptFailed,
		RequestUnserved,
		RequestQuarantined,
		RequestReleased,
		RequestOverloaded,
		PoolOverloaded,
		ResponseClosed,
		PromptPartQuarantined,
		PromptPartReleased,
		RetryBudgetSpent,
		StreamContinued,
		StrayResponse,
		ConfigurationInForce,
		PlatformCallFailed,
		FeedRecovered,
		StoreRestored,
		RelayUnresponsive,
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
		PaceInvalid,
		RolloutsUnknown,
		PathLost,
		PathRestored,
		ServerPathLost,
		PoolBrittle,
		RouterDied,
	}
}

// Markdown returns the catalogue as the text of docs/EVENTS.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString("# Log events\n\nEvery log line of `slipwickd` carries `event` and `name`. " +
		"`go test ./internal/events -update`, run in `cmd`, writes this page.\n\n" +
		"| event | name | level | meaning | remedy |\n|---|---|---|---|---|\n")
	for _, e := range All() {
		fmt.Fprintf(&text, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Remedy)
	}
	return text.String()
}
