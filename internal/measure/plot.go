package measure

import (
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The dimensions of a plot.
const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// groupWidth is the width of the bars of a category, plus the width of one bar.
	groupWidth = 2 * vg.Centimeter
)

// barColors are distinguishable in grayscale too.
var barColors = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255},
	color.RGBA{R: 255, G: 187, B: 120, A: 255},
	color.RGBA{R: 150, G: 150, B: 150, A: 255},
}

// BarChart is a bar chart with one bar for each policy in each category.
type BarChart struct {
	Title, Unit string
	Categories  []string
	Policies    []string
	// Values are indexed by policy, then by category.
	Values [][]float64
}

// NewBarChart returns a chart of one figure of the rows of a part and a
// deployment for the given policies. The categories are the patterns of the first
// policy, in the order of the rows.
func NewBarChart(rows []Row, part, deployment, figure string, policies []string) BarChart {
	chart := BarChart{Title: part + ", " + deployment + ": " + figure, Policies: policies, Values: make([][]float64, len(policies))}
	for i, policy := range policies {
		for r := range rows {
			row := &rows[r]
			if row.Part != part || row.Deployment != deployment || row.Policy != policy {
				continue
			}
			value, ok := row.Find(figure)
			if !ok {
				continue
			}
			if i == 0 {
				chart.Categories = append(chart.Categories, row.Pattern)
			}
			chart.Values[i] = append(chart.Values[i], value)
		}
	}
	return chart
}

// WriteSVG draws the chart into a file.
func (b BarChart) WriteSVG(path string) error {
	p := plot.New()
	p.Title.Text = b.Title
	p.Y.Label.Text = b.Unit
	p.Legend.Top = true
	width := groupWidth / vg.Length(len(b.Policies)+1)
	for i, values := range b.Values {
		bars, err := plotter.NewBarChart(plotter.Values(values), width)
		if err != nil {
			return err
		}
		bars.Color = barColors[i%len(barColors)]
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(2*i-len(b.Policies)+1) / 2
		p.Add(bars)
		p.Legend.Add(b.Policies[i], bars)
	}
	p.NominalX(b.Categories...)
	p.X.Tick.Label.Rotation = 0.35
	p.X.Tick.Label.XAlign = draw.XRight
	return writeSVG(p, path)
}

func writeSVG(p *plot.Plot, path string) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// ChangeChart is a chart of differences with their confidence intervals.
type ChangeChart struct {
	Title, Unit string
	Names       []string
	Values      []float64
	// Intervals are the half-widths of the confidence intervals.
	Intervals []float64
}

// errorPoints holds points with error bars.
type errorPoints struct {
	plotter.XYs
	plotter.YErrors
}

// WriteSVG draws the chart into a file.
func (c ChangeChart) WriteSVG(path string) error {
	p := plot.New()
	p.Title.Text = c.Title
	p.Y.Label.Text = c.Unit
	points := errorPoints{XYs: make(plotter.XYs, len(c.Values)), YErrors: make(plotter.YErrors, len(c.Values))}
	for i, value := range c.Values {
		points.XYs[i] = plotter.XY{X: float64(i), Y: value}
		points.YErrors[i].Low, points.YErrors[i].High = -c.Intervals[i], c.Intervals[i]
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), dots, bars)
	p.NominalX(c.Names...)
	p.X.Tick.Label.Rotation = 0.35
	p.X.Tick.Label.XAlign = draw.XRight
	return writeSVG(p, path)
}
