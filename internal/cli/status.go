package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

// Version is the semantic version of the program.
const Version = "0.1.0"

func (inv *invocation) addStatus() {
	inv.addAction(inv.app.Command("status", "Print instances, zones and client accounts."), inv.status)
	explain := inv.app.Command("explain", "Print every decision on a request or a job, in order.")
	id := explain.Arg("id", "Request or job.").Required().String()
	logs := explain.Flag("log", "Log file to read instead of asking the instances; may be repeated.").PlaceHolder("FILE").Strings()
	inv.addAction(explain, func() error {
		if len(*logs) > 0 {
			return inv.traceLogs(*id, *logs)
		}
		return inv.explain(*id)
	})
}

func (inv *invocation) status() error {
	var status api.Status
	if err := inv.call(http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	return inv.print(status, func(w io.Writer) {
		printInstances(w, status.Instances)
		printZones(w, status.Zones)
		printAccounts(w, status.Accounts)
	})
}

func printInstances(w io.Writer, instances []api.InstanceStatus) {
	table(w, func(row func(...any)) {
		row("INSTANCE", "ZONE", "STATE", "PLACER", "CONFIG", "LAST_SEEN_S")
		for _, i := range instances {
			row(i.ID, i.AvailabilityZone, i.State, yesNo(i.Placer), i.ConfigVersion, formatSeconds(i.LastSeenS))
		}
	})
}

func printZones(w io.Writer, zones []api.ZoneStatus) {
	_, _ = fmt.Fprintln(w)
	table(w, func(row func(...any)) {
		row("ZONE", "PLACER", "EPOCH", "PLATFORM", "WORKERS", "SICK", "ACCELERATORS", "FREE", "RUNNING", "WAITING", "FRAGMENTATION", "BACKEND_SERVERS")
		for _, z := range zones {
			row(z.AvailabilityZone, z.Placer, z.Epoch, yesNo(z.PlatformReach), z.Workers, z.WorkersSick, z.Accelerators,
				z.Free, z.Running, z.Waiting, fmt.Sprintf("%.2f", z.Fragmentation), z.BackendServers)
		}
	})
}

func printAccounts(w io.Writer, accounts []api.AccountStatus) {
	_, _ = fmt.Fprintln(w)
	table(w, func(row func(...any)) {
		row("ACCOUNT", "ZONE", "GUARANTEED", "USED", "BORROWED", "LENT", "WAITING", "AT_RISK")
		for _, a := range accounts {
			row(a.Account, a.AvailabilityZone, a.Guaranteed, a.Used, a.Borrowed, a.Lent, a.Waiting, a.AtRisk)
		}
	})
}

func (inv *invocation) explain(id string) error {
	var explanation api.Explanation
	if err := inv.call(http.MethodGet, "/v1/explain/"+url.PathEscape(id), nil, &explanation); err != nil {
		return err
	}
	return inv.print(explanation, func(w io.Writer) {
		table(w, func(row func(...any)) {
			row("AT", "STEP", "RULE", "CHOICE", "REASON", "SECOND_BEST", "INSTANCE")
			for _, d := range explanation.Decisions {
				row(d.At.Format(time.RFC3339Nano), d.Step, d.Rule, d.Choice, d.Reason, d.SecondBest, d.Instance)
			}
		})
	})
}

// buildInfo is the output of the version command.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func (inv *invocation) addVersion() {
	command := inv.app.Command("version", "Print the version.")
	inv.addAction(command, func() error {
		info := buildInfo{Version: Version, Revision: revision(), Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
		return inv.print(info, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "corianderbank %s %s (%s, %s)\n", info.Version, info.Revision, info.Go, info.Platform)
		})
	})
}

func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}
