// Package cli implements the command line of corianderbank: it starts instances, checks
// files offline, and calls an entry instance on behalf of an operator.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/strictjson"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// Exit codes.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the call was refused or failed.
	ExitFailed = 1
	// ExitUsage means wrong usage or invalid input: the same call cannot succeed.
	ExitUsage = 2
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// DefaultAddr is the address of the entry instance that commands call by default.
const DefaultAddr = "127.0.0.1:8080"

// defaultTimeout bounds one call to an entry instance.
const defaultTimeout = 10 * time.Second

// invocation is one run of the command line.
type invocation struct {
	app            *kingpin.Application
	stdout, stderr io.Writer
	output         string
	addr           string
	timeout        time.Duration
	commands       map[string]func() error
	// usagePrinted is set once the usage was printed.
	usagePrinted bool
}

// Functions holds the functions that run an instance with a settings file until it is
// stopped, and the decoder of stored configurations.
type Functions struct {
	// ServeZone runs an entry instance, which schedules its availability zone.
	ServeZone func(settingsFile string) error
	// ServeDeployment runs an instance that schedules a whole deployment on the platform.
	ServeDeployment func(settingsFile string) error
	// DecodeStored decodes a configuration as operators store it on the platform.
	DecodeStored func(data []byte) (*workload.Configuration, error)
}

// Run parses args, which exclude the program's name, runs the command and returns its
// exit code. Commands that run an instance call one of functions.
func Run(args []string, stdout, stderr io.Writer, functions Functions) int {
	inv := newInvocation(stdout, stderr, functions)
	name, err := inv.app.Parse(args)
	if inv.usagePrinted && slices.ContainsFunc(args, isHelpArg) {
		return ExitDone
	}
	if inv.usagePrinted {
		return ExitUsage // kingpin prints the usage if there is no command
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "corianderbank: %v; try --help\n", err)
		return ExitUsage
	}
	return inv.report(inv.commands[name]())
}

func isHelpArg(arg string) bool {
	return strings.HasPrefix(arg, "--help") || strings.HasPrefix(arg, "--completion") || arg == "-h" || arg == "help"
}

// App returns the command line without running it, for tests that compare it with the
// documentation.
func App() *kingpin.Application {
	return newInvocation(io.Discard, io.Discard, Functions{}).app
}

func newInvocation(stdout, stderr io.Writer, functions Functions) *invocation {
	inv := &invocation{
		app:    kingpin.New("corianderbank", "Schedules multi-accelerator jobs and requests under client account guarantees."),
		stdout: stdout, stderr: stderr, commands: make(map[string]func() error),
	}
	inv.app.Terminate(func(int) { inv.usagePrinted = true })
	inv.app.UsageWriter(stdout).ErrorWriter(stderr)
	inv.app.HelpFlag.Short('h')
	inv.app.Flag("output", "Output for people (text) or programs (json).").Default(outputText).EnumVar(&inv.output, outputText, outputJSON)
	inv.app.Flag("addr", "IP number and port of an entry instance.").Default(DefaultAddr).Envar("CORIANDERBANK_ADDR").StringVar(&inv.addr)
	inv.app.Flag("timeout", "Time limit of a call to the entry instance.").Default(defaultTimeout.String()).DurationVar(&inv.timeout)
	inv.addServe(functions)
	inv.addSettings()
	inv.addRules()
	inv.addConfig()
	inv.addStored(functions)
	inv.addJob()
	inv.addStatus()
	inv.addLosses()
	inv.addVersion()
	return inv
}

// addAction registers run as the action of command.
func (inv *invocation) addAction(command *kingpin.CmdClause, run func() error) {
	inv.commands[command.FullCommand()] = run
}

func (inv *invocation) addServe(functions Functions) {
	zone := inv.app.Command("serve", "Run an entry instance until SIGTERM.")
	zoneFile := zone.Flag("settings", "Settings file.").Required().PlaceHolder("FILE").String()
	inv.addAction(zone, func() error { return functions.ServeZone(*zoneFile) })
	deployment := inv.app.Command("deployment", "Run an instance of a deployment-wide scheduler on the platform until SIGTERM.")
	deploymentFile := deployment.Flag("settings", "Settings file.").Required().PlaceHolder("FILE").String()
	inv.addAction(deployment, func() error { return functions.ServeDeployment(*deploymentFile) })
}

// print writes value as JSON, or as the text that the function renders.
func (inv *invocation) print(value any, text func(w io.Writer)) error {
	if inv.output == outputText {
		text(inv.stdout)
		return nil
	}
	encoder := json.NewEncoder(inv.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// report prints the error, if any, and returns the exit code.
func (inv *invocation) report(err error) int {
	if err == nil {
		return ExitDone
	}
	body := operatorErrorOf(err)
	if inv.output == outputJSON {
		_ = inv.print(body, nil)
	} else {
		printError(inv.stderr, body)
	}
	return exitCodeOf(body.Kind)
}

func printError(w io.Writer, body api.OperatorError) {
	for _, problem := range body.Problems {
		_, _ = fmt.Fprintln(w, strictjson.Format(problem))
	}
	message := body.Message
	if count := len(body.Problems); count > 0 {
		message = fmt.Sprintf("%d problems", count)
	}
	_, _ = fmt.Fprintf(w, "%s: %s\n", body.Kind, message)
	if body.Version > 0 {
		_, _ = fmt.Fprintf(w, "version in force: %d\n", body.Version)
	}
	if body.RetryAfterS > 0 {
		_, _ = fmt.Fprintf(w, "retry after %g s\n", body.RetryAfterS)
	}
}

// remoteError is an error response of an entry instance.
type remoteError struct {
	body api.OperatorError
}

// Error implements error.
func (e *remoteError) Error() string { return fmt.Sprintf("%s: %s", e.body.Kind, e.body.Message) }

// operatorErrorOf converts an error of a command to the form in which it is printed.
func operatorErrorOf(err error) api.OperatorError {
	var remote *remoteError
	if errors.As(err, &remote) {
		return remote.body
	}
	var problems *strictjson.Error
	if errors.As(err, &problems) {
		return inputError(api.KindConfigInvalid, fmt.Sprintf("%d problems", len(problems.Problems)), problems.Problems)
	}
	var path *fs.PathError
	if errors.As(err, &path) {
		return inputError(api.KindInvalidField, err.Error(), nil)
	}
	return api.OperatorError{ErrorBody: api.BodyOf(err)}
}

func inputError(kind api.Kind, message string, problems []api.Problem) api.OperatorError {
	return api.OperatorError{ErrorBody: api.ErrorBody{Kind: kind, Message: message}, Problems: problems}
}

// inputErrorKinds are the error kinds caused by the input: the same call cannot
// succeed.
var inputErrorKinds = map[api.Kind]bool{
	api.KindMalformedBody: true,
	api.KindBodyTooLarge:  true,
	api.KindInvalidField:  true,
	api.KindInvalidShape:  true,
	api.KindConfigInvalid: true,
}

func exitCodeOf(kind api.Kind) int {
	if inputErrorKinds[kind] {
		return ExitUsage
	}
	return ExitFailed
}
