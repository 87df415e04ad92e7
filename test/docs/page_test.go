// Package docs checks the documentation against the code: commands, flags,
// error kinds, endpoints, messages, settings, rules, metrics, log lines, decision
// steps, examples and links. It also checks the wording of comments and names.
// The blocks between begin and end markers are generated; UPDATE_DOCS=1 go test
// ./test/docs writes them again.
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

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, name))
	assert.NilError(t, err)
	return string(data)
}

// checkBlock compares a marked block of a page with the text generated from the
// code, or writes it if UPDATE_DOCS is set.
func checkBlock(t *testing.T, name, marker, want string) {
	t.Helper()
	text := readPage(t, name)
	begin, end := "<!-- "+marker+":begin -->\n", "<!-- "+marker+":end -->"
	before, rest, found := strings.Cut(text, begin)
	assert.Assert(t, found, "%s has no marker %q", name, begin)
	present, after, found := strings.Cut(rest, end)
	assert.Assert(t, found, "%s has no marker %q", name, end)
	if present == want {
		return
	}
	if os.Getenv("UPDATE_DOCS") == "" {
		assert.Equal(t, present, want, "run UPDATE_DOCS=1 go test ./test/docs")
	}
	assert.NilError(t, os.WriteFile(filepath.Join(root, name), []byte(before+begin+want+end+after), 0o600))
}

// field describes a struct field: its JSON name, Go name, type and
// documentation.
type field struct {
	name, goName, kind, doc string
}

// structFields reads the tagged fields of a struct from its source, with their
// doc comments.
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
		groupDoc := "" // the last doc comment; it may cover several fields
		for _, member := range spec.Type.(*ast.StructType).Fields.List {
			if member.Tag == nil {
				continue
			}
			if comment := strings.Join(strings.Fields(member.Doc.Text()), " "); comment != "" {
				groupDoc = comment
			}
			fields = append(fields, newField(t, member, groupDoc))
		}
		return false
	})
	assert.Assert(t, len(fields) > 0, "no struct %s in %s", name, file)
	for i := range fields {
		for _, other := range fields {
			fields[i].doc = other.replaceGoName(fields[i].doc)
		}
	}
	return fields
}

// newField describes a struct field. Its doc comment must name the field.
func newField(t *testing.T, member *ast.Field, comment string) field {
	t.Helper()
	tag := reflect.StructTag(strings.Trim(member.Tag.Value, "`")).Get("json")
	name, _, _ := strings.Cut(tag, ",")
	goName := member.Names[0].Name
	assert.Check(t, regexp.MustCompile(`\b`+goName+`\b`).MatchString(comment), "field %s has no comment that names it", goName)
	doc := strings.TrimPrefix(strings.TrimPrefix(comment, goName+" "), "is ")
	return field{name: name, goName: goName, kind: typeName(member.Type), doc: strings.ToUpper(doc[:1]) + doc[1:]}
}

// replaceGoName replaces the field's Go name in a text with its JSON name. A
// name that may also be an ordinary word, such as Account, is replaced only
// where the text lists it together with other fields.
func (f field) replaceGoName(text string) string {
	leading := regexp.MustCompile(`^([A-Z]\w*, )*` + f.goName + `(,| and) `)
	isMixedCase := regexp.MustCompile(`[a-z][A-Z]|[A-Z]{2}`).MatchString(f.goName)
	if !isMixedCase && !leading.MatchString(text) && !strings.Contains(text, " and "+f.goName+" ") && !strings.Contains(text, ", "+f.goName+" and ") {
		return text
	}
	return regexp.MustCompile("`?\\b"+f.goName+"\\b`?").ReplaceAllString(text, "`"+f.name+"`")
}

// typeName returns the name of a field's type as the pages show it.
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

// plainName returns the name of a declared type in lower case, or "" for the
// basic types, which typeName names itself.
func plainName(name string) string {
	switch name {
	case "int64", "int", "float64", "bool":
		return ""
	}
	return strings.ToLower(name)
}

func markdownTable(header string, rows [][]string) string {
	var out strings.Builder
	columns := strings.Count(header, "|") + 1
	fmt.Fprintf(&out, "| %s |\n|%s\n", header, strings.Repeat("---|", columns))
	for _, row := range rows {
		fmt.Fprintf(&out, "| %s |\n", strings.Join(row, " | "))
	}
	return out.String()
}

// goFiles calls f for every non-test Go file of the product.
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

// matches returns the sorted, distinct first groups of the matches of a
// pattern.
func matches(pattern, text string) []string {
	var found []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	sort.Strings(found)
	return slices.Compact(found)
}
