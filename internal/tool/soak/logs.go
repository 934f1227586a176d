package soak

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pumiceyard/pumiceyard/internal/tool/logstory"
)

// Logs of a soak: SEED-VM.log of each VM, SEED-faults.log, and SEED-callers.log of the attempts that callers may
// repeat, all with klog's line headers, so that the lines of all of them can be merged by time.

// logTimeAt is where the time begins in klog's line headers.
const logTimeAt = 1

// eventLog is a log of what the soak does itself. It is safe for concurrent use.
type eventLog struct {
	mu  sync.Mutex
	out io.WriteCloser
	err error // the first failed write
}

// newFaultLog creates the log of when faults begin and end.
func newFaultLog(dir string, seed uint64) (*eventLog, error) { return newEventLog(dir, seed, "faults") }

// newEventLog creates a log, and its directory if that does not exist.
func newEventLog(dir string, seed uint64, name string) (*eventLog, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(dir, fmt.Sprintf("%d-%s.log", seed, name)))
	if err != nil {
		return nil, err
	}
	return &eventLog{out: out}, nil
}

// write writes that a fault begins or ends.
func (l *eventLog) write(what string, f fault) {
	l.writeLine(fmt.Sprintf("\"fault %s\" kind=%q target=%q", what, f.kind, f.target))
}

func (l *eventLog) writeLine(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := fmt.Fprintf(l.out, "I%s soak] %s\n", time.Now().Format(logstory.TimeLayout), text)
	if l.err == nil {
		l.err = err
	}
}

// close closes the log. The error is that of the first failed write, if any.
func (l *eventLog) close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.out.Close(); l.err == nil {
		l.err = err
	}
	return l.err
}

// logLine is a line of a log and the name of the file without its seed, such as "vm1".
type logLine struct{ from, text string }

func (l logLine) time() string {
	if len(l.text) < logTimeAt+len(logstory.TimeLayout) {
		return ""
	}
	return l.text[logTimeAt : logTimeAt+len(logstory.TimeLayout)]
}

// linesOf returns the lines of all logs of a seed that name a submission, and those of the faults until the last of
// them, by time.
func linesOf(dir string, seed uint64, key string) ([]logLine, error) {
	named, err := regexp.Compile(`(^|[^\w-])` + regexp.QuoteMeta(key) + `($|[^\w-])`)
	if err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(dir, fmt.Sprintf("%d-*.log", seed)))
	if err != nil {
		return nil, err
	}
	var lines, faults []logLine
	for _, path := range paths {
		from := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(path), fmt.Sprintf("%d-", seed)), ".log")
		of, err := readLines(path, from)
		if err != nil {
			return nil, err
		}
		if from == "faults" {
			faults = of
			continue
		}
		lines = append(lines, slices.DeleteFunc(of, func(l logLine) bool { return !named.MatchString(l.text) })...)
	}
	byTime := func(a, b logLine) int { return strings.Compare(a.time(), b.time()) }
	slices.SortStableFunc(lines, byTime)
	if len(lines) == 0 {
		return nil, nil
	}
	last := lines[len(lines)-1]
	lines = append(lines, slices.DeleteFunc(faults, func(l logLine) bool { return byTime(l, last) > 0 })...)
	slices.SortStableFunc(lines, byTime)
	return lines, nil
}

func readLines(path, from string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []logLine
	scanner := logstory.NewScanner(f)
	for scanner.Scan() {
		out = append(out, logLine{from, scanner.Text()})
	}
	return out, scanner.Err()
}

// submissionKey finds the key of a submission of a soak in a text.
var submissionKey = regexp.MustCompile(`(` + crashingPrefix + `)?s\d+-c\d+-\d+`)

// printLines prints the lines of the submission that a violation names.
func (s *soak) printLines(v *Violation) {
	key := submissionKey.FindString(v.Guarantee)
	if key == "" {
		return
	}
	lines, err := linesOf(s.opt.LogDir, s.opt.Seed, key)
	if err != nil {
		fmt.Fprintf(s.opt.Out, "seed %d: the logs in %s cannot be read: %v\n", s.opt.Seed, s.opt.LogDir, err)
		return
	}
	fmt.Fprintf(s.opt.Out, "seed %d: the lines of %s and the faults until then:\n", s.opt.Seed, key)
	for _, l := range lines {
		fmt.Fprintf(s.opt.Out, "%-8s%s\n", l.from, l.text)
	}
}
