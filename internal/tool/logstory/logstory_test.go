package logstory

import (
	"strings"
	"testing"
)

const homeLog = `I0907 19:39:01.100000    9274 transient.go:69] "kept: taken" id="a1" queue="q" shard="hall/0"
I0907 19:39:01.200000    9274 transient.go:69] "kept: taken" id="b2" queue="q" shard="hall/0"
not a line of the log with id="a1"
I0907 19:39:01.500000    9274 transient.go:188] "kept: answered" id="a1" state="done"
`

// acceptedMessages are the messages for an accepted transient submission: that of this build, and that of older builds,
// which may run beside it.
var acceptedMessages = []string{"accepted transient", "taken"}

// homeLogWith returns the log of the home VM with one of acceptedMessages.
func homeLogWith(message string) *strings.Reader {
	return strings.NewReader(strings.ReplaceAll(homeLog, `"kept: taken"`, `"kept: `+message+`"`))
}

const holderLog = `I0907 19:39:01.102000    9275 engine.go:138] "kept: start" id="a1" step=0 index=0 run=1 worker="w1"
`

func TestLinesOfAllVMsAreMergedByTime(t *testing.T) {
	for _, message := range acceptedMessages {
		var out strings.Builder
		found, err := WriteTimeline("a1", []Log{{"logs/vm1.log", homeLogWith(message)}, {"vm2.log", strings.NewReader(holderLog)}}, &out)
		if err != nil || !found {
			t.Fatal(message, found, err)
		}
		var order []string
		for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			f := strings.Fields(l)
			order = append(order, f[2]+" "+f[3])
		}
		if got := strings.Join(order, ", "); got != "vm1 "+strings.Fields(message)[0]+", vm2 start, vm1 answered" {
			t.Errorf("%s: %s\n%s", message, got, out.String())
		}
		if !strings.Contains(out.String(), " "+message+"  ") {
			t.Errorf("%s is not in\n%s", message, out.String())
		}
	}
}

func TestMissingEventsAreReported(t *testing.T) {
	for _, message := range acceptedMessages {
		for id, want := range map[string]string{"b2": "its first start", "none": "no log line names it"} {
			var out strings.Builder
			if _, err := WriteTimeline(id, []Log{{"vm1.log", homeLogWith(message)}}, &out); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s, %s: %s", message, id, out.String())
			}
			if strings.Contains(out.String(), "its acceptance") {
				t.Errorf("%s is not read: %s", message, out.String())
			}
		}
	}
}
