package qlevent

import (
	"testing"
)

const _stream = "id: 1\ndata: a\n\nid: 2\ndata: b id: 9\n\nid: 3\ndata: c\n\n"

func TestWriteReturnsWholeEventsForAnyChunkSize(t *testing.T) {
	for size := 1; size <= len(_stream); size++ {
		var s Splitter
		got := ""
		for start := 0; start < len(_stream); start += size {
			events := string(s.Write([]byte(_stream[start:min(start+size, len(_stream))])))
			if n := len(events); n > 0 && events[n-2:] != "\n\n" {
				t.Fatalf("in chunks of %d: got %q, want complete events", size, events)
			}
			got += events
		}
		if got != _stream || len(s.Rest()) != 0 {
			t.Errorf("in chunks of %d: got %q and the rest %q, want the whole stream and no rest", size, got, s.Rest())
		}
	}
}

func TestIncompleteEventIsBuffered(t *testing.T) {
	var s Splitter
	if got, want := string(s.Write([]byte("id: 1\ndata: a\n\nid: 2\nda"))), "id: 1\ndata: a\n\n"; got != want {
		t.Errorf("events: got %q, want %q", got, want)
	}
	if got, want := string(s.Rest()), "id: 2\nda"; got != want {
		t.Errorf("rest: got %q, want %q", got, want)
	}
}

func TestLastID(t *testing.T) {
	for _, c := range []struct {
		events string
		want   int64
		wantOK bool
	}{
		{events: _stream, want: 3, wantOK: true},
		{events: "data: b id: 9\n\n"},
		{events: "id:4\ndata: x\n\n", want: 4, wantOK: true},
		{events: "id: x\n\n"},
		{events: ""},
	} {
		got, ok := LastID([]byte(c.events))
		if ok != c.wantOK || ok && got != c.want {
			t.Errorf("LastID(%q): got %d, %v, want %d, %v", c.events, got, ok, c.want, c.wantOK)
		}
	}
}

func TestAfterSkipsReceivedEvents(t *testing.T) {
	for _, c := range []struct {
		last   int64
		want   string
		wantOK bool
	}{
		{last: 0, want: _stream, wantOK: true},
		{last: 2, want: "id: 3\ndata: c\n\n", wantOK: true},
		{last: 3, want: "", wantOK: true},
		{last: -1, want: _stream, wantOK: false},
	} {
		got, ok := After([]byte(_stream), c.last)
		if string(got) != c.want || ok != c.wantOK {
			t.Errorf("After(%d): got %q, %v, want %q, %v", c.last, got, ok, c.want, c.wantOK)
		}
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(_stream), 3)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		cut = min(max(cut, 0), len(stream))
		var s Splitter
		got := string(s.Write(stream[:cut])) + string(s.Write(stream[cut:])) + string(s.Rest())
		if got != string(stream) {
			t.Errorf("cut at %d: got %q, want %q", cut, got, stream)
		}
	})
}

// TestEventWithoutEndIsRefused writes an event that never ends.
func TestEventWithoutEndIsRefused(t *testing.T) {
	var s Splitter
	chunk := make([]byte, 8<<10)
	for written := 0; written <= 2*MaxEventBytes; written += len(chunk) {
		if s.TooLong() {
			if written < MaxEventBytes {
				t.Errorf("refused after %d bytes, want %d at least", written, MaxEventBytes)
			}
			return
		}
		s.Write(chunk)
	}
	t.Errorf("an event of more than %d bytes was buffered", 2*MaxEventBytes)
}
