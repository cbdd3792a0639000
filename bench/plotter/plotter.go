// Package plotter writes the results of experiments as plots, tables and JSON.
package plotter

import (
	"encoding/json"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"sycamorerun"
	"sycamorerun/bench/player"
)

const (
	width       = 10 * vg.Inch
	panelHeight = 2.2 * vg.Inch
	// headroom keeps curves clear of the labels of events.
	headroom = 1.12
	fontSize = 8
	// milliseconds and kilobytes are the units of the axes.
	milliseconds = 1e6
	kilobytes    = 1e3
)

var (
	faultColor = color.NRGBA{A: 34}
	loadColor  = color.NRGBA{R: 31, G: 119, B: 180, A: 22}
	// colors of the curves differ from those of the events.
	colors = []color.Color{
		color.NRGBA{R: 31, G: 119, B: 180, A: 255},
		color.NRGBA{R: 255, G: 127, B: 14, A: 255},
		color.NRGBA{R: 44, G: 160, B: 44, A: 255},
		color.NRGBA{R: 214, G: 39, B: 40, A: 255},
		color.NRGBA{R: 148, G: 103, B: 189, A: 255},
		color.NRGBA{R: 140, G: 86, B: 75, A: 255},
	}
)

// Write writes NAME.json, NAME.md and NAME-VARIANT.png to a directory.
func Write(directory string, result player.Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "results")
	}
	text, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return errors.Wrap(err, "results")
	}
	base := filepath.Join(directory, result.Name)
	if err := os.WriteFile(base+".json", append(text, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "results")
	}
	if err := os.WriteFile(base+".md", []byte(Table(result)), 0o644); err != nil {
		return errors.Wrap(err, "results")
	}
	for _, variant := range result.Variants {
		if err := Plot(base+"-"+variant.Name+".png", result, variant); err != nil {
			return err
		}
	}
	return nil
}

// Plot writes the plots of a variant, one above the other, as PNG.
func Plot(path string, result player.Result, variant player.Variant) error {
	panels := []*plot.Plot{
		latency(result, variant), served(result, variant), convergence(variant), control(variant), calls(variant),
	}
	rows := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		finish(panel, result, variant, i == 0)
		rows[i] = []*plot.Plot{panel}
	}
	panels[0].Title.Text = fmt.Sprintf("%s, variant %s", result.Name, variant.Name)
	panels[len(panels)-1].X.Label.Text = "time (s)"
	image := vgimg.New(width, panelHeight*vg.Length(len(panels)))
	tiles := draw.Tiles{
		Rows: len(rows), Cols: 1, PadY: vg.Millimeter * 2,
		PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadLeft: vg.Millimeter, PadRight: vg.Millimeter * 2,
	}
	for i, canvases := range plot.Align(rows, tiles, draw.New(image)) {
		panels[i].Draw(canvases[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	defer file.Close()
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(file); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(file.Close(), "plot")
}

// finish sets what all panels have in common, and adds the events. Their
// labels are in one panel only.
func finish(p *plot.Plot, result player.Result, variant player.Variant, labels bool) {
	p.X.Min, p.X.Max = 0, float64(result.Duration)/1e9
	p.X.Tick.Marker = seconds{}
	p.Legend.Left = true
	p.Legend.XOffs = vg.Millimeter
	if p.Legend.Top {
		p.Legend.YOffs = -vg.Millimeter * 2
	}
	p.Legend.Padding = vg.Points(1)
	for _, size := range []*font.Length{
		&p.X.Tick.Label.Font.Size, &p.Y.Tick.Label.Font.Size, &p.X.Label.TextStyle.Font.Size,
		&p.Y.Label.TextStyle.Font.Size, &p.Legend.TextStyle.Font.Size,
	} {
		*size = fontSize
	}
	p.Add(plotter.NewGrid())
	for i, mark := range variant.Marks {
		shade := span{mark: mark, color: loadColor, style: p.X.Tick.Label}
		if mark.Fault {
			shade.color = faultColor
		}
		if labels {
			shade.row = i%2 + 1
		}
		p.Add(shade)
	}
}

// span shades the time of an event over the whole height.
type span struct {
	mark  player.Mark
	color color.Color
	style draw.TextStyle
	// row is the line of the label from the bottom, 0 for no label.
	row int
}

// Plot implements plot.Plotter.
func (s span) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	from, to := max(x(s.mark.From), c.Min.X), min(x(s.mark.To), c.Max.X)
	c.FillPolygon(s.color, []vg.Point{{X: from, Y: c.Min.Y}, {X: to, Y: c.Min.Y}, {X: to, Y: c.Max.Y}, {X: from, Y: c.Max.Y}})
	c.StrokeLine2(draw.LineStyle{Color: color.Gray{Y: 160}, Width: vg.Points(0.5)}, from, c.Min.Y, from, c.Max.Y)
	if s.row > 0 {
		s.style.XAlign, s.style.YAlign = draw.XLeft, draw.YBottom
		c.FillText(s.style, vg.Point{X: from + 2, Y: c.Min.Y + 1 + vg.Length(s.row-1)*(fontSize+1)}, s.mark.Label)
	}
}

// curve adds a line, which has a gap where valid is false.
func curve(p *plot.Plot, name string, number int, dashed bool, samples []player.Sample, value func(player.Sample) (float64, bool)) {
	var part plotter.XYs
	var shown *plotter.Line
	flush := func() {
		if len(part) == 0 {
			return
		}
		line, points, err := plotter.NewLinePoints(part)
		if part = nil; err != nil {
			return // A value is no number.
		}
		line.Color = colors[number%len(colors)]
		points.Color, points.Radius = line.Color, vg.Points(1)
		points.Shape = draw.CircleGlyph{}
		line.Width = vg.Points(1.2)
		if dashed {
			line.Width, line.Dashes = vg.Points(0.7), plotutil.Dashes(1)
		}
		p.Add(line, points)
		shown = line
	}
	for _, sample := range samples {
		y, valid := value(sample)
		if !valid {
			flush()
			continue
		}
		part = append(part, plotter.XY{X: sample.At, Y: y})
	}
	flush()
	if shown != nil {
		p.Legend.Add(name, shown)
	}
}

// seconds marks at most twelve times in round steps.
type seconds struct{}

// Ticks implements plot.Ticker.
func (seconds) Ticks(least, most float64) []plot.Tick {
	step := 1.0
	for _, step = range []float64{1, 2, 5, 10, 20, 30, 60, 120} {
		if (most-least)/step <= 12 {
			break
		}
	}
	var ticks []plot.Tick
	for at := math.Ceil(least/step) * step; at <= most; at += step {
		ticks = append(ticks, plot.Tick{Value: at, Label: fmt.Sprint(at)})
	}
	return ticks
}

// panel returns an empty plot with a label of the vertical axis.
func panel(label string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = label
	return p
}

// logged returns a time in milliseconds for a logarithmic axis, which has no
// zero.
func logged(d sycamorerun.Duration) float64 { return max(0.1, float64(d)/milliseconds) }

// logarithmic gives the vertical axis whole decades.
func logarithmic(p *plot.Plot) {
	if p.Y.Min <= 0 || math.IsInf(p.Y.Min, 0) || math.IsInf(p.Y.Max, 0) {
		p.Y.Min, p.Y.Max = 1, 10
	}
	p.Y.Min = math.Pow(10, math.Floor(math.Log10(p.Y.Min)))
	p.Y.Max = math.Pow(10, math.Ceil(math.Log10(p.Y.Max*headroom)))
	if p.Y.Max <= p.Y.Min {
		p.Y.Max = p.Y.Min * 10
	}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
}

// linear begins the vertical axis at zero.
func linear(p *plot.Plot) {
	if p.Y.Max <= 0 || math.IsInf(p.Y.Max, 0) {
		p.Y.Max = 1
	}
	p.Y.Min, p.Y.Max = 0, p.Y.Max*headroom
}

func latency(result player.Result, variant player.Variant) *plot.Plot {
	p := panel("latency (ms)")
	p.Legend.Top = true
	for i, kind := range result.Kinds {
		curve(p, kind+" p99", i, false, variant.Samples, func(s player.Sample) (float64, bool) {
			return logged(s.Kinds[i].P99), s.Kinds[i].Served > 0
		})
		curve(p, kind+" median", i, true, variant.Samples, func(s player.Sample) (float64, bool) {
			return logged(s.Kinds[i].Median), s.Kinds[i].Served > 0
		})
	}
	logarithmic(p)
	return p
}

func served(result player.Result, variant player.Variant) *plot.Plot {
	p := panel("served (%)")
	for i, kind := range result.Kinds {
		curve(p, kind, i, false, variant.Samples, func(s player.Sample) (float64, bool) {
			return 100 * s.Kinds[i].Share(), s.Kinds[i].Requests > 0
		})
	}
	p.Y.Min, p.Y.Max = 0, 100*headroom
	return p
}

func convergence(variant player.Variant) *plot.Plot {
	p := panel("convergence (ms)")
	p.Legend.Top = true
	var last, median, faulty, missing plotter.XYs
	for _, change := range variant.Changes {
		// The marks are where the operator knew that the version was accepted.
		at := change.At + float64(change.AcceptanceLatency)/1e9
		switch {
		case change.Version == 0:
		case len(change.Missing) > 0:
			missing = append(missing, plotter.XY{X: at, Y: 1})
		default:
			if change.Faulty > 0 {
				faulty = append(faulty, plotter.XY{X: at, Y: logged(change.LastFaulty)})
			}
			last = append(last, plotter.XY{X: at, Y: logged(change.Last)})
			median = append(median, plotter.XY{X: at, Y: logged(change.Median)})
		}
	}
	for i, group := range []struct {
		name   string
		points plotter.XYs
		shape  draw.GlyphDrawer
	}{
		{"last node", last, draw.CircleGlyph{}},
		{"median node", median, draw.RingGlyph{}},
		{"last node that had a fault", faulty, draw.TriangleGlyph{}},
		{"not everywhere until the end", missing, draw.CrossGlyph{}},
	} {
		if len(group.points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(group.points)
		if err != nil {
			continue // A value is no number.
		}
		scatter.Color, scatter.Shape, scatter.Radius = colors[i], group.shape, vg.Points(2.2)
		p.Add(scatter)
		p.Legend.Add(group.name, scatter)
	}
	logarithmic(p)
	return p
}

func control(variant player.Variant) *plot.Plot {
	p := panel("control bytes (KB/s)")
	p.Legend.Top = true
	for i, line := range []struct {
		name  string
		value func(player.Sample) float64
	}{
		{"between regions", func(s player.Sample) float64 { return s.CrossRegionBytes }},
		{"store to and from other regions", func(s player.Sample) float64 { return s.StoreBytes }},
		{"between zones of a region", func(s player.Sample) float64 { return s.RegionBytes }},
		{"within zones", func(s player.Sample) float64 { return s.ZoneBytes }},
	} {
		curve(p, line.name, i, false, variant.Samples, func(s player.Sample) (float64, bool) { return line.value(s) / kilobytes, true })
	}
	linear(p)
	return p
}

func calls(variant player.Variant) *plot.Plot {
	p := panel("store calls (1/s)")
	curve(p, "store calls", 0, false, variant.Samples, func(s player.Sample) (float64, bool) { return s.StoreCalls, true })
	linear(p)
	return p
}
