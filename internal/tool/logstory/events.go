package logstory

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Event is one log line of an entry VM.
type Event struct {
	At      time.Time
	Source  string // what precedes the klog header; if nothing does, the log's number. Lines of one VM have the same.
	Message string // without "kept: "
	fields  string
}

var keptLine = regexp.MustCompile(`^(.*)` + LinePrefixPattern + `"kept: ([^"]*)" ?(.*)$`)

// ReadEvents reads the lines of the engine for submissions under the caller's own key whose message is one of messages, and returns
// them by time. Lines without such a message are passed over. Of a cut line that runs into another one, as where several VMs write into
// one file, the other one is read. It compares times of different VMs, so their clocks
// should agree to within a few milliseconds.
func ReadEvents(logs []io.Reader, messages ...string) ([]Event, error) {
	var all []Event
	for i, l := range logs {
		s := NewScanner(l)
		for s.Scan() {
			if !strings.Contains(s.Text(), `"kept: `) {
				continue
			}
			m := keptLine.FindStringSubmatch(s.Text())
			if m == nil || !slices.Contains(messages, m[3]) {
				continue
			}
			at, err := time.Parse(TimeLayout, m[2])
			if err != nil {
				return nil, fmt.Errorf("invalid time in a log line: %w", err)
			}
			all = append(all, Event{At: at, Source: sourceName(m[1], i), Message: m[3], fields: m[4]})
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(all, func(a, b Event) int { return a.At.Compare(b.At) })
	return all, nil
}

// sourceName takes the last word before the header: what stands before it, such as a time, differs from line to line.
func sourceName(prefix string, log int) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return strconv.Itoa(log)
	}
	return words[len(words)-1]
}

// Field returns the value of a field; "": the line lacks it.
func (ev *Event) Field(name string) string {
	rest := ev.fields
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			return ""
		}
		value := after
		if quoted, err := strconv.QuotedPrefix(after); err == nil {
			value, rest = quoted, after[len(quoted):]
		} else {
			value, rest, _ = strings.Cut(after, " ")
		}
		if key[strings.LastIndexByte(key, ' ')+1:] == name {
			if text, err := strconv.Unquote(value); err == nil {
				return text
			}
			return value
		}
	}
	return ""
}

// Duration returns the value of a field; 0 if it is missing or invalid: lines of other releases lack some.
func (ev *Event) Duration(name string) time.Duration {
	d, err := time.ParseDuration(ev.Field(name))
	if err != nil {
		return 0
	}
	return d
}

// Number returns the value of a field; 0 if it is missing or invalid.
func (ev *Event) Number(name string) float64 {
	n, err := strconv.ParseFloat(ev.Field(name), 64)
	if err != nil {
		return 0
	}
	return n
}
