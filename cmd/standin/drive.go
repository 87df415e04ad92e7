package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-resty/resty/v2"

	"github.com/corianderbank/corianderbank/internal/standin"
	"github.com/corianderbank/corianderbank/internal/standin/drive"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

func addDrive(ctx context.Context, app *kingpin.Application) {
	command := app.Command("drive", "Send a file of work through entry instances and check what became of it.")
	input := command.Flag("input", "File of work.").Required().String()
	limit := command.Flag("limit", "Time limit of the whole run.").Default("45s").Duration()
	fleet := fleetFlags(command)
	command.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(ctx, *limit)
		defer cancel()
		work, err := drive.Load(*input)
		if err != nil {
			return err
		}
		return driveAndCheck(ctx, *fleet, work)
	})
}

func fleetFlags(command *kingpin.CmdClause) *drive.Fleet {
	fleet := &drive.Fleet{}
	command.Flag("entry", "Address of an entry instance; repeated.").Required().StringsVar(&fleet.Entries)
	command.Flag("backend", "Address of a backend server; repeated.").StringsVar(&fleet.Backends)
	command.Flag("worker", "Address of a worker; repeated.").StringsVar(&fleet.Workers)
	return fleet
}

func driveAndCheck(ctx context.Context, fleet drive.Fleet, work drive.Input) error {
	answers, err := drive.Run(ctx, fleet, work)
	if err != nil {
		return err
	}
	drive.Print(os.Stdout, answers)
	records, err := drive.Collect(context.WithoutCancel(ctx), fleet)
	if err != nil {
		return err
	}
	faults := drive.Check(answers, records, drive.Tolerance{})
	for _, fault := range faults {
		fmt.Println("FAULT", fault)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d faults", len(faults))
	}
	fmt.Printf("no answer is missing, doubled or not whole (%d executions, %d task starts checked)\n", len(records.Executions), len(records.Starts))
	return nil
}

func addPorts(app *kingpin.Application) {
	command := app.Command("ports", "Print free TCP ports of the loopback address.")
	count := command.Arg("count", "How many.").Required().Int()
	command.Action(func(*kingpin.ParseContext) error {
		ports, err := standin.FreePorts(*count)
		for _, port := range ports {
			fmt.Println(port)
		}
		return err
	})
}

func addWait(ctx context.Context, app *kingpin.Application) {
	command := app.Command("wait", "Wait until GET of an address answers 200.")
	limit := command.Flag("limit", "Time limit.").Default("20s").Duration()
	path := command.Flag("path", "Path.").Default("/healthz").String()
	addresses := command.Arg("addr", "IP number and port; repeated.").Required().Strings()
	command.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(ctx, *limit)
		defer cancel()
		for _, addr := range *addresses {
			if err := waitForOK(ctx, "http://"+addr+*path); err != nil {
				return err
			}
		}
		return nil
	})
}

func waitForOK(ctx context.Context, url string) error {
	client := resty.New()
	return poll(ctx, url+" does not answer with status 200", func() bool {
		response, err := client.R().SetContext(ctx).Get(url)
		return err == nil && response.StatusCode() == http.StatusOK
	})
}
