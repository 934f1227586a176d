package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
)

// printTable prints all figures.
func (r *Report) printTable(out io.Writer) {
	fmt.Fprintf(out, "\nprofile %s, seed %d, site %s\n", r.Profile, r.Seed, r.Site)
	w := newTable(out)
	for _, f := range r.Figures {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Name, number(f.Value), f.Unit)
	}
	_ = w.Flush()
	for _, reason := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(out, "%6d x %s\n", r.Outcomes[reason], reason)
	}
	if r.Broken != "" {
		fmt.Fprintf(out, "%s\n", r.Broken)
	}
}

func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 2, 8, 2, ' ', 0) }

// number prints whole numbers whole and others to four digits.
func number(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprintf("%d", int64(v))
	}
	return fmt.Sprintf("%.4g", v)
}

// readOlder reads a report to compare with; an empty path gives none.
func readOlder(path string) (*Report, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(Report)
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s is not a report: %w", path, err)
	}
	if len(r.Figures) == 0 {
		return nil, fmt.Errorf("%s holds no figures", path)
	}
	return r, nil
}

// Comparison is one figure of two runs. A value is nil when that run does not
// have the figure.
type Comparison struct {
	Name     string
	Unit     string
	Old, New *float64
}

// Ratio returns new over old. It is false when there is none: a figure is
// missing, or only the older one is zero.
func (c Comparison) Ratio() (float64, bool) {
	switch {
	case c.Old == nil || c.New == nil:
		return 0, false
	case *c.Old == *c.New:
		return 1, true
	case *c.Old == 0:
		return 0, false
	}
	return *c.New / *c.Old, true
}

// Compare pairs the figures of two reports: first those of the new one in their
// order, then those that only the old one has.
func Compare(older, newer *Report) []Comparison {
	old := make(map[string]float64)
	for _, f := range older.Figures {
		old[f.Name] = f.Value
	}
	var out []Comparison
	for _, f := range newer.Figures {
		c := Comparison{Name: f.Name, Unit: f.Unit, New: &f.Value}
		if v, ok := old[f.Name]; ok {
			c.Old = &v
			delete(old, f.Name)
		}
		out = append(out, c)
	}
	for _, f := range older.Figures {
		if _, left := old[f.Name]; left {
			out = append(out, Comparison{Name: f.Name, Unit: f.Unit, Old: &f.Value})
		}
	}
	return out
}

func printComparison(out io.Writer, older, newer *Report) {
	fmt.Fprintf(out, "\nagainst the run of %s\n", older.Began.Format("2006-01-02 15:04:05"))
	if older.Profile != newer.Profile || older.Seed != newer.Seed || older.Site != newer.Site {
		fmt.Fprintf(out, "not alike: that was profile %s, seed %d, site %s\n", older.Profile, older.Seed, older.Site)
	}
	w := newTable(out)
	fmt.Fprintf(w, "figure\told\tnew\tnew/old\n")
	for _, c := range Compare(older, newer) {
		ratio := "-"
		if v, ok := c.Ratio(); ok {
			ratio = fmt.Sprintf("%.3f", v)
		}
		fmt.Fprintf(w, "%s, %s\t%s\t%s\t%s\n", c.Name, c.Unit, optional(c.Old), optional(c.New), ratio)
	}
	_ = w.Flush()
}

func optional(v *float64) string {
	if v == nil {
		return "-"
	}
	return number(*v)
}
