// Package qlreport makes a page of what days of the bench came to, over time:
// tables, and a plot of worth and refusals for each deployment.
//
// # Usage
//
//	page, plots, err := qlreport.Make(plays)
//	// page is Markdown that names the plots' files; plots holds them as SVG
package qlreport

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// DayResult is one day of a deployment that was played.
type DayResult struct {
	Deployment string
	Day        string
	StartedAt  time.Time
	// Commit is the one that the played code was based on.
	Commit string
	// Worth is what callers got of what they were due, less costs; Served,
	// Refused and Failed are parts of requests, refusals counted by attempt.
	Worth   float64
	Served  float64
	Refused float64
	Failed  float64
	// Broken names the rules that were broken.
	BrokenRules []string
	// Costs is what was taken from the worth, by what for.
	Costs map[string]float64
}

const (
	_width  = 8 * vg.Inch
	_height = 4 * vg.Inch
	// _shownCommit is how much of a commit's name is shown.
	_shownCommit = 9
)

// Make returns the page, and the plots by file name.
func Make(plays []DayResult) (page string, plots map[string][]byte, err error) {
	deployments := make(map[string][]DayResult)
	for _, play := range plays {
		deployments[play.Deployment] = append(deployments[play.Deployment], play)
	}
	var text strings.Builder
	text.WriteString("# Days of the bench over time\n\nMade by `quetzallane report` from the journal. Standard days with their own seed;\n" +
		"worth is that before it is cut at 1.\n")
	plots = make(map[string][]byte)
	for _, name := range slices.Sorted(maps.Keys(deployments)) {
		fmt.Fprintf(&text, "\n## %s\n\n", name)
		writeLatest(&text, deployments[name])
		for _, measure := range _measures {
			file := name + "-" + measure.name + ".svg"
			if plots[file], err = draw(name, measure, deployments[name]); err != nil {
				return "", nil, errors.Annotatef(err, "plot %s", file)
			}
			fmt.Fprintf(&text, "\n![%s of %s](%s)\n", measure.name, name, file)
		}
	}
	return text.String(), plots, nil
}

// measure is what a plot shows.
type measure struct {
	name string
	of   func(play *DayResult) float64
}

var _measures = []measure{
	{name: "worth", of: func(play *DayResult) float64 { return play.Worth }},
	{name: "refused", of: func(play *DayResult) float64 { return play.Refused }},
	{name: "cost", of: func(play *DayResult) float64 {
		total := 0.0
		for _, cost := range play.Costs {
			total += cost
		}
		return total
	}},
}

func byDay(plays []DayResult) map[string][]DayResult {
	days := make(map[string][]DayResult)
	for _, play := range plays {
		days[play.Day] = append(days[play.Day], play)
	}
	return days
}

// writeLatest writes a table of each day's latest play.
func writeLatest(text *strings.Builder, plays []DayResult) {
	text.WriteString("| day | plays | latest | commit | worth | best | served | refused | failed | largest cost | rules broken |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	days := byDay(plays)
	for _, day := range slices.Sorted(maps.Keys(days)) {
		all := days[day]
		last := &all[len(all)-1]
		best := slices.MaxFunc(all, func(a, b DayResult) int { return cmp.Compare(a.Worth, b.Worth) })
		cost := "none"
		if len(last.Costs) > 0 {
			names := slices.Sorted(maps.Keys(last.Costs))
			name := slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(last.Costs[a], last.Costs[b]) })
			cost = fmt.Sprintf("%s, %.3f", name, last.Costs[name])
		}
		broken := "none"
		if len(last.BrokenRules) > 0 {
			broken = strings.Join(last.BrokenRules, ", ")
		}
		fmt.Fprintf(text, "| %s | %d | %s | %.*s | %.3f | %.3f | %.3f | %.3f | %.3f | %s | %s |\n",
			day, len(all), last.StartedAt.UTC().Format("2006-01-02 15:04"), _shownCommit, last.Commit, last.Worth, best.Worth,
			last.Served, last.Refused, last.Failed, cost, broken)
	}
}

// draw plots a measure of each day over its plays.
func draw(name string, m measure, plays []DayResult) ([]byte, error) {
	p := plot.New()
	p.Title.Text = name + ": " + m.name
	p.X.Label.Text = "plays, in order of time"
	p.Y.Label.Text = m.name
	p.Legend.Top = true
	days := byDay(plays)
	for i, day := range slices.Sorted(maps.Keys(days)) {
		points := make(plotter.XYs, 0, len(days[day]))
		for n := range days[day] {
			points = append(points, plotter.XY{
				X: float64(n + 1),
				Y: m.of(&days[day][n]),
			})
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, errors.Trace(err)
		}
		line.Color = plotutil.Color(i)
		marks.Color = plotutil.Color(i)
		p.Add(line, marks)
		p.Legend.Add(day, line, marks)
	}
	writer, err := p.WriterTo(_width, _height, "svg")
	if err != nil {
		return nil, errors.Trace(err)
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return nil, errors.Trace(err)
	}
	return svg.Bytes(), nil
}
