package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// checkedPackages are the packages whose comments and names must follow the
// rules below, except in test files.
var checkedPackages = []string{
	"internal/deployment", "internal/dispatch", "internal/emulator", "internal/losses", "internal/workload", "platform",
}

// commentRules match what comments must not contain: figures of runs, which
// belong in the commit or on a page; history, dates, issue numbers and names of
// measuring tools.
var commentRules = map[string]*regexp.Regexp{
	"a figure":         regexp.MustCompile(`\b\d+(\.\d+)? ?(ms|s|%|MB|cores|of a core)(\W|$)`),
	"history":          regexp.MustCompile(`(?i)\b(used to be|previously|an earlier (rule|version)|before this change)\b`),
	"a date":           regexp.MustCompile(`\b20\d\d-\d\d`),
	"an issue":         regexp.MustCompile(`(?i)\bissue #?\d+|(^|\s)#\d+`),
	"a measuring tool": regexp.MustCompile(`(?i)fleet[b]ench|\bthe [b]ench\b`),
}

// retiredNames are identifiers that docs/GLOSSARY.md replaces with a standard
// term.
var retiredNames = regexp.MustCompile(`(?i)^(conductor|holder|holders|sight|sights|foreign|indoubt|noroom|unwritten|tellheld|keepsout|withoutheadroom|claimagain|spinwatch)$`)

// wordingFaults returns every violation of commentRules and retiredNames in a
// source file.
func wordingFaults(t *testing.T, name, source string) []string {
	t.Helper()
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, name, source, parser.ParseComments)
	assert.NilError(t, err)
	var faults []string
	report := func(at token.Pos, what, text string) {
		faults = append(faults, files.Position(at).String()+": "+what+": "+strings.TrimSpace(text))
	}
	for _, group := range parsed.Comments {
		for _, comment := range group.List {
			for what, rule := range commentRules {
				if rule.MatchString(comment.Text) {
					report(comment.Pos(), what, comment.Text)
				}
			}
		}
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		if id, ok := node.(*ast.Ident); ok && retiredNames.MatchString(id.Name) {
			report(id.Pos(), "a retired name", id.Name)
		}
		return true
	})
	return faults
}

func TestCommentsAndNamesFollowTheWordingRules(t *testing.T) {
	for _, dir := range checkedPackages {
		list, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
		assert.NilError(t, err)
		for _, file := range list {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			assert.NilError(t, err)
			assert.DeepEqual(t, wordingFaults(t, file, string(source)), []string(nil))
		}
	}
}

func TestWordingFaultsAreDetected(t *testing.T) {
	for sentence, c := range map[string]struct {
		source string
		faults int
	}{
		"a reason":            {"package p\n\n// limit bounds a burst: without it renewals come late.\nconst limit = 3\n", 0},
		"a figure of a run":   {"package p\n\n// limit saves 0.24 of a core.\nconst limit = 3\n", 1},
		"a time":              {"package p\n\n// limit: workers answer within 10 ms.\nconst limit = 3\n", 1},
		"history":             {"package p\n\n// limit used to be larger.\nconst limit = 3\n", 1},
		"a date and an issue": {"package p\n\n// limit, 2026-12-03, issue 22.\nconst limit = 3\n", 2},
		"a retired name":      {"package p\n\nvar conductor, leader int\n", 1},
	} {
		t.Run(sentence, func(t *testing.T) {
			assert.Equal(t, len(wordingFaults(t, "p.go", c.source)), c.faults)
		})
	}
}
