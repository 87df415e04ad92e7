// Package cli is the command line of corianderbank: it starts the entry
// instance, checks files without a network, and speaks to an entry instance on
// behalf of an operator.
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

// The exit codes.
const (
	// ExitDone means that the command did what it was asked.
	ExitDone = 0
	// ExitFailed means that the call was refused or failed.
	ExitFailed = 1
	// ExitUsage means wrong usage or bad input: the same call cannot succeed.
	ExitUsage = 2
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// DefaultAddr is the entry instance that commands speak to.
const DefaultAddr = "127.0.0.1:8080"

// defaultTimeout bounds one call to an entry instance.
const defaultTimeout = 10 * time.Second

// shell is one run of the command line.
type shell struct {
	app            *kingpin.Application
	stdout, stderr io.Writer
	output         string
	addr           string
	timeout        time.Duration
	commands       map[string]func() error
	// helped is set once the usage was asked for and printed.
	helped bool
}

// Serve holds what runs an instance with a settings file until it is told to
// stop.
type Serve struct {
	// Zone runs an entry instance, which schedules its availability zone.
	Zone func(settingsFile string) error
	// Deployment runs an instance that schedules a whole deployment on the
	// platform.
	Deployment func(settingsFile string) error
	// Stored decodes a configuration as operators store it on the platform.
	Stored func(data []byte) (*workload.Configuration, error)
}

// Run parses args (without the program's name), runs the command and returns
// its exit code. serve runs an instance.
func Run(args []string, stdout, stderr io.Writer, serve Serve) int {
	s := newShell(stdout, stderr, serve)
	name, err := s.app.Parse(args)
	if s.helped && slices.ContainsFunc(args, asksForHelp) {
		return ExitDone
	}
	if s.helped {
		return ExitUsage // without a command, the usage is printed unasked
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "corianderbank: %v; try --help\n", err)
		return ExitUsage
	}
	return s.report(s.commands[name]())
}

func asksForHelp(arg string) bool {
	return strings.HasPrefix(arg, "--help") || strings.HasPrefix(arg, "--completion") || arg == "-h" || arg == "help"
}

// App returns the command line without running it, for tests that compare it
// with the pages.
func App() *kingpin.Application {
	return newShell(io.Discard, io.Discard, Serve{}).app
}

func newShell(stdout, stderr io.Writer, serve Serve) *shell {
	s := &shell{
		app:    kingpin.New("corianderbank", "Schedules multi-accelerator jobs and requests under client account guarantees."),
		stdout: stdout, stderr: stderr, commands: make(map[string]func() error),
	}
	s.app.Terminate(func(int) { s.helped = true })
	s.app.UsageWriter(stdout).ErrorWriter(stderr)
	s.app.HelpFlag.Short('h')
	s.app.Flag("output", "Output for people (text) or programs (json).").Default(outputText).EnumVar(&s.output, outputText, outputJSON)
	s.app.Flag("addr", "IP number and port of an entry instance.").Default(DefaultAddr).Envar("CORIANDERBANK_ADDR").StringVar(&s.addr)
	s.app.Flag("timeout", "Time limit of a call to the entry instance.").Default(defaultTimeout.String()).DurationVar(&s.timeout)
	s.addServe(serve)
	s.addSettings()
	s.addRules()
	s.addConfig()
	s.addStored(serve)
	s.addJob()
	s.addStatus()
	s.addLosses()
	s.addVersion()
	return s
}

// add makes run the action of command.
func (s *shell) add(command *kingpin.CmdClause, run func() error) {
	s.commands[command.FullCommand()] = run
}

func (s *shell) addServe(serve Serve) {
	zone := s.app.Command("serve", "Run an entry instance until SIGTERM.")
	zoneFile := zone.Flag("settings", "Settings file.").Required().PlaceHolder("FILE").String()
	s.add(zone, func() error { return serve.Zone(*zoneFile) })
	whole := s.app.Command("deployment", "Run an instance of a deployment-wide scheduler on the platform until SIGTERM.")
	wholeFile := whole.Flag("settings", "Settings file.").Required().PlaceHolder("FILE").String()
	s.add(whole, func() error { return serve.Deployment(*wholeFile) })
}

// print writes value as JSON, or as the text that the function renders.
func (s *shell) print(value any, text func(w io.Writer)) error {
	if s.output == outputText {
		text(s.stdout)
		return nil
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// report prints the error, if there is one, and returns the exit code.
func (s *shell) report(err error) int {
	if err == nil {
		return ExitDone
	}
	body := operatorErrorOf(err)
	if s.output == outputJSON {
		_ = s.print(body, nil)
	} else {
		printError(s.stderr, body)
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
		_, _ = fmt.Fprintf(w, "come back in %g s\n", body.RetryAfterS)
	}
}

// refusal is an error that an entry instance answered with.
type refusal struct {
	body api.OperatorError
}

// Error implements error.
func (r *refusal) Error() string { return fmt.Sprintf("%s: %s", r.body.Kind, r.body.Message) }

// operatorErrorOf gives every error of a command one form.
func operatorErrorOf(err error) api.OperatorError {
	var refused *refusal
	if errors.As(err, &refused) {
		return refused.body
	}
	var problems *strictjson.Error
	if errors.As(err, &problems) {
		return invalid(api.KindConfigInvalid, fmt.Sprintf("%d problems", len(problems.Problems)), problems.Problems)
	}
	var path *fs.PathError
	if errors.As(err, &path) {
		return invalid(api.KindInvalidField, err.Error(), nil)
	}
	return api.OperatorError{ErrorBody: api.BodyOf(err)}
}

func invalid(kind api.Kind, message string, problems []api.Problem) api.OperatorError {
	return api.OperatorError{ErrorBody: api.ErrorBody{Kind: kind, Message: message}, Problems: problems}
}

// inputKinds are the kinds that blame the input: the same call cannot succeed.
var inputKinds = map[api.Kind]bool{
	api.KindMalformedBody: true,
	api.KindBodyTooLarge:  true,
	api.KindInvalidField:  true,
	api.KindInvalidShape:  true,
	api.KindConfigInvalid: true,
}

func exitCodeOf(kind api.Kind) int {
	if inputKinds[kind] {
		return ExitUsage
	}
	return ExitFailed
}
