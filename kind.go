package slipwick

// Kind classifies an Error. Kinds are stable: callers and scripts may match on them.
type Kind string

// The kinds of Error.
const (
	// KindInvalidRequest is a body, header or path that cannot be parsed.
	KindInvalidRequest Kind = "invalid_request"
	// KindBodyTooLarge is a request body above the configured size.
	KindBodyTooLarge Kind = "body_too_large"
	// KindUnauthorized is a missing or invalid API key.
	KindUnauthorized Kind = "unauthorized"
	// KindUnknownModel is a model for which no rule of the configuration matches the workspace.
	KindUnknownModel Kind = "unknown_model"
	// KindUnknownService is a service for which no rule of the configuration matches the workspace.
	KindUnknownService Kind = "unknown_service"
	// KindNotReady is a router without configuration, or one that drains.
	KindNotReady Kind = "not_ready"
	// KindOverloaded is a request that got no slot: the queue was full, or the wait exceeded the
	// deadline or would have.
	KindOverloaded Kind = "overloaded"
	// KindWorkspaceLimit is a workspace that has reached its own limit of requests in flight.
	KindWorkspaceLimit Kind = "workspace_limit"
	// KindNoBackend is a pool that has no usable backend server.
	KindNoBackend Kind = "no_backend"
	// KindBackendUnreachable is a failure to connect to a backend server.
	KindBackendUnreachable Kind = "backend_unreachable"
	// KindNoPath is a router that reaches no backend server, neither itself nor through another router.
	KindNoPath Kind = "no_path"
	// KindBackendError is an error response of the backend server.
	KindBackendError Kind = "backend_error"
	// KindStreamBroken is a response that ended without its end marker.
	KindStreamBroken Kind = "stream_broken"
	// KindTimeout is a timeout after the request was sent.
	KindTimeout Kind = "timeout"
	// KindCancelled is a caller that disconnected.
	KindCancelled Kind = "cancelled"
	// KindKeyUsed is an idempotency key that another request has already claimed.
	KindKeyUsed Kind = "key_used"
	// KindKeyExpired is an idempotency key that is older than the time for which claims are kept.
	KindKeyExpired Kind = "key_expired"
	// KindQuarantined is a request that has crashed several backend servers.
	KindQuarantined Kind = "quarantined"
	// KindNotFound is an object that does not exist in the platform, or a request or path that an
	// engine does not know.
	KindNotFound Kind = "not_found"
	// KindConflict is a conditional write that failed because of another write.
	KindConflict Kind = "conflict"
	// KindUnavailable is a platform call without a usable response. A write
	// may have taken effect.
	KindUnavailable Kind = "unavailable"
	// KindHistoryLost is a watch from a position since which the store no longer
	// has all changes.
	KindHistoryLost Kind = "history_lost"
	// KindNotCurrent is a stale copy of the store's state: it was not confirmed recently.
	KindNotCurrent Kind = "not_current"
	// KindInternal is a fault of the router itself.
	KindInternal Kind = "internal"
	// KindInvalidConfiguration is an invalid configuration file or setting.
	KindInvalidConfiguration Kind = "invalid_configuration"
)
