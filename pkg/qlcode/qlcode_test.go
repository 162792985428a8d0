package qlcode_test

import (
	"os"
	"testing"

	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

func TestMarkdownMatchesDocs(t *testing.T) {
	want, err := os.ReadFile("../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	if got := qlcode.Markdown(); got != string(want) {
		t.Errorf("docs/RESULT-CODES.md is not up to date; run `go run ./cmd/quetzallane codes --markdown`")
	}
}

func TestRunFollowsFromFirstDigit(t *testing.T) {
	for _, code := range qlcode.All() {
		want := map[int]qlcode.Run{
			1: qlcode.RunYes,
			2: qlcode.RunNo,
			3: qlcode.RunUnknown,
		}[int(code)/100]
		if got := code.Run(); got != want {
			t.Errorf("code %d: got run %v, want %v", code, got, want)
		}
	}
}
