package cli

import (
	"encoding/json"
	"io"
	"os"

	"github.com/go-resty/resty/v2"

	"github.com/corianderbank/corianderbank/api"
)

// maxAnswerBytes bounds an answer that a command reads.
const maxAnswerBytes = 64 << 20

func (s *shell) client() *resty.Client {
	return resty.New().SetBaseURL("http://" + s.addr).SetTimeout(s.timeout).SetResponseBodyLimit(maxAnswerBytes)
}

// call makes one call and decodes the answer into result. A refusal comes back
// as a *refusal; a call without an answer has KindResultUnknown.
func (s *shell) call(method, path string, body, result any) error {
	request := s.client().R()
	if body != nil {
		request.SetHeader("Content-Type", "application/json").SetBody(body)
	}
	response, err := request.Execute(method, path)
	if err != nil {
		return api.NewError(api.KindResultUnknown, "no answer from %s: %v", s.addr, err)
	}
	if response.IsError() {
		return refusalOf(response)
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return api.NewError(api.KindAnswerNotWhole, "the answer of %s is not whole: %v", s.addr, err)
	}
	return nil
}

func refusalOf(response *resty.Response) error {
	var body api.OperatorError
	if err := json.Unmarshal(response.Body(), &body); err != nil || body.Kind == "" {
		return api.NewError(api.KindInternal, "unexpected answer: %s", response.Status())
	}
	return &refusal{body}
}

// stdinName stands for the standard input in place of a file.
const stdinName = "-"

// readInput reads a file or the standard input.
func readInput(file string) ([]byte, error) {
	if file == stdinName {
		return io.ReadAll(io.LimitReader(os.Stdin, maxAnswerBytes))
	}
	return os.ReadFile(file)
}
