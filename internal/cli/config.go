package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

func (inv *invocation) addConfig() {
	group := inv.app.Command("config", "Work on the configuration in force.")
	apply := group.Command("apply", "Put a configuration in force.")
	expect := apply.Flag("expect", "Version that the file was edited from; 0 for the first one.").Required().Int64()
	file := apply.Arg("file", "Configuration file.").Required().String()
	inv.addAction(apply, func() error { return inv.applyConfig(*file, *expect) })
	inv.addAction(group.Command("show", "Print the configuration in force."), inv.showConfig)
	inv.addAction(group.Command("status", "Print which instance has which version in force."), inv.configStatus)
	inv.addAction(group.Command("history", "Print the versions so far, newest first."), inv.configHistory)
}

func (inv *invocation) applyConfig(file string, expect int64) error {
	data, err := readInput(file)
	if err != nil {
		return err
	}
	if _, err := parseConfig(file, data); err != nil {
		return err
	}
	var version api.ConfigVersion
	body := api.ConfigApply{Expect: expect, Document: json.RawMessage(data)}
	if err := inv.call(http.MethodPost, "/v1/config", body, &version); err != nil {
		return err
	}
	version.Document = nil
	return inv.print(version, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d accepted, digest %s\n", version.Version, version.Digest)
	})
}

func (inv *invocation) showConfig() error {
	var version api.ConfigVersion
	if err := inv.call(http.MethodGet, "/v1/config", nil, &version); err != nil {
		return err
	}
	return inv.print(version, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d, digest %s, applied %s\n", version.Version, version.Digest, version.AppliedAt.Format(time.RFC3339))
		_, _ = fmt.Fprintln(w, string(version.Document))
	})
}

func (inv *invocation) configStatus() error {
	var status api.ConfigStatus
	if err := inv.call(http.MethodGet, "/v1/config/status", nil, &status); err != nil {
		return err
	}
	return inv.print(status, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "head %d, in force everywhere: %s\n", status.Head, yesNo(status.Everywhere))
		table(w, func(row func(...any)) {
			row("INSTANCE", "ZONE", "VERSION", "AGE_S", "LAST_SEEN_S", "STATE")
			for _, i := range status.Instances {
				row(i.ID, i.AvailabilityZone, i.ConfigVersion, formatSeconds(i.ConfigAgeS), formatSeconds(i.LastSeenS), i.State)
			}
		})
	})
}

func (inv *invocation) configHistory() error {
	var history api.ConfigHistory
	if err := inv.call(http.MethodGet, "/v1/config/history", nil, &history); err != nil {
		return err
	}
	return inv.print(history, func(w io.Writer) {
		table(w, func(row func(...any)) {
			row("VERSION", "APPLIED", "DIGEST")
			for _, version := range history.Versions {
				row(version.Version, version.AppliedAt.Format(time.RFC3339), version.Digest)
			}
		})
	})
}
