package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/corianderbank/corianderbank/api"
)

func (s *shell) addConfig() {
	group := s.app.Command("config", "Work on the configuration in force.")
	apply := group.Command("apply", "Put a configuration in force.")
	expect := apply.Flag("expect", "Version that the file was edited from; 0 for the first one.").Required().Int64()
	file := apply.Arg("file", "Configuration file.").Required().String()
	s.add(apply, func() error { return s.applyConfig(*file, *expect) })
	s.add(group.Command("show", "Print the configuration in force."), s.showConfig)
	s.add(group.Command("status", "Print which instance has which version in force."), s.configStatus)
	s.add(group.Command("history", "Print the versions so far, newest first."), s.configHistory)
}

func (s *shell) applyConfig(file string, expect int64) error {
	data, err := readInput(file)
	if err != nil {
		return err
	}
	if _, err := parseConfig(file, data); err != nil {
		return err
	}
	var version api.ConfigVersion
	body := api.ConfigApply{Expect: expect, Document: json.RawMessage(data)}
	if err := s.call(http.MethodPost, "/v1/config", body, &version); err != nil {
		return err
	}
	version.Document = nil
	return s.print(version, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d accepted, digest %s\n", version.Version, version.Digest)
	})
}

func (s *shell) showConfig() error {
	var version api.ConfigVersion
	if err := s.call(http.MethodGet, "/v1/config", nil, &version); err != nil {
		return err
	}
	return s.print(version, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d, digest %s, applied %s\n", version.Version, version.Digest, version.AppliedAt.Format(time.RFC3339))
		_, _ = fmt.Fprintln(w, string(version.Document))
	})
}

func (s *shell) configStatus() error {
	var status api.ConfigStatus
	if err := s.call(http.MethodGet, "/v1/config/status", nil, &status); err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "head %d, in force everywhere: %s\n", status.Head, yesNo(status.Everywhere))
		table(w, func(row func(...any)) {
			row("INSTANCE", "ZONE", "VERSION", "AGE_S", "LAST_SEEN_S", "STATE")
			for _, i := range status.Instances {
				row(i.ID, i.AvailabilityZone, i.ConfigVersion, seconds(i.ConfigAgeS), seconds(i.LastSeenS), i.State)
			}
		})
	})
}

func (s *shell) configHistory() error {
	var history api.ConfigHistory
	if err := s.call(http.MethodGet, "/v1/config/history", nil, &history); err != nil {
		return err
	}
	return s.print(history, func(w io.Writer) {
		table(w, func(row func(...any)) {
			row("VERSION", "APPLIED", "DIGEST")
			for _, version := range history.Versions {
				row(version.Version, version.AppliedAt.Format(time.RFC3339), version.Digest)
			}
		})
	})
}
