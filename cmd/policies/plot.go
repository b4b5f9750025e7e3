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

// PlotError reports that the plot of a scenario could not be drawn or saved.
type PlotError struct {
	Scene string
	Err   error
}

// Error implements error.
func (e *PlotError) Error() string { return fmt.Sprintf("plot of %s: %v", e.Scene, e.Err) }

// Unwrap returns the error from the plot library.
func (e *PlotError) Unwrap() error { return e.Err }

// plottedScenes names the scenarios that are plotted.
var plottedScenes = map[string]bool{"breakfast": true, "harvest": true, "hot keys": true}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// plotMaxY clips the y axis, since a baseline may lie far above the other
	// policies.
	plotMaxY = 3.0
)

// plotImbalance saves a plot of each policy's imbalance over time if plots are
// requested and the scenario is one of plottedScenes.
func (c *placement) plotImbalance(results []mtscene.Result) error {
	scene := results[0].Scenario
	if c.plot == "" || !plottedScenes[scene] {
		return nil
	}
	p := plot.New()
	p.Title.Text = "Imbalance, " + scene
	p.X.Label.Text = "minutes"
	p.Y.Label.Text = "largest load per slot / mean"
	p.Y.Min, p.Y.Max = 1, plotMaxY
	p.Legend.Top = true
	var lines []any
	for _, r := range results {
		lines = append(lines, r.Policy, points(r.Series))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return &PlotError{Scene: scene, Err: err}
	}
	p.Y.Min, p.Y.Max = 1, plotMaxY
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
		xy[i].Y = min(v, plotMaxY)
	}
	return xy
}
