package slipwick

// Kind is the typed cause of an Error. Kinds are stable: callers and scripts
// may match on them.
type Kind string

// The kinds of Error.
const (
	// KindInvalidRequest is a body, header or path that can't be read.
	KindInvalidRequest Kind = "invalid_request"
	// KindBodyTooLarge is a request body above the configured size.
	KindBodyTooLarge Kind = "body_too_large"
	// KindUnauthorized is a missing or wrong key.
	KindUnauthorized Kind = "unauthorized"
	// KindUnknownModel is a model for which the workspace has no rule.
	KindUnknownModel Kind = "unknown_model"
	// KindUnknownService is a service for which the workspace has no rule.
	KindUnknownService Kind = "unknown_service"
	// KindNotReady is a router without configuration, or one that drains.
	KindNotReady Kind = "not_ready"
	// KindOverloaded is a full queue or a wait beyond the deadline.
	KindOverloaded Kind = "overloaded"
	// KindWorkspaceLimit is a workspace at its own limit.
	KindWorkspaceLimit Kind = "workspace_limit"
	// KindNoBackend is a pool without a usable backend server.
	KindNoBackend Kind = "no_backend"
	// KindBackendUnreachable is a backend server that can't be connected to.
	KindBackendUnreachable Kind = "backend_unreachable"
	// KindBackendError is an error that the backend server answered.
	KindBackendError Kind = "backend_error"
	// KindStreamBroken is an answer that ended without its end marker.
	KindStreamBroken Kind = "stream_broken"
	// KindTimeout is a time limit passed after the request was sent.
	KindTimeout Kind = "timeout"
	// KindCancelled is a caller that went away.
	KindCancelled Kind = "cancelled"
	// KindKeyUsed is a request key that was claimed before.
	KindKeyUsed Kind = "key_used"
	// KindKeyExpired is a request key beyond the window of claims.
	KindKeyExpired Kind = "key_expired"
	// KindQuarantined is a request under which several backend servers ended.
	KindQuarantined Kind = "quarantined"
	// KindNotFound is an object that does not exist.
	KindNotFound Kind = "not_found"
	// KindConflict is a conditional write that another writer won.
	KindConflict Kind = "conflict"
	// KindUnavailable is a platform call that got no usable answer. The
	// write that it made may have taken effect.
	KindUnavailable Kind = "unavailable"
	// KindHistoryLost is a watch from a version that the store has forgotten
	// the changes since.
	KindHistoryLost Kind = "history_lost"
	// KindNotCurrent is a copy of the store's state that was not confirmed lately.
	KindNotCurrent Kind = "not_current"
	// KindInvalidConfiguration is a file or setting with mistakes.
	KindInvalidConfiguration Kind = "invalid_configuration"
)
