package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"magnoliaturn/core/mtscene"
)

// PlotError says that a plot can't be made or written.
type PlotError struct {
	Scene string
	Err   error
}

// Error implements error.
func (e *PlotError) Error() string { return fmt.Sprintf("plot of %s: %v", e.Scene, e.Err) }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Err }

// plotted are the scenes that are drawn.
var plotted = map[string]bool{"breakfast": true, "harvest": true, "hot keys": true}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// plotTop cuts the axis, since a baseline may lie far above the others.
	plotTop = 3.0
)

// draw writes the imbalance over time of each policy, if the scene is one that
// is drawn.
func (c *placement) draw(results []mtscene.Result) error {
	scene := results[0].Scenario
	if c.plot == "" || !plotted[scene] {
		return nil
	}
	p := plot.New()
	p.Title.Text = "Imbalance, " + scene
	p.X.Label.Text = "minutes"
	p.Y.Label.Text = "largest load per slot / mean"
	p.Y.Min, p.Y.Max = 1, plotTop
	p.Legend.Top = true
	var lines []any
	for _, r := range results {
		lines = append(lines, r.Policy, points(r.Series))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return &PlotError{Scene: scene, Err: err}
	}
	p.Y.Min, p.Y.Max = 1, plotTop
	name := "placement-" + strings.ReplaceAll(scene, " ", "-") + ".png"
	if err := p.Save(plotWidth, plotHeight, filepath.Join(c.plot, name)); err != nil {
		return &PlotError{Scene: scene, Err: err}
	}
	return nil
}

func points(series []float64) plotter.XYs {
	xy := make(plotter.XYs, len(series))
	for i, v := range series {
		xy[i].X = (time.Duration(i) * time.Second).Minutes()
		xy[i].Y = min(v, plotTop)
	}
	return xy
}
