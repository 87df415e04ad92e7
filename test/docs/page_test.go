// Package docs keeps the pages true: what they say of commands, flags, error
// kinds, endpoints, settings, rules and metrics is compared with the code, and
// their links are followed. Blocks between a begin and an end mark are written
// by the code; UPDATE_DOCS=1 go test ./test/docs writes them again.
package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../.."

func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, name))
	assert.NilError(t, err)
	return string(data)
}

// block compares a marked block of a page with what the code says.
func block(t *testing.T, name, mark, want string) {
	t.Helper()
	text := page(t, name)
	begin, end := "<!-- "+mark+":begin -->\n", "<!-- "+mark+":end -->"
	before, rest, found := strings.Cut(text, begin)
	assert.Assert(t, found, "%s has no mark %q", name, begin)
	present, after, found := strings.Cut(rest, end)
	assert.Assert(t, found, "%s has no mark %q", name, end)
	if present == want {
		return
	}
	if os.Getenv("UPDATE_DOCS") == "" {
		assert.Equal(t, present, want, "run UPDATE_DOCS=1 go test ./test/docs")
	}
	assert.NilError(t, os.WriteFile(filepath.Join(root, name), []byte(before+begin+want+end+after), 0o600))
}

// field is one field of a struct, as JSON and in words.
type field struct {
	name, goName, kind, doc string
}

// structFields reads the fields of a struct from its source, with their doc
// comments.
func structFields(t *testing.T, file, name string) []field {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, file), nil, parser.ParseComments)
	assert.NilError(t, err)
	var fields []field
	ast.Inspect(parsed, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok || spec.Name.Name != name {
			return true
		}
		shared := "" // the last comment, which may be about several fields
		for _, member := range spec.Type.(*ast.StructType).Fields.List {
			if member.Tag == nil {
				continue
			}
			if comment := strings.Join(strings.Fields(member.Doc.Text()), " "); comment != "" {
				shared = comment
			}
			fields = append(fields, fieldOf(t, member, shared))
		}
		return false
	})
	assert.Assert(t, len(fields) > 0, "no struct %s in %s", name, file)
	for i := range fields {
		for _, other := range fields {
			fields[i].doc = other.inPlaceOfGoName(fields[i].doc)
		}
	}
	return fields
}

// fieldOf describes a member. Its comment must name it.
func fieldOf(t *testing.T, member *ast.Field, comment string) field {
	t.Helper()
	tag := reflect.StructTag(strings.Trim(member.Tag.Value, "`")).Get("json")
	name, _, _ := strings.Cut(tag, ",")
	goName := member.Names[0].Name
	assert.Check(t, regexp.MustCompile(`\b`+goName+`\b`).MatchString(comment), "field %s has no comment that names it", goName)
	doc := strings.TrimPrefix(strings.TrimPrefix(comment, goName+" "), "is ")
	return field{name: name, goName: goName, kind: typeName(member.Type), doc: strings.ToUpper(doc[:1]) + doc[1:]}
}

// inPlaceOfGoName writes the field's JSON name where a text has its Go name.
func (f field) inPlaceOfGoName(text string) string {
	leading := regexp.MustCompile(`^([A-Z]\w*, )*` + f.goName + `(,| and) `)
	inner := regexp.MustCompile(`[a-z][A-Z]|[A-Z]{2}`).MatchString(f.goName)
	if !inner && !leading.MatchString(text) && !strings.Contains(text, " and "+f.goName+" ") && !strings.Contains(text, ", "+f.goName+" and ") {
		return text
	}
	return regexp.MustCompile("`?\\b"+f.goName+"\\b`?").ReplaceAllString(text, "`"+f.name+"`")
}

func typeName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.ArrayType:
		return "list of " + typeName(e.Elt)
	case *ast.SelectorExpr:
		return map[string]string{"Time": "time", "RawMessage": "any JSON"}[e.Sel.Name]
	case *ast.Ident:
		return map[string]string{"int64": "integer", "int": "integer", "float64": "number", "bool": "boolean"}[e.Name] + plainName(e.Name)
	}
	return "object"
}

func plainName(name string) string {
	switch name {
	case "int64", "int", "float64", "bool":
		return ""
	}
	return strings.ToLower(name)
}

func table(header string, rows [][]string) string {
	var out strings.Builder
	columns := strings.Count(header, "|") + 1
	fmt.Fprintf(&out, "| %s |\n|%s\n", header, strings.Repeat("---|", columns))
	for _, row := range rows {
		fmt.Fprintf(&out, "| %s |\n", strings.Join(row, " | "))
	}
	return out.String()
}

// goFiles calls f for every file of the product's code.
func goFiles(t *testing.T, f func(path, text string)) {
	t.Helper()
	for _, dir := range []string{"api", "cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			f(path, string(data))
			return err
		})
		assert.NilError(t, err)
	}
}

// matches returns the sorted distinct first groups of a pattern in a text.
func matches(pattern, text string) []string {
	var found []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	sort.Strings(found)
	return slices.Compact(found)
}
