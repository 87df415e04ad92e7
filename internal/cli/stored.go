package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/workload"
)

// storedConfig is the output of the config stored command: how an instance of a
// deployment-wide scheduler interprets a stored configuration.
type storedConfig struct {
	Version  int64           `json:"version"`
	Queues   []storedQueue   `json:"queues"`
	Accounts []storedAccount `json:"client_accounts"`
	// Problems lists parts of the configuration that cannot take effect as written.
	Problems []string `json:"problems"`
}

type storedQueue struct {
	Name      string `json:"name"`
	Address   string `json:"address"`
	Pool      string `json:"pool"`
	Priority  int    `json:"priority"`
	Attempts  int    `json:"attempts"`
	Objective string `json:"objective"`
	Public    bool   `json:"public"`
	Advisor   bool   `json:"advisor"`
}

type storedAccount struct {
	Name         string `json:"name"`
	Keys         int    `json:"keys"`
	Accelerators int64  `json:"guaranteed_accelerators"`
}

func (inv *invocation) addStored(functions Functions) {
	command := inv.app.GetCommand("config").Command("stored", "Explain a configuration as operators store it on the platform, without a network.")
	file := command.Arg("file", "The stored document.").Required().String()
	inv.addAction(command, func() error {
		data, err := readInput(*file)
		if err != nil {
			return err
		}
		configuration, err := functions.DecodeStored(data)
		if err != nil {
			return api.NewError(api.KindConfigInvalid, "%s: %v", *file, err)
		}
		result := explainStored(configuration)
		return inv.print(result, func(w io.Writer) { printStored(w, &result) })
	})
}

// explainStored describes the effect of a configuration, with the queues in the order of
// their priorities.
func explainStored(c *workload.Configuration) storedConfig {
	result := storedConfig{Version: c.Version, Queues: []storedQueue{}, Accounts: []storedAccount{}, Problems: []string{}}
	queues := slices.Clone(c.Queues)
	slices.SortStableFunc(queues, func(a, b workload.Queue) int { return cmp.Compare(a.Priority, b.Priority) })
	for i := range queues {
		q := &queues[i]
		grace := time.Duration(q.GracePeriodMS) * time.Millisecond
		result.Queues = append(result.Queues, storedQueue{
			Name: q.Name, Address: q.Host + q.Prefix, Pool: q.Pool, Priority: q.Priority, Attempts: q.Attempts,
			Objective: fmt.Sprintf("%g times its work and %v", q.LatencyFactor, grace), Public: q.Public, Advisor: q.Advice != nil,
		})
		result.Problems = append(result.Problems, problemsOf(q)...)
	}
	ownerOfKey := make(map[string]string)
	for _, account := range c.Accounts {
		result.Accounts = append(result.Accounts, storedAccount{account.Name, len(account.Keys), account.Guaranteed.Accelerators})
		for _, key := range account.Keys {
			if owner, used := ownerOfKey[key]; used && owner != account.Name {
				result.Problems = append(result.Problems, fmt.Sprintf("client accounts %s and %s share a key", owner, account.Name))
			}
			ownerOfKey[key] = account.Name
		}
	}
	return result
}

func problemsOf(q *workload.Queue) []string {
	var problems []string
	if q.Pool == "" {
		problems = append(problems, fmt.Sprintf("queue %s has no worker pool: its jobs cannot run", q.Name))
	}
	if q.Attempts < 1 {
		problems = append(problems, fmt.Sprintf("queue %s allows no attempts: one attempt is made", q.Name))
	}
	if q.Prefix == "" {
		problems = append(problems, fmt.Sprintf("queue %s has no prefix: it matches every path of its host that no other queue matches", q.Name))
	}
	return problems
}

func printStored(w io.Writer, c *storedConfig) {
	_, _ = fmt.Fprintf(w, "version %d\n", c.Version)
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "QUEUE\tADDRESS\tPOOL\tPRIORITY\tATTEMPTS\tOBJECTIVE\tPUBLIC\tADVISOR")
	for _, q := range c.Queues {
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n",
			q.Name, q.Address, q.Pool, q.Priority, q.Attempts, q.Objective, yesNo(q.Public), yesNo(q.Advisor))
	}
	_, _ = fmt.Fprintln(writer, "CLIENT ACCOUNT\tKEYS\tGUARANTEED ACCELERATORS")
	for _, account := range c.Accounts {
		_, _ = fmt.Fprintf(writer, "%s\t%d\t%d\n", account.Name, account.Keys, account.Accelerators)
	}
	_ = writer.Flush()
	for _, problem := range c.Problems {
		_, _ = fmt.Fprintln(w, "note:", problem)
	}
}
