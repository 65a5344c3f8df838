package comparison

import (
	"fmt"
	"io"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

// Plot shows a metric over load for each variant of a deployment.
type Plot struct {
	// File is the name of the file without its folder.
	File string
	// Title is the title of the plot.
	Title string
	// Axis is the label of the vertical axis.
	Axis string
	// Value returns the metric of a row.
	Value func(r *Row) float64
}

// Plots returns the plots of the deployment of rows.
func Plots(rows []Row) []Plot {
	d := rows[0].Case.Deployment
	plots := []Plot{{
		File: d.Name + "-recomputed.svg", Title: d.Name + ": share of prompt tokens recomputed", Axis: "share",
		Value: func(r *Row) float64 { return r.Result.Recomputed },
	}, {
		File: d.Name + "-not-answered.svg", Title: d.Name + ": requests not answered in time", Axis: "share",
		Value: notAnswered,
	}}
	for i, c := range d.Classes {
		if c.Service != "" {
			continue
		}
		plots = append(plots, Plot{
			File: d.Name + "-" + c.Name + "-ttft.svg", Title: d.Name + ": TTFT p95 of " + c.Name, Axis: "seconds",
			Value: func(r *Row) float64 { return r.Result.Classes[i].P95.Seconds() },
		})
	}
	return plots
}

// Write renders p over rows as SVG.
func (p Plot) Write(w io.Writer, rows []Row) error {
	graph := chart.Chart{
		Title:      p.Title,
		Width:      900,
		Height:     480,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 190, Right: 20, Bottom: 20}},
		XAxis:      chart.XAxis{Name: "load (part of the capacity)", Ticks: ticks()},
		YAxis:      chart.YAxis{Name: p.Axis},
		Series:     p.series(rows),
	}
	graph.YAxisSecondary.Style.Hidden = true
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	return graph.Render(chart.SVG, w)
}

// series returns a line for each variant in the order of the rows.
func (p Plot) series(rows []Row) []chart.Series {
	lines := map[string]*chart.ContinuousSeries{}
	var all []chart.Series
	for i := range rows {
		name := rows[i].Case.Variant.Name
		s, ok := lines[name]
		if !ok {
			s = &chart.ContinuousSeries{Name: name, Style: style(name, len(all))}
			lines[name] = s
			all = append(all, s)
		}
		s.XValues = append(s.XValues, rows[i].Case.Load)
		s.YValues = append(s.YValues, p.Value(&rows[i]))
	}
	return all
}

// ticks returns the tick marks of the plotted loads.
func ticks() []chart.Tick {
	all := make([]chart.Tick, len(plottedLoads))
	for i, l := range plottedLoads {
		all[i] = chart.Tick{Value: l, Label: fmt.Sprintf("%.2f", l)}
	}
	return all
}

// palette has a color for each pair of baselines; the second of a pair is dashed.
var palette = []string{"1f77b4", "2ca02c", "d62728", "9467bd"}

// style returns the line style of a variant; the policy is thick and black.
func style(name string, i int) chart.Style {
	if name == PolicyName {
		return chart.Style{StrokeColor: chart.ColorBlack, StrokeWidth: 4}
	}
	s := chart.Style{StrokeColor: drawing.ColorFromHex(palette[i/2%len(palette)]), StrokeWidth: 2}
	if i%2 == 1 {
		s.StrokeDashArray = []float64{6, 4}
	}
	return s
}
