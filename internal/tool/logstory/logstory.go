// Package logstory reconstructs the course of one submission from the log files of entry
// VMs. It needs no running site.
package logstory

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// line is one log line about a submission.
type line struct {
	vm        string // the file's name
	timestamp string // month, day and time of day
	message   string
	detail    string
}

// LinePrefixPattern matches the klog header before the message of a line: severity, date and
// time (its only group), thread and source position.
const LinePrefixPattern = `[IWE](\d{4} \d{2}:\d{2}:\d{2}\.\d+)\s+\d+ \S+\] `

var klogLine = regexp.MustCompile(`^` + LinePrefixPattern + `"([^"]*)" ?(.*)$`)

// TimeLayout is the layout of the time in a klog header, as matched by LinePrefixPattern.
const TimeLayout = "0102 15:04:05.000000"

const maxLineBytes = 1 << 20 // bytes

// NewScanner returns a scanner over the lines of a log.
func NewScanner(in io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	return s
}

// Log is the log of one entry VM. The file name without its extension is shown as the VM's name.
type Log struct {
	Name   string
	Reader io.Reader
}

// WriteTimeline writes the lines of all logs that name a submission, sorted by date and time,
// followed by the expected events that no line records. It reports whether any line was found.
func WriteTimeline(id string, logs []Log, out io.Writer) (found bool, err error) {
	var all []line
	for _, l := range logs {
		lines, err := readLog(id, l)
		if err != nil {
			return false, fmt.Errorf("%s: %w", l.Name, err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b line) int { return cmp.Compare(a.timestamp, b.timestamp) })
	for _, l := range all {
		if _, err := fmt.Fprintf(out, "%s  %-20s %s  %s\n", l.timestamp, l.vm, strings.TrimPrefix(l.message, "kept: "), l.detail); err != nil {
			return false, err
		}
	}
	for _, m := range missingEvents(all) {
		if _, err := fmt.Fprintln(out, m); err != nil {
			return false, err
		}
	}
	return len(all) > 0, nil
}

func readLog(id string, l Log) ([]line, error) {
	var out []line
	s := NewScanner(l.Reader)
	mark := `id="` + id + `"`
	name := strings.TrimSuffix(filepath.Base(l.Name), filepath.Ext(l.Name))
	for s.Scan() {
		text := s.Text()
		if !strings.Contains(text, mark) {
			continue
		}
		m := klogLine.FindStringSubmatch(text)
		if m == nil {
			continue // not a structured log line
		}
		out = append(out, line{vm: name, timestamp: m[1], message: m[2], detail: strings.TrimSpace(strings.Replace(m[3], mark, "", 1))})
	}
	return out, s.Err()
}

// missingEvents describes which of acceptance, first start and end no line records. Older builds log "taken" in place
// of "accepted transient".
func missingEvents(all []line) []string {
	has := func(whats ...string) bool {
		return slices.ContainsFunc(all, func(l line) bool {
			return slices.Contains(whats, strings.TrimPrefix(l.message, "kept: "))
		})
	}
	var out []string
	if len(all) == 0 {
		return []string{"no log line names it: the log of the VM that received it is not given, or it was never received"}
	}
	if !has("accepted", "accepted before", "accepted transient", "taken", "refused") {
		out = append(out, "missing: its acceptance; the log of the VM that accepted it is not given")
	}
	if has("accepted", "accepted transient", "taken") && !has("start", "refused", "abandoned") {
		out = append(out, "missing: its first start; a shard holder's log is not given, or it never got capacity")
	}
	if !has("answered", "ended", "refused", "given up", "abandoned", "cancelled") {
		out = append(out, "missing: its end; its home VM or the shard holder crashed, or it has not ended yet")
	}
	return out
}
