package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Figure is one number of a report. Names are made of words and, after commas,
// the group that the number is about, and stay the same from run to run.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Report is what a run found.
type Report struct {
	Profile  string         `json:"profile"`
	Seed     uint64         `json:"seed"`
	Site     string         `json:"site"` // "in-process" or "elsewhere"
	Began    time.Time      `json:"began"`
	Figures  []Figure       `json:"figures"`
	Outcomes map[string]int `json:"outcomes_and_reasons"` // jobs
	// Broken says which promises did not hold.
	Broken string `json:"broken,omitempty"`

	verdict error
	plots   *plotData
}

func (r *Report) add(unit string, value float64, format string, args ...any) {
	r.Figures = append(r.Figures, Figure{fmt.Sprintf(format, args...), value, unit})
}

// addOverhead adds what the tool itself costs.
func (r *Report) addOverhead(o *overhead) {
	const about = "the tool alone, against a server that answers at once, "
	r.add("us", micros(o.cpuPerJob), about+"CPU per job")
	r.add("us", micros(o.responseP50), about+"response p50")
	r.add("us", micros(o.responseP99), about+"response p99")
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// write prints the table and writes the files that were asked for.
func (r *Report) write(opt *Options, older *Report) error {
	r.printTable(opt.Out)
	if older != nil {
		printComparison(opt.Out, older, r)
	}
	if opt.JSON != "" {
		text, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(opt.JSON, append(text, '\n'), filePerm); err != nil {
			return err
		}
	}
	if opt.HTML == "" {
		return nil
	}
	f, err := os.OpenFile(opt.HTML, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return err
	}
	if err := r.writeHTML(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

const filePerm = 0o644
