package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/deployment"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/settings"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// checkResult is the output of a check command for a file without problems.
type checkResult struct {
	File     string        `json:"file"`
	Problems []api.Problem `json:"problems"`
	Rules    int           `json:"rules,omitempty"`
	Accounts int           `json:"client_accounts,omitempty"`
}

func (inv *invocation) addSettings() {
	group := inv.app.Command("settings", "Work on settings files.")
	check := group.Command("check", "Check a settings file and print every problem.")
	deploymentWide := check.Flag("deployment", "The file is for an instance of a deployment-wide scheduler.").Bool()
	file := check.Arg("file", "Settings file.").Required().String()
	inv.addAction(check, func() error {
		if err := loadSettings(*file, *deploymentWide); err != nil {
			return err
		}
		return inv.print(checkResult{File: *file, Problems: []api.Problem{}}, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "%s: no problems\n", *file)
		})
	})
}

// loadSettings reads and checks the settings of either kind of instance.
func loadSettings(file string, deploymentWide bool) error {
	if deploymentWide {
		_, err := deployment.LoadSettings(file)
		return err
	}
	_, err := settings.Load(file)
	return err
}

func (inv *invocation) addRules() {
	group := inv.app.Command("rules", "Work on the rules of a configuration file, without a network.")
	check := group.Command("check", "Check a configuration file and its rules and print every problem.")
	file := check.Arg("file", "Configuration file.").Required().String()
	inv.addAction(check, func() error { return inv.checkRules(*file) })
	inv.addRulesExplain(group)
}

func (inv *invocation) checkRules(file string) error {
	document, err := loadConfig(file)
	if err != nil {
		return err
	}
	result := checkResult{File: file, Problems: []api.Problem{}, Rules: len(document.Rules), Accounts: len(document.Accounts)}
	return inv.print(result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: no problems (%d rules, %d client accounts)\n", file, result.Rules, result.Accounts)
	})
}

func loadConfig(file string) (*config.Document, error) {
	data, err := readInput(file)
	if err != nil {
		return nil, err
	}
	return parseConfig(file, data)
}

// parseConfig checks a configuration as an entry instance does.
func parseConfig(file string, data []byte) (*config.Document, error) {
	document, err := config.Parse(file, data)
	if err != nil {
		return nil, err
	}
	if problems := config.Check(document, strictjson.Index(file, data)); len(problems) > 0 {
		return nil, &strictjson.Error{Problems: problems}
	}
	return document, nil
}

// rulesExplanation is the output of the rules explain command.
type rulesExplanation struct {
	Situation rules.Situation `json:"situation"`
	Steps     []rules.Step    `json:"steps"`
	Verdict   rules.Verdict   `json:"verdict"`
}

func (inv *invocation) addRulesExplain(group *kingpin.CmdClause) {
	command := group.Command("explain", "Print the rule that decides a situation, and why the ones above it do not.")
	file := command.Flag("config", "Configuration file.").Required().PlaceHolder("FILE").String()
	situationFile := command.Flag("situation", "File with the situation as JSON; the other flags are then ignored.").PlaceHolder("FILE").String()
	situation := situationFlags(command)
	inv.addAction(command, func() error {
		if *situationFile != "" {
			return inv.explainSituationFile(*file, *situationFile)
		}
		return inv.explainRules(*file, *situation)
	})
}

func situationFlags(command *kingpin.CmdClause) *rules.Situation {
	situation := &rules.Situation{}
	work := (*string)(&situation.Work)
	command.Flag("work", "Type of work: request or job.").Default(string(rules.WorkRequest)).EnumVar(work, string(rules.WorkRequest), string(rules.WorkJob))
	command.Flag("account", "Client account.").StringVar(&situation.Account)
	command.Flag("kind", "Kind of work.").StringVar(&situation.Kind)
	command.Flag("zone", "Availability zone.").StringVar(&situation.Zone)
	command.Flag("accelerators", "Accelerators of the whole gang.").IntVar(&situation.Accelerators)
	command.Flag("deadline", "The work has a deadline.").BoolVar(&situation.HasDeadline)
	command.Flag("slack", "Seconds between the estimated end and the deadline.").Float64Var(&situation.SlackS)
	command.Flag("idempotent", "The work is idempotent.").BoolVar(&situation.Idempotent)
	command.Flag("keyed", "The work carries an idempotency key.").BoolVar(&situation.Keyed)
	command.Flag("urgent", "The work is urgent.").BoolVar(&situation.Urgent)
	command.Flag("platform", "The zone reaches the platform's store.").Default("true").BoolVar(&situation.PlatformReachable)
	command.Flag("load", "Load level of the zone.").Float64Var(&situation.Load)
	return situation
}

func (inv *invocation) explainSituationFile(file, situationFile string) error {
	data, err := readInput(situationFile)
	if err != nil {
		return err
	}
	situation, err := rules.ParseSituation(situationFile, data)
	if err != nil {
		return err
	}
	return inv.explainRules(file, situation)
}

func (inv *invocation) explainRules(file string, situation rules.Situation) error {
	document, err := loadConfig(file)
	if err != nil {
		return err
	}
	set := rules.NewSet(document.Rules)
	result := rulesExplanation{Situation: situation, Steps: set.Explain(situation), Verdict: set.Decide(situation)}
	return inv.print(result, func(w io.Writer) { printRulesExplanation(w, result) })
}

func printRulesExplanation(w io.Writer, result rulesExplanation) {
	table(w, func(row func(...any)) {
		for i, step := range result.Steps {
			verdict := "decides"
			if !step.Matched {
				verdict = "no, " + step.MismatchedField + ": " + step.Detail
			}
			row(i+1, step.Rule, verdict)
		}
	})
	_, _ = fmt.Fprintln(w, describeVerdict(result.Verdict))
}

func describeVerdict(v rules.Verdict) string {
	if v.Refuse {
		return fmt.Sprintf("refused, retry after %g s", v.RetryAfterS)
	}
	parts := []string{fmt.Sprintf("admitted with priority %d", v.Priority), fmt.Sprintf("retries %d", v.Retries)}
	if v.MaxQueued > 0 {
		parts = append(parts, fmt.Sprintf("at most %d waiting", v.MaxQueued))
	}
	if v.MaxWaitMS > 0 {
		parts = append(parts, fmt.Sprintf("waits at most %d ms", v.MaxWaitMS))
	}
	parts = append(parts, "borrow "+yesNo(v.Borrow), "spill "+yesNo(v.Spill))
	return strings.Join(parts, ", ")
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
