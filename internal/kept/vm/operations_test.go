package vm

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against a page that has operators search the logs for lines that no VM writes.
func TestPageOnTwoRunsSearchesForLinesThatExist(t *testing.T) {
	t.Run("one shard", func(t *testing.T) { checkSearches(t, "It ran twice at once", 3, "*.go") })
	t.Run("two shards", func(t *testing.T) { checkSearches(t, "It ran twice at two shards", 2, "*.go", "../link/*.go") })
}

// checkSearches compares what a section of the page searches for with the lines in some files.
func checkSearches(t *testing.T, title string, searches int, patterns ...string) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, p := range patterns {
		found, err := filepath.Glob(p)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	var source strings.Builder
	for _, f := range files {
		if text, err := os.ReadFile(f); err == nil && !strings.HasSuffix(f, "_test.go") {
			source.Write(text)
		}
	}
	_, section, found := strings.Cut(string(page), "### "+title+"\n")
	section, _, _ = strings.Cut(section, "\n##")
	greps := regexp.MustCompile(`(?m)^    grep -E '"kept: \(([^)]*)\)`).FindAllStringSubmatch(section, -1)
	if !found || len(greps) != searches {
		t.Fatalf("%d searches in the section, want %d", len(greps), searches)
	}
	for _, g := range greps {
		for _, message := range strings.Split(g[1], "|") {
			if !strings.Contains(source.String(), `"kept: `+message) {
				t.Errorf("no line %q", message)
			}
		}
	}
	for _, key := range regexp.MustCompile(`\b(since_start|since_listing|started_here|released_ago|newest_run|newest_at)\b`).FindAllString(section, -1) {
		if !strings.Contains(source.String(), `"`+key+`"`) {
			t.Errorf("no line has the key %q", key)
		}
	}
	for _, figure := range regexp.MustCompile("`([a-z_]+_(?:total|seconds))[`{]").FindAllStringSubmatch(section, -1) {
		if !strings.Contains(source.String(), `"`+figure[1]+`"`) {
			t.Errorf("no figure %s", figure[1])
		}
	}
}
