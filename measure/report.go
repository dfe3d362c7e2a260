package measure

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// PrintResume writes results as a table.
func PrintResume(w io.Writer, all []ResumeResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WAY\tLOSS\tHIT\tRESUME p50\tp95\tp99\tmax\tFIRST p95\tGAP p95\tEXTRA\tWRONG\tLOST\tREFUSED")
	for _, r := range all {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f%%\t%d\t%d\t%d\n", r.Way, r.Loss, r.Hit,
			ms(r.Resume.P50), ms(r.Resume.P95), ms(r.Resume.P99), ms(r.Resume.Max),
			ms(r.First.P95), ms(r.Gap.P95), 100*r.ExtraShare, r.Wrong, r.Lost, r.Refused)
	}
	return t.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

// The size of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = vg.Length(18)
)

// reportPage is the template of the report, with the plot inline.
var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{"ms": ms}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Resume latency</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}td:first-child,td:nth-child(2){text-align:left}</style>
</head><body><h1>Resume latency</h1>
<p>Longest gap of each answer that lost something, 95th percentile by kind of loss. Target: 2 s.</p>
<img alt="95th percentile of resume latency by kind of loss" src="data:image/png;base64,{{.Plot}}">
<table><tr><th>way<th>loss<th>hit<th>p50<th>p95<th>p99<th>max<th>first token p95<th>token gap p95<th>extra tokens<th>wrong<th>lost<th>refused</tr>
{{range .Results}}<tr><td>{{.Way}}<td>{{.Loss}}<td>{{.Hit}}<td>{{ms .Resume.P50}}<td>{{ms .Resume.P95}}<td>{{ms .Resume.P99}}<td>{{ms .Resume.Max}}<td>{{ms .First.P95}}<td>{{ms .Gap.P95}}<td>{{printf "%.1f%%" .ExtraPercent}}<td>{{.Wrong}}<td>{{.Lost}}<td>{{.Refused}}</tr>
{{end}}</table></body></html>
`))

// ExtraPercent returns ExtraShare in percent.
func (r ResumeResult) ExtraPercent() float64 { return 100 * r.ExtraShare }

// WriteReport writes results as an HTML page that refers to no other files.
func WriteReport(w io.Writer, all []ResumeResult) error {
	png, err := drawResume(all)
	if err != nil {
		return err
	}
	return reportPage.Execute(w, struct {
		Plot    string
		Results []ResumeResult
	}{base64.StdEncoding.EncodeToString(png), all})
}

// drawResume draws the 95th percentiles of the resume latency as a bar chart in PNG.
func drawResume(all []ResumeResult) ([]byte, error) {
	p := plot.New()
	p.Y.Label.Text = "seconds"
	p.Legend.Top = true
	var losses []string
	byWay := make(map[string]plotter.Values)
	var ways []string
	for _, r := range all {
		if len(byWay[r.Way]) == 0 {
			ways = append(ways, r.Way)
		}
		byWay[r.Way] = append(byWay[r.Way], r.Resume.P95.Seconds())
		if len(ways) == 1 {
			losses = append(losses, r.Loss)
		}
	}
	for i, way := range ways {
		bars, err := plotter.NewBarChart(byWay[way], barWidth)
		if err != nil {
			return nil, fmt.Errorf("draw bars: %w", err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Length(i-1) * barWidth
		p.Add(bars)
		p.Legend.Add(way, bars)
	}
	p.NominalX(losses...)
	img, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, fmt.Errorf("draw plot: %w", err)
	}
	var b bytes.Buffer
	if _, err := img.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("draw plot: %w", err)
	}
	return b.Bytes(), nil
}
