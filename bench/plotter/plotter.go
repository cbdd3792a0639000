// Package plotter writes experiment results as plots, tables and JSON.
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
	// headroom is the factor by which the vertical axis exceeds the largest value.
	// It keeps curves clear of event labels and legends.
	headroom = 1.12
	fontSize = 8
	// milliseconds and kilobytes are the divisors that convert nanoseconds and
	// bytes to the units of plots and tables.
	milliseconds = 1e6
	kilobytes    = 1e3
)

var (
	faultColor = color.NRGBA{A: 34}
	loadColor  = color.NRGBA{R: 31, G: 119, B: 180, A: 22}
	// colors are the colors of the curves. They differ from the event colors.
	colors = []color.Color{
		color.NRGBA{R: 31, G: 119, B: 180, A: 255},
		color.NRGBA{R: 255, G: 127, B: 14, A: 255},
		color.NRGBA{R: 44, G: 160, B: 44, A: 255},
		color.NRGBA{R: 214, G: 39, B: 40, A: 255},
		color.NRGBA{R: 148, G: 103, B: 189, A: 255},
		color.NRGBA{R: 140, G: 86, B: 75, A: 255},
	}
)

// Write writes NAME.json, NAME.md and, for each variant, NAME-VARIANT.png to a
// directory.
func Write(directory string, result player.Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "create the results directory")
	}
	text, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode the results")
	}
	base := filepath.Join(directory, result.Name)
	if err := os.WriteFile(base+".json", append(text, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write the results as JSON")
	}
	if err := os.WriteFile(base+".md", []byte(Table(result)), 0o644); err != nil {
		return errors.Wrap(err, "write the results as Markdown")
	}
	for _, variant := range result.Variants {
		if err := Plot(base+"-"+variant.Name+".png", result, variant); err != nil {
			return err
		}
	}
	return nil
}

// Plot writes the panels of a variant, stacked vertically, as a PNG file.
func Plot(path string, result player.Result, variant player.Variant) error {
	panels := []*plot.Plot{
		latencyPanel(result, variant), servedPanel(result, variant), convergencePanel(variant), controlBytesPanel(variant), storeCallsPanel(variant),
	}
	rows := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		finishPanel(panel, result, variant, i == 0)
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
		return errors.Wrap(err, "create the plot file")
	}
	defer file.Close()
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(file); err != nil {
		return errors.Wrap(err, "write the plot")
	}
	return errors.Wrap(file.Close(), "close the plot file")
}

// finishPanel sets the common properties of panels and adds the events, with
// their labels if labels is set.
func finishPanel(p *plot.Plot, result player.Result, variant player.Variant, labels bool) {
	p.X.Min, p.X.Max = 0, float64(result.Duration)/1e9
	p.X.Tick.Marker = secondTicks{}
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
		shade := eventSpan{mark: mark, color: loadColor, style: p.X.Tick.Label}
		if mark.Fault {
			shade.color = faultColor
		}
		if labels {
			shade.row = i%2 + 1
		}
		p.Add(shade)
	}
}

// eventSpan is a plotter that shades the time of an event over the whole height.
type eventSpan struct {
	mark  player.Mark
	color color.Color
	style draw.TextStyle
	// row is the line of the label, counted from the bottom, or 0 for no label.
	row int
}

// Plot implements plot.Plotter.
func (s eventSpan) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	from, to := max(x(s.mark.From), c.Min.X), min(x(s.mark.To), c.Max.X)
	c.FillPolygon(s.color, []vg.Point{{X: from, Y: c.Min.Y}, {X: to, Y: c.Min.Y}, {X: to, Y: c.Max.Y}, {X: from, Y: c.Max.Y}})
	c.StrokeLine2(draw.LineStyle{Color: color.Gray{Y: 160}, Width: vg.Points(0.5)}, from, c.Min.Y, from, c.Max.Y)
	if s.row > 0 {
		s.style.XAlign, s.style.YAlign = draw.XLeft, draw.YBottom
		c.FillText(s.style, vg.Point{X: from + 2, Y: c.Min.Y + 1 + vg.Length(s.row-1)*(fontSize+1)}, s.mark.Label)
	}
}

// addCurve adds a curve with a gap at each sample for which value reports false.
func addCurve(p *plot.Plot, name string, number int, dashed bool, samples []player.Sample, value func(player.Sample) (float64, bool)) {
	var segment plotter.XYs
	var lastLine *plotter.Line
	flush := func() {
		if len(segment) == 0 {
			return
		}
		line, points, err := plotter.NewLinePoints(segment)
		if segment = nil; err != nil {
			return // A value is NaN or infinite.
		}
		line.Color = colors[number%len(colors)]
		points.Color, points.Radius = line.Color, vg.Points(1)
		points.Shape = draw.CircleGlyph{}
		line.Width = vg.Points(1.2)
		if dashed {
			line.Width, line.Dashes = vg.Points(0.7), plotutil.Dashes(1)
		}
		p.Add(line, points)
		lastLine = line
	}
	for _, sample := range samples {
		y, valid := value(sample)
		if !valid {
			flush()
			continue
		}
		segment = append(segment, plotter.XY{X: sample.At, Y: y})
	}
	flush()
	if lastLine != nil {
		p.Legend.Add(name, lastLine)
	}
}

// secondTicks is a ticker with at most about twelve ticks at multiples of a round
// step.
type secondTicks struct{}

// Ticks implements plot.Ticker.
func (secondTicks) Ticks(minimum, maximum float64) []plot.Tick {
	step := 1.0
	for _, step = range []float64{1, 2, 5, 10, 20, 30, 60, 120} {
		if (maximum-minimum)/step <= 12 {
			break
		}
	}
	var ticks []plot.Tick
	for at := math.Ceil(minimum/step) * step; at <= maximum; at += step {
		ticks = append(ticks, plot.Tick{Value: at, Label: fmt.Sprint(at)})
	}
	return ticks
}

// newPanel returns an empty plot with a label on the vertical axis.
func newPanel(label string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = label
	return p
}

// logAxisMilliseconds returns a duration in milliseconds, at least 0.1 because a
// logarithmic axis has no zero.
func logAxisMilliseconds(d sycamorerun.Duration) float64 { return max(0.1, float64(d)/milliseconds) }

// setLogScale gives the vertical axis a logarithmic scale of whole decades.
func setLogScale(p *plot.Plot) {
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

// setLinearScale gives the vertical axis a linear scale that begins at zero.
func setLinearScale(p *plot.Plot) {
	if p.Y.Max <= 0 || math.IsInf(p.Y.Max, 0) {
		p.Y.Max = 1
	}
	p.Y.Min, p.Y.Max = 0, p.Y.Max*headroom
}

func latencyPanel(result player.Result, variant player.Variant) *plot.Plot {
	p := newPanel("latency (ms)")
	p.Legend.Top = true
	for i, kind := range result.Kinds {
		addCurve(p, kind+" p99", i, false, variant.Samples, func(s player.Sample) (float64, bool) {
			return logAxisMilliseconds(s.Kinds[i].P99), s.Kinds[i].Served > 0
		})
		addCurve(p, kind+" median", i, true, variant.Samples, func(s player.Sample) (float64, bool) {
			return logAxisMilliseconds(s.Kinds[i].Median), s.Kinds[i].Served > 0
		})
	}
	setLogScale(p)
	return p
}

func servedPanel(result player.Result, variant player.Variant) *plot.Plot {
	p := newPanel("served (%)")
	for i, kind := range result.Kinds {
		addCurve(p, kind, i, false, variant.Samples, func(s player.Sample) (float64, bool) {
			return 100 * s.Kinds[i].Share(), s.Kinds[i].Requests > 0
		})
	}
	p.Y.Min, p.Y.Max = 0, 100*headroom
	return p
}

func convergencePanel(variant player.Variant) *plot.Plot {
	p := newPanel("convergence (ms)")
	p.Legend.Top = true
	var last, median, faulty, missing plotter.XYs
	for _, change := range variant.Changes {
		// Points are placed at the time at which the operator received the
		// outcome.
		at := change.At + float64(change.AcceptanceLatency)/1e9
		switch {
		case change.Version == 0:
		case len(change.Missing) > 0:
			missing = append(missing, plotter.XY{X: at, Y: 1})
		default:
			if change.Faulty > 0 {
				faulty = append(faulty, plotter.XY{X: at, Y: logAxisMilliseconds(change.LastFaulty)})
			}
			last = append(last, plotter.XY{X: at, Y: logAxisMilliseconds(change.Last)})
			median = append(median, plotter.XY{X: at, Y: logAxisMilliseconds(change.Median)})
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
			continue // A value is NaN or infinite.
		}
		scatter.Color, scatter.Shape, scatter.Radius = colors[i], group.shape, vg.Points(2.2)
		p.Add(scatter)
		p.Legend.Add(group.name, scatter)
	}
	setLogScale(p)
	return p
}

func controlBytesPanel(variant player.Variant) *plot.Plot {
	p := newPanel("control bytes (KB/s)")
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
		addCurve(p, line.name, i, false, variant.Samples, func(s player.Sample) (float64, bool) { return line.value(s) / kilobytes, true })
	}
	setLinearScale(p)
	return p
}

func storeCallsPanel(variant player.Variant) *plot.Plot {
	p := newPanel("store calls (1/s)")
	addCurve(p, "store calls", 0, false, variant.Samples, func(s player.Sample) (float64, bool) { return s.StoreCalls, true })
	setLinearScale(p)
	return p
}
