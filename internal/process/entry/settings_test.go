package entry

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
)

const goodSettings = `{"name":"e1","domain":"d1","platform":"http://127.0.0.1:7000",
	"ticket_key":"0123456789abcdef","peer_token":"0123456789abcdef"}`

// Checks that accepted settings pass Validate and survive encoding and decoding.
func FuzzSettings(f *testing.F) {
	for _, seed := range []string{
		goodSettings,
		goodSettings + "{}",
		strings.Replace(goodSettings, `"name":"e1"`, `"nmae":"e1"`, 1),
		strings.Replace(goodSettings, `"name":"e1"`, `"name":"e1","beat_millis":5`, 1),
		strings.Replace(goodSettings, `"name":"e1"`, `"name":"e1","caller_listen":"nowhere"`, 1),
		strings.Replace(goodSettings, `"name":"e1"`, `"name":"e1","timelines":-1`, 1),
		strings.Replace(goodSettings, `"name":"e1"`, `"name":"e1","peers":["127.0.0.1:1"]`, 1),
		`{}`, `null`, ``, `[]`, "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseSettings(text)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseSettings(encoded)
		if err != nil || !reflect.DeepEqual(again, s) {
			t.Errorf("%q reads back as %+v: %v", encoded, again, err)
		}
	})
}

// Checks that all invalid settings are reported together, with the allowed values,
// and that no message contains a secret.
func TestSettingErrors(t *testing.T) {
	const short = "short-secret"
	_, err := ParseSettings([]byte(`{"name":"e1","domain":"","platform":"","ticket_key":"` + short + `","peer_token":"0123456789abcdef","beat_millis":5}`))
	var one *SettingError
	if !errors.As(err, &one) {
		t.Fatalf("got %v", err)
	}
	for _, path := range []string{"domain", "platform", "ticket_key", "beat_millis"} {
		if !strings.Contains(err.Error(), "setting "+path+" is") {
			t.Errorf("%s is not named in %q", path, err)
		}
	}
	if strings.Contains(err.Error(), short) || strings.Contains(err.Error(), "setting name") {
		t.Errorf("says too much: %q", err)
	}
}
