package report

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/stepcroft/stepcroft/internal/ledger"
)

// Size of the plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes a plot of the largest fairness gap over time, with a line for each policy, to a
// file. The file's extension selects the format, such as SVG, PNG or PDF.
func Plot(c Comparison, file string) error {
	p := plot.New()
	p.Title.Text = "Fairness gap, " + c.Scenario
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "largest requests"
	p.BackgroundColor = color.White
	p.Legend.Top, p.Legend.Left = true, true
	for i, policy := range c.Policies {
		points := make(plotter.XYs, len(policy.GapSeries))
		for j, gap := range policy.GapSeries {
			points[j] = plotter.XY{X: float64(j+1) * ledger.GapSeriesStepSeconds, Y: gap}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "draw policy %s", policy.Policy)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(policy.Policy, line)
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "write %s", file)
}
