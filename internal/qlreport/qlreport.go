// Package qlreport renders the results of benchmark days over time: for each
// deployment a table of its days, and plots of worth, refusals and cost.
//
// A day is a scripted workload of the benchmark, such as "quiet-1". Worth is the
// benchmark's score of a day: what callers got of what they were due, less costs.
//
// # Usage
//
//	page, plots, err := qlreport.Make(results)
//	// page is Markdown that links to the plots; plots holds them as SVG by file name
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

// DayResult is the result of one run of a benchmark day on a deployment.
type DayResult struct {
	Deployment string
	Day        string
	StartedAt  time.Time
	// Commit is the commit that the tested code was based on.
	Commit string
	// Worth is the share of what callers were due that they got, less costs.
	// It is not capped at 1.
	Worth float64
	// Served, Refused and Failed are fractions of the requests. Refusals are
	// counted by attempt.
	Served  float64
	Refused float64
	Failed  float64
	// BrokenRules lists the benchmark's rules that were broken, by name.
	BrokenRules []string
	// Costs is what was deducted from the worth, by kind of cost.
	Costs map[string]float64
}

const (
	_width  = 8 * vg.Inch
	_height = 4 * vg.Inch
	// _commitLength is how many digits of a commit's hash are shown.
	_commitLength = 9
)

// Make returns the page as Markdown and the plots as SVG by file name. Results
// are expected in order of time.
func Make(results []DayResult) (page string, plots map[string][]byte, err error) {
	deployments := make(map[string][]DayResult)
	for _, result := range results {
		deployments[result.Deployment] = append(deployments[result.Deployment], result)
	}
	var text strings.Builder
	text.WriteString("# Days of the bench over time\n\nMade by `quetzallane report` from the journal. Standard days with their own seed;\n" +
		"worth is that before it is cut at 1.\n")
	plots = make(map[string][]byte)
	for _, name := range slices.Sorted(maps.Keys(deployments)) {
		fmt.Fprintf(&text, "\n## %s\n\n", name)
		writeDayTable(&text, deployments[name])
		for _, measure := range _measures {
			file := name + "-" + measure.name + ".svg"
			if plots[file], err = drawPlot(name, measure, deployments[name]); err != nil {
				return "", nil, errors.Annotatef(err, "plot %s", file)
			}
			fmt.Fprintf(&text, "\n![%s of %s](%s)\n", measure.name, name, file)
		}
	}
	return text.String(), plots, nil
}

// measure is a quantity of a day that is plotted over time.
type measure struct {
	name  string
	value func(result *DayResult) float64
}

var _measures = []measure{
	{name: "worth", value: func(result *DayResult) float64 { return result.Worth }},
	{name: "refused", value: func(result *DayResult) float64 { return result.Refused }},
	{name: "cost", value: func(result *DayResult) float64 {
		total := 0.0
		for _, cost := range result.Costs {
			total += cost
		}
		return total
	}},
}

// groupByDay returns the results of each day, in their order.
func groupByDay(results []DayResult) map[string][]DayResult {
	days := make(map[string][]DayResult)
	for _, result := range results {
		days[result.Day] = append(days[result.Day], result)
	}
	return days
}

// writeDayTable writes a table with one row for each day: its latest result and
// its best worth.
func writeDayTable(text *strings.Builder, results []DayResult) {
	text.WriteString("| day | plays | latest | commit | worth | best | served | refused | failed | largest cost | rules broken |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	days := groupByDay(results)
	for _, day := range slices.Sorted(maps.Keys(days)) {
		dayResults := days[day]
		latest := &dayResults[len(dayResults)-1]
		best := slices.MaxFunc(dayResults, func(a, b DayResult) int { return cmp.Compare(a.Worth, b.Worth) })
		cost := "none"
		if len(latest.Costs) > 0 {
			names := slices.Sorted(maps.Keys(latest.Costs))
			name := slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(latest.Costs[a], latest.Costs[b]) })
			cost = fmt.Sprintf("%s, %.3f", name, latest.Costs[name])
		}
		broken := "none"
		if len(latest.BrokenRules) > 0 {
			broken = strings.Join(latest.BrokenRules, ", ")
		}
		fmt.Fprintf(text, "| %s | %d | %s | %.*s | %.3f | %.3f | %.3f | %.3f | %.3f | %s | %s |\n",
			day, len(dayResults), latest.StartedAt.UTC().Format("2006-01-02 15:04"), _commitLength, latest.Commit, latest.Worth, best.Worth,
			latest.Served, latest.Refused, latest.Failed, cost, broken)
	}
}

// drawPlot returns an SVG plot of a measure, with one curve for each day over its
// results.
func drawPlot(name string, m measure, results []DayResult) ([]byte, error) {
	p := plot.New()
	p.Title.Text = name + ": " + m.name
	p.X.Label.Text = "plays, in order of time"
	p.Y.Label.Text = m.name
	p.Legend.Top = true
	days := groupByDay(results)
	for i, day := range slices.Sorted(maps.Keys(days)) {
		points := make(plotter.XYs, 0, len(days[day]))
		for n := range days[day] {
			points = append(points, plotter.XY{
				X: float64(n + 1),
				Y: m.value(&days[day][n]),
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
