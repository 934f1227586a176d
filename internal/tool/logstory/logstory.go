// Package logstory tells what became of a submission from the logs of entry VMs, without
// a live site.
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
	vm     string // the file's name
	stamp  string // month, day and time of day
	what   string
	detail string
}

// Head is the pattern of what stands before the message of a line: severity, date and time
// (the one group), thread, place.
const LinePrefixPattern = `[IWE](\d{4} \d{2}:\d{2}:\d{2}\.\d+)\s+\d+ \S+\] `

var klogLine = regexp.MustCompile(`^` + LinePrefixPattern + `"([^"]*)" ?(.*)$`)

const lineMost = 1 << 20 // bytes

// NewScanner reads a log by its lines.
func NewScanner(in io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(in)
	s.Buffer(nil, lineMost)
	return s
}

// Log is one VM's log.
type Log struct {
	Name   string
	Reader io.Reader
}

// Tell writes the lines of all logs that name a submission, in the order of their times
// of day, and says what is missing. It reports whether any line was found.
func WriteTimeline(id string, logs []Log, out io.Writer) (found bool, err error) {
	var all []line
	for _, l := range logs {
		lines, err := read(id, l)
		if err != nil {
			return false, fmt.Errorf("%s: %w", l.Name, err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b line) int { return cmp.Compare(a.stamp, b.stamp) })
	for _, l := range all {
		if _, err := fmt.Fprintf(out, "%s  %-20s %s  %s\n", l.stamp, l.vm, strings.TrimPrefix(l.what, "kept: "), l.detail); err != nil {
			return false, err
		}
	}
	for _, m := range missing(all) {
		if _, err := fmt.Fprintln(out, m); err != nil {
			return false, err
		}
	}
	return len(all) > 0, nil
}

func read(id string, l Log) ([]line, error) {
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
			continue // not a line of a decision
		}
		out = append(out, line{vm: name, stamp: m[1], what: m[2], detail: strings.TrimSpace(strings.Replace(m[3], mark, "", 1))})
	}
	return out, s.Err()
}

// missing says which parts of a submission's life no line tells of. "taken" is how older builds log "accepted
// transient".
func missing(all []line) []string {
	has := func(whats ...string) bool {
		return slices.ContainsFunc(all, func(l line) bool {
			return slices.Contains(whats, strings.TrimPrefix(l.what, "kept: "))
		})
	}
	var out []string
	if len(all) == 0 {
		return []string{"no log names it: it came to a VM whose log is not here, or never came"}
	}
	if !has("accepted", "accepted before", "accepted transient", "taken", "refused") {
		out = append(out, "missing: the VM that took it")
	}
	if has("accepted", "accepted transient", "taken") && !has("start", "refused", "abandoned") {
		out = append(out, "missing: its first start; a holder's log is not here, or it never had room")
	}
	if !has("answered", "ended", "refused", "given up", "abandoned", "cancelled") {
		out = append(out, "missing: its end; its home or holder died, or it goes on")
	}
	return out
}
