package rules

import (
	"fmt"
	"strings"
)

// presentFields returns the names of the fields that a condition sets, in the order in
// which they are compared.
func presentFields(when When) []string {
	candidates := []struct {
		field   string
		present bool
	}{
		{"work", when.Work != ""},
		{"accounts", len(when.Accounts) > 0},
		{"kinds", len(when.Kinds) > 0},
		{"availability_zones", len(when.Zones) > 0},
		{"min_accelerators", when.MinAccelerators != nil},
		{"max_accelerators", when.MaxAccelerators != nil},
		{"slack_below_s", when.SlackBelowS != nil},
		{"slack_at_least_s", when.SlackAtLeastS != nil},
		{"idempotent", when.Idempotent != nil},
		{"keyed", when.Keyed != nil},
		{"urgent", when.Urgent != nil},
		{"platform_reachable", when.PlatformReachable != nil},
		{"load_at_least", when.LoadAtLeast != nil},
		{"load_below", when.LoadBelow != nil},
	}
	var fields []string
	for _, entry := range candidates {
		if entry.present {
			fields = append(fields, entry.field)
		}
	}
	return fields
}

// mismatchDetail describes why a field of a condition does not match.
func mismatchDetail(field string, when When, s Situation) string {
	switch field {
	case "work":
		return formatDifference(string(s.Work), string(when.Work))
	case "accounts":
		return notListed(s.Account, when.Accounts)
	case "kinds":
		return notListed(s.Kind, when.Kinds)
	case "availability_zones":
		return notListed(s.Zone, when.Zones)
	case "min_accelerators":
		return fmt.Sprintf("%d accelerators are fewer than %d", s.Accelerators, *when.MinAccelerators)
	case "max_accelerators":
		return fmt.Sprintf("%d accelerators are more than %d", s.Accelerators, *when.MaxAccelerators)
	case "slack_below_s":
		return slackText(s) + fmt.Sprintf(" is not below %g s", *when.SlackBelowS)
	case "slack_at_least_s":
		return slackText(s) + fmt.Sprintf(" is below %g s", *when.SlackAtLeastS)
	case "load_at_least":
		return fmt.Sprintf("load %g is below %g", s.Load, *when.LoadAtLeast)
	case "load_below":
		return fmt.Sprintf("load %g is not below %g", s.Load, *when.LoadBelow)
	}
	return flagDetail(field, when, s)
}

func flagDetail(field string, when When, s Situation) string {
	switch field {
	case "idempotent":
		return formatDifference(fmt.Sprint(s.Idempotent), fmt.Sprint(*when.Idempotent))
	case "keyed":
		return formatDifference(fmt.Sprint(s.Keyed), fmt.Sprint(*when.Keyed))
	case "urgent":
		return formatDifference(fmt.Sprint(s.Urgent), fmt.Sprint(*when.Urgent))
	case "platform_reachable":
		return formatDifference(fmt.Sprint(s.PlatformReachable), fmt.Sprint(*when.PlatformReachable))
	}
	return ""
}

func formatDifference(actual, wanted string) string {
	return fmt.Sprintf("%s is not %s", actual, wanted)
}

func notListed(value string, list []string) string {
	return fmt.Sprintf("%q is not among %s", value, strings.Join(list, ", "))
}

func slackText(s Situation) string {
	if !s.HasDeadline {
		return "unlimited slack (no deadline)"
	}
	return fmt.Sprintf("slack %g s", s.SlackS)
}
