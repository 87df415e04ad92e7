package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/corianderbank/corianderbank/internal/dispatch"
	"github.com/corianderbank/corianderbank/internal/emulator"
	"github.com/corianderbank/corianderbank/internal/measure"
)

// experiment simulates days of deployments with mechanisms disabled, or with other
// policies or constants, and reports how each variant changes the value of the
// completed work.
type experiment struct {
	variantSpecs    []string
	eachMechanism   bool
	simulations     int
	drawnCount      int
	seed            uint64
	plotDir         string
	deploymentFiles []string
	dayFiles        []string
}

const (
	// defaultSimulations is the number of seeds for each day and deployment.
	defaultSimulations = 4
	// defaultDrawnCount is the number of deployments that are drawn at random around
	// the users' deployments.
	defaultDrawnCount = 10
)

func (e *experiment) registerFlags(command *kingpin.CmdClause) {
	command.Flag("variant", "Mechanisms that are off (without:NAME) and constants that are others (NAME=VALUE), with commas between; may be repeated.").
		PlaceHolder("SPEC").StringsVar(&e.variantSpecs)
	command.Flag("each", "Switch every mechanism off, one by one.").BoolVar(&e.eachMechanism)
	command.Flag("plays", "Seeds for each day and deployment.").Default(fmt.Sprint(defaultSimulations)).IntVar(&e.simulations)
	command.Flag("drawn", "Deployments drawn at random beside the users' own.").Default(fmt.Sprint(defaultDrawnCount)).IntVar(&e.drawnCount)
	command.Flag("seed", "Seed of the drawn deployments and of every play.").Default(fmt.Sprint(defaultSeed)).Uint64Var(&e.seed)
	command.Flag("out", "Directory of a plot; none is drawn without it.").StringVar(&e.plotDir)
	command.Flag("deployment", "File of a further deployment; may be repeated.").PlaceHolder("FILE").ExistingFilesVar(&e.deploymentFiles)
	command.Flag("day", "File of a day to play instead of the usual ones; may be repeated.").PlaceHolder("FILE").ExistingFilesVar(&e.dayFiles)
}

func (e *experiment) run(out io.Writer) error {
	variants, err := e.variants()
	if err != nil {
		return err
	}
	plan, err := e.plan()
	if err != nil {
		return err
	}
	differences := plan.Compare(emulator.Variant{Name: emulator.PolicyProduct}, variants)
	if err := writeDifferences(out, differences); err != nil || e.plotDir == "" {
		return err
	}
	return plotDifferences(differences, filepath.Join(e.plotDir, "experiment.svg"))
}

func (e *experiment) variants() ([]emulator.Variant, error) {
	var variants []emulator.Variant
	if e.eachMechanism {
		for _, m := range dispatch.Mechanisms() {
			variants = append(variants, emulator.Variant{Name: "without:" + string(m), Tuning: dispatch.Tuning{Without: []dispatch.Mechanism{m}}})
		}
	}
	for _, spec := range e.variantSpecs {
		v, err := parseVariant(spec)
		if err != nil {
			return nil, err
		}
		variants = append(variants, v)
	}
	if len(variants) == 0 {
		return nil, fmt.Errorf("nothing to compare: give --each or --variant")
	}
	return variants, nil
}

// parseVariant parses a comma-separated list of without:MECHANISM, CHOICE:POLICY
// and NUMBER=VALUE.
func parseVariant(spec string) (emulator.Variant, error) {
	v := emulator.Variant{Name: spec, Tuning: dispatch.Tuning{
		Numbers: make(map[dispatch.Number]float64), Choices: make(map[dispatch.Choice]string),
	}}
	for _, part := range strings.Split(spec, ",") {
		if name, found := strings.CutPrefix(part, "without:"); found {
			v.Tuning.Without = append(v.Tuning.Without, dispatch.Mechanism(name))
			continue
		}
		if choice, policy, found := strings.Cut(part, ":"); found {
			v.Tuning.Choices[dispatch.Choice(choice)] = policy
			continue
		}
		name, text, _ := strings.Cut(part, "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return v, fmt.Errorf("variant %s: %w", spec, err)
		}
		v.Tuning.Numbers[dispatch.Number(name)] = value
	}
	return v, v.Tuning.Check()
}

// plan returns a plan with the users' deployments, those read from files and those
// drawn around the users', and with the days from files or else the default days.
func (e *experiment) plan() (*emulator.Plan, error) {
	userDeployments, err := emulator.Deployments()
	if err != nil {
		return nil, err
	}
	drawn, err := emulator.RandomDeployments(userDeployments, e.drawnCount, e.seed)
	if err != nil {
		return nil, err
	}
	fromFiles, err := readFiles(e.deploymentFiles, emulator.ReadDeployment)
	if err != nil {
		return nil, err
	}
	days, err := readFiles(e.dayFiles, emulator.ReadDay)
	if err == nil && len(days) == 0 {
		days, err = emulator.Days()
	}
	deployments := append(append(userDeployments, fromFiles...), drawn...)
	return &emulator.Plan{Deployments: deployments, Days: days, Simulations: e.simulations, Seed: e.seed}, err
}

func readFiles[T any](names []string, read func(name string, data []byte) (T, error)) ([]T, error) {
	var list []T
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		item, err := read(name, data)
		if err != nil {
			return nil, err
		}
		list = append(list, item)
	}
	return list, nil
}

// writeDifferences writes a table of the changes. It marks those whose confidence
// interval excludes zero with an asterisk.
func writeDifferences(out io.Writer, list []emulator.Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VARIANT\tDEPLOYMENT\tPLAYS\tBASE\tVARIANT\tCHANGE\tINTERVAL\t")
	for _, d := range list {
		deployment, mark := d.Deployment, ""
		if deployment == "" {
			deployment = "all"
		}
		if d.Significant() {
			mark = "*"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%+.4f\t%.4f\t%s\n", d.Variant, deployment, d.Simulations, d.BaseMean, d.VariantMean, d.Change, d.HalfWidth, mark)
	}
	return w.Flush()
}

// plotDifferences plots the changes over all deployments together.
func plotDifferences(list []emulator.Difference, path string) error {
	changes := measure.ChangeChart{Title: "worth of a variant against corianderbank", Unit: "worth"}
	for _, d := range list {
		if d.Deployment == "" {
			changes.Names = append(changes.Names, d.Variant)
			changes.Values = append(changes.Values, d.Change)
			changes.Intervals = append(changes.Intervals, d.HalfWidth)
		}
	}
	return changes.WriteSVG(path)
}
