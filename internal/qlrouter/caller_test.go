package qlrouter

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

// TestStopWhileARetryWaitsIsNotToldAsNotRun guards against a refusal that says that a
// request has not run, after an attempt that may have.
func TestStopWhileARetryWaitsIsNotToldAsNotRun(t *testing.T) {
	router := New(Config{
		Settings: &qlsetting.Router{
			ID:   "r1",
			Zone: "z1",
		},
		Log: zap.NewNop(),
	})
	router.abortAll()
	for _, test := range []struct {
		maybeSent bool
		want      qlcode.Code
	}{
		{maybeSent: false, want: qlcode.Stopping},
		{maybeSent: true, want: qlcode.StopCut},
	} {
		recorder := httptest.NewRecorder()
		x := router.newExchange(httptest.NewRequest(http.MethodPost, "/v1/completions", http.NoBody))
		x.maybeSent = test.maybeSent
		router.endWaiting(recorder, x)
		if got, want := recorder.Header().Get(qlcode.HeaderName), test.want.String(); got != want {
			t.Errorf("sent %v: got code %s, want %s", test.maybeSent, got, want)
		}
	}
}

// TestPanicEndsOnlyItsRequest has the handling of requests panic before and
// after they may have been sent. The result code must say which, and the
// process must survive.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	router := New(Config{
		Settings: &qlsetting.Router{
			ID:   "r1",
			Zone: "z1",
		},
		Log: zap.NewNop(),
	})
	for _, test := range []struct {
		maybeSent bool
		want      qlcode.Code
	}{
		{maybeSent: false, want: qlcode.RouterFault},
		{maybeSent: true, want: qlcode.RouterFaultSent},
	} {
		recorder := httptest.NewRecorder()
		func() {
			x := router.newExchange(httptest.NewRequest(http.MethodPost, "/v1/completions", http.NoBody))
			x.maybeSent = test.maybeSent
			defer router.recoverRequest(recorder, x)
			panic("a defect")
		}()
		if got, want := recorder.Header().Get(qlcode.HeaderName), test.want.String(); got != want {
			t.Errorf("panic with sent %v: got code %s, want %s", test.maybeSent, got, want)
		}
	}
}
