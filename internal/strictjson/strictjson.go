// Package strictjson validates a JSON file against a JSON schema and reports all
// errors at once, up to a bound, each with file, path, line and column. The validation is done
// by santhosh-tekuri/jsonschema; this package adds positions, the detection of
// duplicate names and the decoding into a Go type.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/corianderbank/corianderbank/api"
)

// Error lists every problem found in one file.
type Error struct {
	Problems []api.Problem
}

// Error returns one line per problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = Format(problem)
	}
	return strings.Join(lines, "\n")
}

// Format formats a problem as file:line:column: path: message.
func Format(p api.Problem) string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Path, p.Message)
}

// Schema is a compiled JSON schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles an embedded schema. It panics on an error; the tests of
// the embedding package check that the schema compiles.
func MustCompile(name string, data []byte) *Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		panic(err)
	}
	return &Schema{compiled: compiler.MustCompile(name)}
}

// Decode validates data and decodes it into target. If there are problems, it
// returns an *Error with all of them and leaves target unchanged.
func (s *Schema) Decode(file string, data []byte, target any) error {
	positions, problems := buildIndex(file, data)
	if len(problems) == 0 {
		problems = s.validate(file, data, positions)
	}
	if len(problems) > 0 {
		sortProblems(problems)
		return &Error{Problems: problems}
	}
	if err := json.Unmarshal(data, target); err != nil {
		return &Error{Problems: []api.Problem{{File: file, Path: "/", Line: 1, Column: 1, Message: err.Error()}}}
	}
	return nil
}

// maxProblems bounds the problems that the validation of one file lists. Each takes a message, and the
// time to find its line.
const maxProblems = 1000

func (s *Schema) validate(file string, data []byte, positions *Positions) []api.Problem {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []api.Problem{{File: file, Path: "/", Line: 1, Column: 1, Message: err.Error()}}
	}
	var validationErr *jsonschema.ValidationError
	if err := s.compiled.Validate(document); !errors.As(err, &validationErr) {
		return nil
	}
	printer := message.NewPrinter(language.English)
	var problems []api.Problem
	more := 0
	var walk func(*jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		switch {
		case len(e.Causes) > 0:
		case len(problems) == maxProblems:
			more++
		default:
			problems = append(problems, positions.Problem(jsonPointer(e.InstanceLocation), e.ErrorKind.LocalizedString(printer)))
		}
		for _, cause := range e.Causes {
			walk(cause)
		}
	}
	walk(validationErr)
	if more > 0 {
		problems = append(problems, positions.Problem("/", fmt.Sprintf("%d more problems are not listed", more)))
	}
	return problems
}

func sortProblems(problems []api.Problem) {
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].Line != problems[j].Line {
			return problems[i].Line < problems[j].Line
		}
		return problems[i].Column < problems[j].Column
	})
}

func jsonPointer(location []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var out strings.Builder
	for _, part := range location {
		out.WriteString("/" + escape.Replace(part))
	}
	if out.Len() == 0 {
		return "/"
	}
	return out.String()
}

// Positions maps the JSON pointers of a file to byte offsets.
type Positions struct {
	file    string
	data    []byte
	offsets map[string]int64
}

// Problem returns a problem at the position of a JSON pointer. A pointer that is
// not in the file gets the position of its nearest parent.
func (p *Positions) Problem(path, text string) api.Problem {
	offset, found := p.offsets[path]
	for parent := path; !found && parent != ""; {
		parent = parent[:max(strings.LastIndexByte(parent, '/'), 0)]
		offset, found = p.offsets[parent]
	}
	line, column := lineAndColumn(p.data, offset)
	return api.Problem{File: p.file, Path: path, Line: line, Column: column, Message: text}
}

// Has reports whether the file has a value at a JSON pointer.
func (p *Positions) Has(path string) bool {
	_, found := p.offsets[path]
	return found
}

// Sort orders problems by their position in the file.
func Sort(problems []api.Problem) { sortProblems(problems) }

// Index returns the position of every value of a well-formed file.
func Index(file string, data []byte) *Positions {
	positions, _ := buildIndex(file, data)
	return positions
}

func lineAndColumn(data []byte, offset int64) (line, column int) {
	before := data[:min(offset, int64(len(data)))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// maxDepth limits the nesting of a file, so that hostile input cannot exhaust
// the stack.
const maxDepth = 64

type indexer struct {
	positions *Positions
	decoder   *json.Decoder
	problems  []api.Problem
}

func buildIndex(file string, data []byte) (*Positions, []api.Problem) {
	positions := &Positions{file: file, data: data, offsets: map[string]int64{"": 0, "/": 0}}
	ix := &indexer{positions: positions, decoder: json.NewDecoder(bytes.NewReader(data))}
	ix.decoder.UseNumber()
	err := ix.indexValue("", 0)
	if err == nil {
		err = ix.checkEnd()
	}
	if err != nil {
		line, column := lineAndColumn(data, ix.decoder.InputOffset())
		ix.problems = append(ix.problems, api.Problem{File: file, Path: "/", Line: line, Column: column, Message: err.Error()})
	}
	return positions, ix.problems
}

func (ix *indexer) checkEnd() error {
	if _, err := ix.decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the document")
	}
	return nil
}

// nextOffset returns the offset of the next token, skipping separators.
func (ix *indexer) nextOffset() int64 {
	offset := ix.decoder.InputOffset()
	for offset < int64(len(ix.positions.data)) && strings.IndexByte(" \t\r\n,:", ix.positions.data[offset]) >= 0 {
		offset++
	}
	return offset
}

func (ix *indexer) indexValue(path string, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("nested deeper than %d", maxDepth)
	}
	ix.positions.offsets[path] = ix.nextOffset()
	token, err := ix.decoder.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return ix.indexObject(path, depth)
	case json.Delim('['):
		return ix.indexArray(path, depth)
	}
	return nil
}

func (ix *indexer) indexObject(path string, depth int) error {
	seen := make(map[string]bool)
	for ix.decoder.More() {
		offset := ix.nextOffset()
		token, err := ix.decoder.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return errors.New("object name is not a string")
		}
		child := path + jsonPointer([]string{name})
		if seen[name] {
			line, column := lineAndColumn(ix.positions.data, offset)
			ix.problems = append(ix.problems, api.Problem{File: ix.positions.file, Path: child, Line: line, Column: column, Message: "duplicate name"})
		}
		seen[name] = true
		if err := ix.indexValue(child, depth+1); err != nil {
			return err
		}
	}
	_, err := ix.decoder.Token()
	return err
}

func (ix *indexer) indexArray(path string, depth int) error {
	for i := 0; ix.decoder.More(); i++ {
		if err := ix.indexValue(fmt.Sprintf("%s/%d", path, i), depth+1); err != nil {
			return err
		}
	}
	_, err := ix.decoder.Token()
	return err
}
