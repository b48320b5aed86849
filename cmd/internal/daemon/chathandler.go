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

// chat serves POST /v1/chat/completions, streamed and whole.
func (f *front) chat(c echo.Context) error {
	a, err := f.begin(c)
	if err != nil {
		return f.refuse(c, a, err)
	}
	request, parsed, err := f.chatRequest(c, a)
	if err != nil {
		return f.refuse(c, a, err)
	}
	key, err := f.claimKey(c.Request().Context(), a, c.Request().Header)
	if err != nil {
		return f.refuse(c, a, err)
	}
	var writer answerWriter
	if parsed.Stream {
		writer = newStreamWriter(c, f, a)
	} else {
		writer = &wholeWriter{
			context: c,
		}
	}
	call := a.call(placement.ChatKey(a.workspace.Name, request.Chat))
	call.Key = quarantine.KeyOf(a.workspace.Name, http.MethodPost, c.Request().URL.Path+"#"+request.Chat, request.Body)
	err = f.dispatcher.Chat(c.Request().Context(), call, request, writer.event)
	key.ended(err)
	f.ended(a, err)
	if err != nil {
		return writer.fail(asFailure(err), a.repeatable)
	}
	return writer.finish()
}

// answerWriter passes an answer on to the caller.
type answerWriter interface {
	event(event slipwick.StreamEvent) error
	finish() error
	fail(failure *slipwick.Error, repeatable bool) error
}

// chatRequest reads the body and finds where it goes.
func (f *front) chatRequest(c echo.Context, a *arrival) (slipwick.ChatRequest, *chat.Request, error) {
	body, err := f.body(c)
	if err != nil {
		return slipwick.ChatRequest{}, nil, err
	}
	parsed, err := chat.Parse(body)
	if err != nil {
		return slipwick.ChatRequest{}, nil, err
	}
	a.pools = a.routes.pools(a.workspace.Name, parsed.Model, configuration.PoolEngine)
	if len(a.pools) == 0 {
		return slipwick.ChatRequest{}, nil, &slipwick.Error{
			Kind:    slipwick.KindUnknownModel,
			Message: "workspace " + a.workspace.Name + " has no rule for model " + parsed.Model,
			Remedy:  "use a model that the workspace has, or have a rule added",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	header := c.Request().Header
	if err := a.setRepeatable(header); err != nil {
		return slipwick.ChatRequest{}, nil, err
	}
	if !parsed.Stream {
		if body, err = chat.Streamed(body); err != nil {
			return slipwick.ChatRequest{}, nil, err
		}
	}
	return slipwick.ChatRequest{
		ID:        a.id,
		Workspace: a.workspace.Name,
		Chat:      parsed.Identity(header.Get(chat.IdentityHeader)),
		Priority:  a.workspace.Priority,
		Key:       header.Get(keyHeader),
		Body:      bytes.Clone(body),
	}, parsed, nil
}

// wholeWriter joins an answer and sends it when it is whole.
type wholeWriter struct {
	context    echo.Context
	completion chat.Completion
}

func (w *wholeWriter) event(event slipwick.StreamEvent) error {
	if event.End {
		return nil
	}
	if err := w.completion.Add(event.Data); err != nil {
		return &slipwick.Error{
			Kind:    slipwick.KindBackendError,
			Message: "the engine sent a chunk that can't be read",
			Remedy:  "check the engine's version",
			Outcome: slipwick.OutcomeFailed,
			Cause:   err,
		}
	}
	return nil
}

func (w *wholeWriter) finish() error {
	w.context.Response().Header().Set(slipwick.OutcomeHeader, string(slipwick.OutcomeCompleted))
	return w.context.JSON(http.StatusOK, w.completion)
}

func (w *wholeWriter) fail(failure *slipwick.Error, repeatable bool) error {
	return writeFailure(w.context, failure, repeatable)
}
