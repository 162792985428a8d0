package qlrouter

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

// TestPanicEndsOneRequest has requests panic before and after they may have
// been sent: the caller is told which, and the process goes on.
func TestPanicEndsOneRequest(t *testing.T) {
	router := New(Config{
		Settings: &qlsetting.Router{
			ID:   "r1",
			Zone: "z1",
		},
		Log: zap.NewNop(),
	})
	for _, test := range []struct {
		sent bool
		want qlcode.Code
	}{
		{sent: false, want: qlcode.RouterFault},
		{sent: true, want: qlcode.RouterFaultSent},
	} {
		recorder := httptest.NewRecorder()
		func() {
			x := router.newExchange(httptest.NewRequest(http.MethodPost, "/v1/completions", http.NoBody))
			x.sent = test.sent
			defer router.recoverRequest(recorder, x)
			panic("a defect")
		}()
		if got, want := recorder.Header().Get(qlcode.HeaderName), test.want.String(); got != want {
			t.Errorf("panic with sent %v: got code %s, want %s", test.sent, got, want)
		}
	}
}
