package report

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"briarcroft/internal/record"
)

// Layout of a plot. Sizes are in pixels.
const (
	plotWidth   = 720
	rowHeight   = 16
	labelWidth  = 260
	axisHeight  = 24
	minBarWidth = 1.0
	// axisMarkCount is the number of times shown on the axis.
	axisMarkCount = 6
)

// plot is a timeline with a row of bars for each target and host. All positions and sizes are in pixels.
type plot struct {
	Width, Height int
	Rows          []row
	Marks         []axisMark
}

// row is the timeline of one target as one host saw it.
type row struct {
	Label string
	// LabelX and TextY are the position of the end of the label.
	LabelX, TextY int
	Bars          []bar
}

// bar is an interval in which the target had one state. Class is the CSS class, which is the name of the state, and Title
// is the tooltip.
type bar struct {
	X, Width  float64
	Y, Height int
	Class     string
	Title     string
}

// axisMark is a time label on the axis.
type axisMark struct {
	X    float64
	Text string
}

// newPlot returns the plot of intervals over a period, with rows sorted by target and host.
func newPlot(intervals []record.Interval, s record.TimeRange) plot {
	type rowKey struct{ target, host string }
	rows := map[rowKey][]record.Interval{}
	var keys []rowKey
	for _, i := range intervals {
		key := rowKey{i.Target, i.Host}
		if rows[key] == nil {
			keys = append(keys, key)
		}
		rows[key] = append(rows[key], i)
	}
	slices.SortFunc(keys, func(a, b rowKey) int { return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.host, b.host)) })
	p := plot{Width: labelWidth + plotWidth, Height: len(keys)*rowHeight + axisHeight}
	scale := plotWidth / max(s.To.Sub(s.From).Seconds(), 1e-9)
	for n, key := range keys {
		r := row{Label: key.target + " on " + key.host, LabelX: labelWidth - 8, TextY: n*rowHeight + rowHeight - 4}
		for _, i := range rows[key] {
			r.Bars = append(r.Bars, newBar(i, s, scale, n))
		}
		p.Rows = append(p.Rows, r)
	}
	p.Marks = newMarks(s, scale)
	return p
}

// newBar returns the bar of an interval in row n. It is at least minBarWidth wide, so that short intervals stay visible.
func newBar(i record.Interval, s record.TimeRange, scale float64, n int) bar {
	return bar{
		X: labelWidth + i.From.Sub(s.From).Seconds()*scale, Width: max(minBarWidth, i.Duration().Seconds()*scale),
		Y: n*rowHeight + 2, Height: rowHeight - 4, Class: i.State,
		Title: fmt.Sprintf("%s from %s to %s: %s, note %d", i.State, i.From.Format(timeOfDayLayout), i.To.Format(timeOfDayLayout), i.Cause, i.Note),
	}
}

// timeOfDayLayout is the layout of times in tooltips.
const timeOfDayLayout = "15:04:05.000"

// newMarks returns evenly spaced marks, the first at the start of the period.
func newMarks(s record.TimeRange, scale float64) []axisMark {
	var marks []axisMark
	step := s.To.Sub(s.From) / axisMarkCount
	for n := range axisMarkCount {
		at := s.From.Add(time.Duration(n) * step)
		marks = append(marks, axisMark{labelWidth + at.Sub(s.From).Seconds()*scale, at.UTC().Format("15:04:05")})
	}
	return marks
}
