package qlrouter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/internal/qlupstream"
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

// TestAnswerToOldCallerStatesItsLength guards against a cut answer that looks complete: without a
// length, one to a caller with HTTP/1.0 ends with its connection.
func TestAnswerToOldCallerStatesItsLength(t *testing.T) {
	// The server of net/http adds a length to shorter answers.
	want := strings.Repeat("x", 9000)
	const id = "q1"
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(qlupstream.RequestIDHeader, id)
		_, _ = io.WriteString(w, want)
	}))
	t.Cleanup(upstream.Close)
	answer := qlupstream.New(qlupstream.Config{
		MaxAnswerBytes: 1 << 20,
	}).Do(t.Context(), qlupstream.Call{
		Address:   strings.TrimPrefix(upstream.URL, "http://"),
		Method:    http.MethodGet,
		Path:      "/",
		RequestID: id,
	})
	if err := answer.Err(); err != nil {
		t.Fatal(err)
	}
	router := New(Config{
		Settings: &qlsetting.Router{
			ID:   "r1",
			Zone: "z1",
		},
		Log: zap.NewNop(),
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		router.writeAnswer(w, router.newExchange(request), answer)
	}))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if got := string(body); got != want || err != nil || response.ContentLength != int64(len(want)) {
		t.Errorf("got %d bytes, length %d, error %v, want %d", len(got), response.ContentLength, err, len(want))
	}
}
