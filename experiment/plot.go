package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// goodput returns whole customer requests served a second, for each bin.
func (r *record) goodput() []float64 {
	list := make([]float64, 0, len(r.bins))
	for _, b := range r.bins[:len(r.bins)-1] {
		list = append(list, float64(b.served())/binLength.Seconds())
	}
	return list
}

// plotGoodput draws the first run of each result over time.
func plotGoodput(file string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "Goodput of whole customer requests"
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, result := range results {
		points := make(plotter.XYs, len(result.goodput))
		for i, rate := range result.goodput {
			points[i] = plotter.XY{X: float64(i) * binLength.Seconds(), Y: rate}
		}
		lines = append(lines, result.Site+" "+result.Scenario+" "+result.Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, file)
}
