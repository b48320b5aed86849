package daemon

import (
	"bytes"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/chat"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/placement"
	"github.com/slipwick/slipwick/quarantine"
)

// handleChat serves POST /v1/chat/completions, with a streamed or a buffered response.
func (f *frontend) handleChat(c echo.Context) error {
	cr, err := f.accept(c)
	if err != nil {
		return f.failRequest(c, cr, err)
	}
	defer cr.release()
	request, parsed, err := f.chatRequest(c, cr)
	if err != nil {
		return f.failRequest(c, cr, err)
	}
	claim, err := f.claimKey(c.Request().Context(), cr, c.Request().Header)
	if err != nil {
		return f.failRequest(c, cr, err)
	}
	var writer responseWriter
	if parsed.Stream {
		writer = newStreamWriter(c, f, cr)
	} else {
		writer = &bufferedWriter{
			context:  c,
			frontend: f,
			held:     cr.held,
		}
	}
	call := cr.dispatchCall(placement.ChatKey(cr.workspace.Name, request.Chat))
	call.QuarantineKey = quarantine.KeyOf(
		cr.workspace.Name, http.MethodPost, c.Request().URL.Path+"#"+request.Chat, request.Body)
	err = f.dispatcher.Chat(c.Request().Context(), call, request, writer.handleEvent)
	claim.recordOutcome(err)
	f.recordEnd(cr, err)
	if err != nil {
		return writer.fail(toError(err), cr.repeatable)
	}
	return writer.finish()
}

// responseWriter forwards an engine's response to the caller.
type responseWriter interface {
	// handleEvent sends one event of the response or keeps it for finish.
	handleEvent(event slipwick.StreamEvent) error
	// finish ends a response that is complete.
	finish() error
	// fail ends the response with an error; repeatable tells whether the request may be sent again.
	fail(failure *slipwick.Error, repeatable bool) error
}

// chatRequest reads and parses the body and sets the pools that the request may go to.
func (f *frontend) chatRequest(c echo.Context, cr *callerRequest) (slipwick.ChatRequest, *chat.Request, error) {
	body, err := f.body(c, cr)
	if err != nil {
		return slipwick.ChatRequest{}, nil, err
	}
	if err := f.reserveParsed(c, cr, body); err != nil {
		return slipwick.ChatRequest{}, nil, err
	}
	parsed, err := chat.Parse(body)
	if err != nil {
		return slipwick.ChatRequest{}, nil, err
	}
	cr.pools = cr.routes.pools(cr.workspace.Name, parsed.Model, configuration.PoolEngine)
	if len(cr.pools) == 0 {
		return slipwick.ChatRequest{}, nil, &slipwick.Error{
			Kind:    slipwick.KindUnknownModel,
			Message: "workspace " + cr.workspace.Name + " has no rule for model " + parsed.Model,
			Remedy:  "use a model that the workspace has, or have a rule added",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	header := c.Request().Header
	if err := cr.setRepeatable(header); err != nil {
		return slipwick.ChatRequest{}, nil, err
	}
	// The engine streams the response also if the caller wants it whole; bufferedWriter collects it.
	if !parsed.Stream {
		if body, err = chat.EnableStreaming(body); err != nil {
			return slipwick.ChatRequest{}, nil, err
		}
	}
	return slipwick.ChatRequest{
		ID:             cr.id,
		Workspace:      cr.workspace.Name,
		Chat:           parsed.Identity(header.Get(chat.IdentityHeader)),
		Priority:       cr.workspace.Priority,
		IdempotencyKey: header.Get(idempotencyKeyHeader),
		Body:           bytes.Clone(body),
	}, parsed, nil
}
