package cli

import (
	"encoding/json"
	"io"
	"os"

	"github.com/go-resty/resty/v2"

	"github.com/corianderbank/corianderbank/api"
)

// maxResponseBytes bounds a response that a command reads.
const maxResponseBytes = 64 << 20

func (inv *invocation) client() *resty.Client {
	return resty.New().SetBaseURL("http://" + inv.addr).SetTimeout(inv.timeout).SetResponseBodyLimit(maxResponseBytes)
}

// call makes one call and decodes the response into result. An error response is
// returned as a *remoteError; a call without a response has KindResultUnknown.
func (inv *invocation) call(method, path string, body, result any) error {
	request := inv.client().R()
	if body != nil {
		request.SetHeader("Content-Type", "application/json").SetBody(body)
	}
	response, err := request.Execute(method, path)
	if err != nil {
		return api.NewError(api.KindResultUnknown, "no answer from %s: %v", inv.addr, err)
	}
	if response.IsError() {
		return errorOfResponse(response)
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return api.NewError(api.KindAnswerNotWhole, "the answer of %s is not whole: %v", inv.addr, err)
	}
	return nil
}

func errorOfResponse(response *resty.Response) error {
	var body api.OperatorError
	if err := json.Unmarshal(response.Body(), &body); err != nil || body.Kind == "" {
		return api.NewError(api.KindInternal, "unexpected answer: %s", response.Status())
	}
	return &remoteError{body}
}

// stdinName is the file name that stands for the standard input.
const stdinName = "-"

// readInput reads a file or the standard input.
func readInput(file string) ([]byte, error) {
	if file == stdinName {
		return io.ReadAll(io.LimitReader(os.Stdin, maxResponseBytes))
	}
	return os.ReadFile(file)
}
