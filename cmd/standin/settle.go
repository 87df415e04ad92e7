package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-resty/resty/v2"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/standin/drive"
)

// The message and the key of the log line that contains a stand-in's address.
const (
	listeningMessage = "msg=listening"
	addrField        = "addr="
)

func addListening(ctx context.Context, app *kingpin.Application) {
	command := app.Command("listening", "Print the address that a stand-in's log says it listens on.")
	limit := command.Flag("limit", "Time limit.").Default("20s").Duration()
	file := command.Arg("log", "Log file of the stand-in.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(ctx, *limit)
		defer cancel()
		return poll(ctx, *file+" contains no listening address", func() bool {
			addr := listeningAddr(*file)
			if addr != "" {
				fmt.Println(addr)
			}
			return addr != ""
		})
	})
}

func listeningAddr(file string) string {
	log, err := os.Open(file)
	if err != nil {
		return ""
	}
	defer func() { _ = log.Close() }()
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if strings.Contains(lines.Text(), listeningMessage) {
			return fieldValue(lines.Text(), addrField)
		}
	}
	return ""
}

// fieldValue returns the value of the first key=value pair of the line that starts
// with keyPrefix, for example "addr=".
func fieldValue(line, keyPrefix string) string {
	for _, pair := range strings.Fields(line) {
		if value, found := strings.CutPrefix(pair, keyPrefix); found {
			return value
		}
	}
	return ""
}

// poll calls condition until it returns true or ctx ends. In the latter case it
// returns an error that starts with message.
func poll(ctx context.Context, message string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", message, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func addSettle(ctx context.Context, app *kingpin.Application) {
	command := app.Command("settle", "Wait until each zone of the entry instances has a placer and knows the given numbers of backend servers and workers.")
	limit := command.Flag("limit", "Time limit.").Default("20s").Duration()
	accelerators := command.Flag("accelerators", "Accelerators of all workers together.").Int()
	fleet := fleetFlags(command)
	command.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(ctx, *limit)
		defer cancel()
		client := resty.New()
		var missing string
		err := poll(ctx, "the fleet did not settle", func() bool {
			missing = describeMissing(ctx, client, fleet, *accelerators)
			return missing == ""
		})
		if err != nil {
			return fmt.Errorf("%w (%s)", err, missing)
		}
		return nil
	})
}

// describeMissing describes the first zone without a placer, the first instance with
// too few members, or the first failed call, whichever comes first. It returns an
// empty string if there is none.
func describeMissing(ctx context.Context, client *resty.Client, fleet *drive.Fleet, wantAccelerators int) string {
	for _, entry := range fleet.Entries {
		response, err := client.R().SetContext(ctx).Get("http://" + entry + "/v1/status")
		if err != nil {
			return err.Error()
		}
		var status api.Status
		if err := json.Unmarshal(response.Body(), &status); err != nil {
			return err.Error()
		}
		backends, workers, accelerators := 0, 0, 0
		for _, zone := range status.Zones {
			if zone.Placer == "" {
				return zone.AvailabilityZone + " has no placer"
			}
			backends += zone.BackendServers
			workers += zone.Workers
			accelerators += zone.Accelerators
		}
		if backends < len(fleet.Backends) || workers < len(fleet.Workers) || accelerators < wantAccelerators {
			return fmt.Sprintf("%s reports %d backend servers and %d workers with %d accelerators", entry, backends, workers, accelerators)
		}
	}
	return ""
}
