package strictjson

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testSchema = `{"type":"object","additionalProperties":false,"required":["name"],"properties":{
	"name":{"type":"string","minLength":1},"size":{"type":"integer","minimum":1},
	"list":{"type":"array","items":{"type":"object","additionalProperties":false,"properties":{"x":{"type":"integer"}}}}}}`

type testTarget struct {
	Name string `json:"name"`
	Size int    `json:"size"`
}

func TestDecodeReportsEveryProblemWithItsPosition(t *testing.T) {
	cases := map[string]struct {
		data string
		want []string
	}{
		"a valid file has no problems":   {`{"name": "a", "size": 2}`, nil},
		"two problems are both reported": {"{\n \"name\": \"\",\n \"size\": 0\n}", []string{"f.json:2:10: /name", "f.json:3:10: /size"}},
		"an unknown field":               {`{"name":"a","colour":1}`, []string{"colour"}},
		"a duplicate name":               {"{\"name\":\"a\",\n\"name\":\"b\"}", []string{"f.json:2:1: /name: duplicate name"}},
		"a wrong type in a nested value": {`{"name":"a","list":[{"x":1},{"x":"q"}]}`, []string{"/list/1/x"}},
		"a missing field":                {`{}`, []string{"f.json:1:1"}},
		"a truncated file":               {`{"name":`, []string{"unexpected EOF"}},
		"data after the end":             {`{"name":"a"} x`, []string{"after the end"}},
		"too deep nesting":               {strings.Repeat("[", 100), []string{"nested deeper"}},
	}
	schema := MustCompile("test.json", []byte(testSchema))
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var target testTarget
			err := schema.Decode("f.json", []byte(test.data), &target)
			if test.want == nil {
				assert.NilError(t, err)
				return
			}
			var decodeErr *Error
			assert.Assert(t, errors.As(err, &decodeErr))
			assert.Equal(t, len(decodeErr.Problems), len(test.want), "%v", err)
			for i, want := range test.want {
				assert.Assert(t, strings.Contains(Format(decodeErr.Problems[i]), want), "%v", Format(decodeErr.Problems[i]))
			}
			assert.Equal(t, target, testTarget{})
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a"}`))
	f.Add([]byte(`{"name":"a","name":"b"}`))
	f.Add([]byte(`[[[`))
	f.Add([]byte("{\"name\":\"\xff\"}"))
	schema := MustCompile("test.json", []byte(testSchema))
	f.Fuzz(func(t *testing.T, data []byte) {
		var target testTarget
		err := schema.Decode("f.json", data, &target)
		if err == nil && target.Name == "" {
			t.Fatal("a file without a name was accepted")
		}
	})
}

func TestAFileOfManyErrorsListsABoundedNumber(t *testing.T) {
	many := MustCompile("many.json", []byte(`{"items": {"type": "string"}}`))
	var target []string
	err := many.Decode("f", []byte("["+strings.Repeat("1,", 50_000)+"1]"), &target)
	var listed *Error
	assert.Assert(t, errors.As(err, &listed), "%v", err)
	assert.Equal(t, len(listed.Problems), maxProblems+1)
	assert.Equal(t, listed.Problems[0].Message, "49001 more problems are not listed")
}
