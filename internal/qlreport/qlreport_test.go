package qlreport

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"
)

var _update = flag.Bool("update", false, "rewrite the golden files")

func TestPage(t *testing.T) {
	result := func(day string, minute int, worth float64, broken ...string) DayResult {
		return DayResult{
			Deployment:  "depot",
			Day:         day,
			StartedAt:   time.Date(2026, 12, 4, 9, minute, 0, 0, time.UTC),
			Commit:      "0123456789abcdef",
			Worth:       worth,
			Served:      0.9,
			Refused:     0.25,
			Failed:      0.01,
			BrokenRules: broken,
			Costs: map[string]float64{
				"memory":    0.01,
				"processor": 0.02,
			},
		}
	}
	page, plots, err := Make([]DayResult{result("quiet-1", 1, 0.5), result("scale-1", 2, 0.7), result("quiet-1", 3, 0.4, "LOST")})
	if err != nil {
		t.Fatal(err)
	}
	const path = "testdata/page.golden"
	if *_update {
		if err := os.WriteFile(path, []byte(page), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if page != string(want) {
		t.Errorf("page: got\n%s\nwant\n%s", page, want)
	}
	for _, m := range _measures {
		svg := string(plots["depot-"+m.name+".svg"])
		if !strings.Contains(svg, "<svg") || !strings.Contains(svg, "scale-1") {
			t.Errorf("plot of %s: got %d bytes without its days", m.name, len(svg))
		}
	}
}
