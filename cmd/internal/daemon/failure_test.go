package daemon

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/slipwick/slipwick"
)

// TestFaultOfTheRouterIsNoUnreachableBackend guards against callers and operators who look for the cause of the
// router's own fault at a backend server.
func TestFaultOfTheRouterIsNoUnreachableBackend(t *testing.T) {
	failure := toError(errors.New("the router is at fault"))
	if failure.Kind != slipwick.KindInternal || failure.Outcome != slipwick.OutcomeUnknown {
		t.Errorf("got %+v, want a fault of the router with the outcome unknown", failure)
	}
	recorder := httptest.NewRecorder()
	c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), recorder)
	if err := writeFailure(c, failure, false); err != nil {
		t.Fatal(err)
	}
	got := recorder.Body.String()
	if recorder.Code != http.StatusInternalServerError || !strings.Contains(got, `"code":"internal"`) {
		t.Errorf("got status %d with the body %s, want 500 with the code internal", recorder.Code, got)
	}
}
