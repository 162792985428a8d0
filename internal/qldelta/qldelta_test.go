package qldelta_test

import (
	"bytes"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qldelta"
)

func FuzzApplyIsExact(f *testing.F) {
	for _, seed := range [][2]string{
		{"", ""},
		{"aaaa", "aa"},
		{"aa", "aaaa"},
		{`{"a":1,"b":2}`, `{"a":1,"b":20}`},
		{"abc", "xyz"},
	} {
		f.Add([]byte(seed[0]), []byte(seed[1]))
	}
	f.Fuzz(func(t *testing.T, base, want []byte) {
		delta := qldelta.New(base, want)
		got, err := delta.Apply(base)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("got %q and %v, want %q", got, err, want)
		}
	})
}

func TestApplyRejectsAnotherBase(t *testing.T) {
	for _, delta := range []qldelta.Config{
		{Prefix: 3, Suffix: 2},
		{Prefix: -1},
		{Suffix: -1},
		{Prefix: 1 << 62, Suffix: 1 << 62},
	} {
		if got, err := qldelta.Make(delta).Apply([]byte("abcd")); err == nil {
			t.Errorf("delta %+v: got %q, want an error", delta, got)
		}
	}
}
