package load

import (
	_ "embed"
	"html/template"
	"io"
	"time"
)

//go:embed report.html.tmpl
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{"number": number}).Parse(pageText))

// pageData is what the page shows.
type pageData struct {
	*Report
	Charts []template.HTML
	Marks  []pageMark
	When   string
	Shades bool
}

// pageMark is one event of the load, as it is listed below the plots.
type pageMark struct {
	Seconds float64
	Text    string
}

// writeHTML writes the report as one page that needs nothing else.
func (r *Report) writeHTML(w io.Writer) error {
	data := pageData{Report: r, When: r.Began.Format(time.RFC1123), Shades: len(r.plots.shades) > 0}
	for _, c := range r.plots.charts() {
		data.Charts = append(data.Charts, c.svg())
	}
	for _, m := range r.plots.marks {
		data.Marks = append(data.Marks, pageMark{m.At.Seconds(), m.Text})
	}
	return page.Execute(w, data)
}
