package document

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const minimalDocument = `{"templates":[{"name":"b"},{"name":"a","class":"urgent"}],
 "accounts":[{"name":"root"},{"name":"leaf","parent":"root"}],
 "site":{"power_cap_milliwatts":10,"domains":{"d1":4,"d2":6}}}`

func TestParseFillsDefaultsAndSorts(t *testing.T) {
	doc, err := Parse([]byte(minimalDocument))
	if err != nil {
		t.Fatal(err)
	}
	b := doc.Template("b")
	if b == nil || b.Class != Normal || b.Declared.Milliwatts != DefaultMilliwatts || b.MaxTasks != DefaultMaxTasks {
		t.Errorf("template b = %+v", b)
	}
	if doc.Template("a").Class != Urgent || doc.Template("c") != nil {
		t.Error("lookup by name is wrong")
	}
	if doc.Account("leaf").Parent != "root" || doc.Account("leaf").Weight != DefaultWeight {
		t.Errorf("account leaf = %+v", doc.Account("leaf"))
	}
}

func TestSyntaxIsStrict(t *testing.T) {
	cases := map[string]string{
		"unknown field":   strings.Replace(minimalDocument, `"class"`, `"clas"`, 1),
		"repeated field":  strings.Replace(minimalDocument, `"name":"b"`, `"name":"b","Name":"x"`, 1),
		"repeated domain": strings.Replace(minimalDocument, `"d2":6`, `"d1":6`, 1),
		"trailing text":   minimalDocument + `{}`,
		"wrong type":      strings.Replace(minimalDocument, `"urgent"`, `7`, 1),
		"truncated":       minimalDocument[:len(minimalDocument)-2],
		"too long":        minimalDocument + strings.Repeat(" ", MaxEncodedBytes),
	}
	for name, text := range cases {
		var syntax *SyntaxError
		if _, err := Parse([]byte(text)); !errors.As(err, &syntax) {
			t.Errorf("%s: got %v, want a SyntaxError", name, err)
		}
	}
}

func TestInvalidFieldsAreNamed(t *testing.T) {
	cases := []struct{ old, new, path string }{
		{`"urgent"`, `"fast"`, "templates[a].class"},
		{`"name":"b"`, `"name":"a"`, "templates[a].name"},
		{`"name":"b"`, `"name":"B!"`, "templates[B!].name"},
		{`"name":"b"`, `"name":"b","max_tasks":921`, "templates[b].max_tasks"},
		{`"name":"b"`, `"name":"b","deadline_millis":5`, "templates[b].declared.run_millis"},
		{`"parent":"root"`, `"parent":"gone"`, "accounts[leaf].parent"},
		{`"name":"root"`, `"name":"root","parent":"leaf"`, "accounts[root].parent"},
		{`"name":"root"`, `"name":"root","key_hashes":["ABC"]`, "accounts[root].key_hashes[0]"},
		{`"d2":6`, `"d2":7`, "site.domains"},
	}
	for _, c := range cases {
		_, err := Parse([]byte(strings.Replace(minimalDocument, c.old, c.new, 1)))
		var invalid *InvalidError
		if !errors.As(err, &invalid) || !hasFieldError(invalid, c.path) {
			t.Errorf("%s -> %s: got %v, want a fault at %s", c.old, c.new, err, c.path)
		}
	}
}

func hasFieldError(invalid *InvalidError, path string) bool {
	for _, field := range invalid.Fields {
		if field.Path == path && field.Allowed != "" {
			return true
		}
	}
	return false
}

func TestKeyBelongsToOneAccount(t *testing.T) {
	hash := KeyHash("secret")
	one := strings.Replace(minimalDocument, `"name":"root"`, `"name":"root","key_hashes":["`+hash+`"]`, 1)
	doc, err := Parse([]byte(one))
	if err != nil {
		t.Fatal(err)
	}
	if got := doc.AccountOfKey("secret"); got == nil || got.Name != "root" {
		t.Errorf("account of key = %+v", got)
	}
	if doc.AccountOfKey("other") != nil {
		t.Error("a wrong key was accepted")
	}
	two := strings.Replace(one, `"name":"leaf"`, `"name":"leaf","key_hashes":["`+hash+`"]`, 1)
	if _, err := Parse([]byte(two)); err == nil {
		t.Error("one key for two accounts was accepted")
	}
}

func TestSampleDocumentsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../../deploy/*/document.json")
	if err != nil || len(paths) != 2 {
		t.Fatalf("found %v (%v), want two samples", paths, err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// FuzzParse checks that an accepted document is unchanged after encoding and
// parsing it again, so that every entry VM holds what the publisher validated.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalDocument))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"site":{"power_cap_milliwatts":1,"domains":{"d":1}},"revision":7}`))
	f.Add([]byte(`[[{"a":[]}]]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse(text)
		if err != nil {
			return
		}
		encoded, err := doc.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > MaxEncodedBytes {
			return
		}
		again, err := Parse(encoded)
		if err != nil {
			t.Fatalf("accepted document rejected after encoding: %v", err)
		}
		if !reflect.DeepEqual(doc, again) {
			t.Fatalf("parsed again as %+v, want %+v", again, doc)
		}
	})
}
