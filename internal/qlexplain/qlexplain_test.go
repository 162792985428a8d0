package qlexplain

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var _update = flag.Bool("update", false, "rewrite the golden files")

func readLogs(t *testing.T, id string) *Timeline {
	t.Helper()
	timeline := New(id)
	for _, name := range []string{"r3.log", "r1.log", "r2.log"} {
		file, err := os.Open(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := timeline.Read(name, file); err != nil {
			t.Fatal(err)
		}
		_ = file.Close()
	}
	return timeline
}

func TestTimeline(t *testing.T) {
	var got bytes.Buffer
	if err := readLogs(t, "abc").Write(&got); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join("testdata", "abc.golden")
	if *_update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("timeline: got\n%s\nwant\n%s", got.String(), want)
	}
}

func TestRequestThatIsNotFound(t *testing.T) {
	if err := readLogs(t, "zzz").Write(&bytes.Buffer{}); err == nil {
		t.Error("no error for a request that no line names")
	}
}

func TestFieldValue(t *testing.T) {
	const text = `time=1 request=a error="two words" router=r1 last-request=b`
	for key, want := range map[string]string{"time": "1", "request": "a", "error": "two words", "router": "r1", "none": ""} {
		if got := fieldValue(text, key); got != want {
			t.Errorf("field %s: got %q, want %q", key, got, want)
		}
	}
}
