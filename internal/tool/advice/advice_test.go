package advice

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const repoRoot = "../../.."

// Every reason code that the code defines has exactly one entry, and there is no
// entry for a code that is not defined.
func TestEveryCodeIsExplained(t *testing.T) {
	defined := definedCodes(t)
	if len(defined) < 50 {
		t.Fatalf("found %d codes in the sources", len(defined))
	}
	explained := make(map[string]bool)
	for _, e := range All() {
		if explained[string(e.Code)] {
			t.Errorf("%s is explained twice", e.Code)
		}
		explained[string(e.Code)] = true
		if defined[string(e.Code)] == "" {
			t.Errorf("%s is explained but not defined", e.Code)
		}
		if e.Meaning == "" || e.Action == "" {
			t.Errorf("%s has no meaning or action", e.Code)
		}
	}
	for code, file := range defined {
		if !explained[code] {
			t.Errorf("%s of %s is not explained in internal/tool/advice/entries.go", code, file)
		}
	}
}

// docs/OPERATIONS.md has to contain the output of `pumiceyard reasons --markdown`.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repoRoot, "docs/OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Markdown()) {
		t.Error("the tables of docs/OPERATIONS.md are out of date: replace them by the output of `go run ./cmd/pumiceyard reasons --markdown`")
	}
}

// definedCodes returns the values of all string constants of the types Code and
// Reason under internal/, each with the file that defines it.
func definedCodes(t *testing.T) map[string]string {
	codes := make(map[string]string)
	err := filepath.WalkDir(filepath.Join(repoRoot, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.ValueSpec); ok && isCodeType(spec.Type) {
				for _, v := range spec.Values {
					if literal, ok := v.(*ast.BasicLit); ok && literal.Kind == token.STRING {
						code, _ := strconv.Unquote(literal.Value)
						codes[code] = path
					}
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return codes
}

func isCodeType(e ast.Expr) bool {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name == "Code" || e.Name == "Reason"
	case *ast.SelectorExpr:
		return e.Sel.Name == "Code"
	}
	return false
}
