package page

import (
	"bytes"
	"image/color"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The colours of the page and its charts.
var (
	textColor = color.RGBA{R: 0x1f, G: 0x29, B: 0x37, A: 0xff}
	lineColor = color.RGBA{R: 0xe5, G: 0xe7, B: 0xeb, A: 0xff}
	palette   = []color.RGBA{
		{R: 0x1d, G: 0x4e, B: 0x89, A: 0xff},
		{R: 0x3a, G: 0x8f, B: 0xb7, A: 0xff},
		{R: 0x8c, G: 0xc5, B: 0xc9, A: 0xff},
		{R: 0xd3, G: 0xe4, B: 0xcd, A: 0xff},
	}
	warmPalette = []color.RGBA{
		{R: 0xb2, G: 0x3a, B: 0x48, A: 0xff},
		{R: 0xe0, G: 0x7a, B: 0x5f, A: 0xff},
		{R: 0xf2, G: 0xb1, B: 0x66, A: 0xff},
		{R: 0xf4, G: 0xd3, B: 0x9a, A: 0xff},
		{R: 0x9c, G: 0xa3, B: 0xaf, A: 0xff},
	}
	normalColor = palette[1]
	alarmColor  = warmPalette[0]
)

const (
	chartWidth  = 17 * vg.Centimeter
	chartHeight = 7.5 * vg.Centimeter
	chartMargin = 4 * vg.Millimeter
	// rowHeight is the height of one row of a bar chart.
	rowHeight = 0.9 * vg.Centimeter
)

// newChart returns an empty chart in the page's style.
func newChart(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = 3 * vg.Millimeter
	p.Y.Label.Text = unit
	p.BackgroundColor = color.White
	style(&p.Title.TextStyle, 12)
	p.Title.TextStyle.Font.Weight = 1
	for _, axis := range []*plot.Axis{&p.X, &p.Y} {
		style(&axis.Label.TextStyle, 9)
		style(&axis.Tick.Label, 9)
		axis.LineStyle.Color = lineColor
		axis.Tick.LineStyle.Color = lineColor
		axis.Padding = 0
	}
	style(&p.Legend.TextStyle, 9)
	p.Legend.Top = true
	p.Legend.Padding = vg.Millimeter
	p.Legend.ThumbnailWidth = 4 * vg.Millimeter
	return p
}

func style(text *draw.TextStyle, size vg.Length) {
	text.Color = textColor
	text.Font = font.Font{Typeface: "Liberation", Variant: "Sans", Size: size}
}

func grid() *plotter.Grid {
	g := plotter.NewGrid()
	g.Vertical.Color = nil
	g.Horizontal.Color = lineColor
	return g
}

// layer is one named band of a stacked chart, with a value for each slot.
type layer struct {
	name   string
	values []float64
	color  color.Color
}

// stackedChart draws layers over time, each on top of the one before.
func stackedChart(title, unit string, starts []time.Time, length time.Duration, layers []layer) *plot.Plot {
	p := newChart(title, unit)
	p.Add(grid())
	base := make([]float64, len(starts))
	for _, l := range layers {
		top := make([]float64, len(starts))
		for i := range top {
			top[i] = base[i] + l.values[i]
		}
		if area := band(starts, length, base, top); area != nil {
			area.Color = l.color
			p.Add(area)
			p.Legend.Add(l.name, area)
		}
		base = top
	}
	p.X.Tick.Marker = plot.TickerFunc(timeTicks)
	p.Y.Min = 0
	p.Y.Max = math.Max(1, 1.5*slices.Max(append(base, 0))) // space for the legend
	return p
}

// tickSteps are the possible distances between the ticks of a time axis.
var tickSteps = []time.Duration{
	5 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, time.Hour,
}

// maxTicks limits the number of labels of a time axis.
const maxTicks = 8

// timeTicks returns ticks at round times.
func timeTicks(low, high float64) []plot.Tick {
	step := tickSteps[len(tickSteps)-1].Seconds()
	for _, candidate := range tickSteps {
		if (high-low)/candidate.Seconds() <= maxTicks {
			step = candidate.Seconds()
			break
		}
	}
	var ticks []plot.Tick
	for at := math.Ceil(low/step) * step; at <= high && len(ticks) <= maxTicks; at += step {
		label := time.Unix(int64(at), 0).UTC().Format(time.TimeOnly)
		ticks = append(ticks, plot.Tick{Value: at, Label: label})
	}
	return ticks
}

// band returns the stepped area between the values low and high, or nil without
// slots.
func band(starts []time.Time, length time.Duration, low, high []float64) *plotter.Polygon {
	var outline plotter.XYs
	for i, start := range starts {
		from, to := float64(start.Unix()), float64(start.Add(length).Unix())
		outline = append(outline, plotter.XY{X: from, Y: high[i]}, plotter.XY{X: to, Y: high[i]})
	}
	for i := len(starts) - 1; i >= 0; i-- {
		from, to := float64(starts[i].Unix()), float64(starts[i].Add(length).Unix())
		outline = append(outline, plotter.XY{X: to, Y: low[i]}, plotter.XY{X: from, Y: low[i]})
	}
	area, err := plotter.NewPolygon(outline)
	if err != nil {
		return nil
	}
	area.LineStyle.Width = 0
	return area
}

// bar is one row of a bar chart.
type bar struct {
	name  string
	value float64
	label string
	color color.Color
	// labelFrom is the smallest value on the axis at which the label may begin.
	labelFrom float64
}

// barChart draws horizontal bars, the first at the top, each with its label.
func barChart(title, unit string, list []bar) (*plot.Plot, error) {
	p := newChart(title, "")
	p.X.Label.Text = unit
	names := make([]string, len(list))
	largest := 0.0
	for i, b := range list {
		row := len(list) - 1 - i
		names[row] = b.name
		largest = math.Max(largest, b.value)
		chart, err := plotter.NewBarChart(plotter.Values{b.value}, rowHeight*6/10)
		if err != nil {
			return nil, err
		}
		chart.Horizontal = true
		chart.XMin = float64(row)
		chart.Color = b.color
		chart.LineStyle.Width = 0
		p.Add(chart)
	}
	setAxisRanges(p, largest, len(list))
	if len(list) == 0 {
		return p, nil
	}
	if err := addLabels(p, list, largest); err != nil {
		return nil, err
	}
	p.NominalY(names...)
	setAxisRanges(p, largest, len(list))
	return p, nil
}

// setAxisRanges sets the ranges of a bar chart's axes, with space for the labels.
func setAxisRanges(p *plot.Plot, largest float64, count int) {
	p.X.Min = 0
	p.X.Max = math.Max(largest*1.2, 0.01)
	p.Y.Min, p.Y.Max = -0.6, float64(count)-0.4
	p.Y.Tick.LineStyle.Width = 0
}

func addLabels(p *plot.Plot, list []bar, largest float64) error {
	labels := plotter.XYLabels{}
	for i, b := range list {
		labels.XYs = append(labels.XYs, plotter.XY{X: math.Max(b.value, b.labelFrom) + largest*0.01, Y: float64(len(list) - 1 - i)})
		labels.Labels = append(labels.Labels, b.label)
	}
	drawn, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	for i := range drawn.TextStyle {
		style(&drawn.TextStyle[i], 9)
		drawn.TextStyle[i].YAlign = draw.YCenter
	}
	p.Add(drawn)
	return nil
}

// svg returns the chart as an element for a page.
func svg(p *plot.Plot, height vg.Length) (string, error) {
	canvas := vgsvg.New(chartWidth, height)
	render(p, canvas)
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	return text[max(0, strings.Index(text, "<svg")):], nil
}

// render draws the chart with a margin around it.
func render(p *plot.Plot, canvas vg.CanvasSizer) {
	p.Draw(draw.Crop(draw.New(canvas), chartMargin, -chartMargin, chartMargin, -chartMargin))
}

func barChartHeight(count int) vg.Length {
	return 2.6*vg.Centimeter + vg.Length(count)*rowHeight
}
