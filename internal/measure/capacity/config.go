package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/rules"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

const (
	// configZones is the number of zones of a measured document. Each account has a
	// guarantee in every zone.
	configZones     = 10
	rulesPerAccount = 2
	// configRepeats is the number of calls over which a duration is averaged.
	configRepeats = 20
)

// ConfigAccounts measures, for each number of client accounts, the size of a
// configuration, its memory use, and the time to parse, check and apply it and to
// decide by its rules for a request that no account's rule matches.
func ConfigAccounts(sizes []int) (Series, error) {
	series := Series{
		Title:    "configuration with guarantees in 10 zones and two rules an account",
		SizeName: "accounts",
		Names:    []string{"document KB", "packed KB", "parse ms", "check ms", "take ms", "heap KB", "decide us"},
	}
	for _, size := range sizes {
		point, err := configPoint(size)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

func configPoint(accounts int) (Point, error) {
	data, err := json.Marshal(newDocument(accounts))
	if err != nil {
		return Point{}, err
	}
	before := heapMB()
	document, err := config.Parse("configuration", data)
	if err != nil {
		return Point{}, err
	}
	heapKB := (heapMB() - before) * 1024
	parse := meanDuration(func() { _, _ = config.Parse("configuration", data) })
	check := meanDuration(func() { config.Check(document, strictjson.Index("configuration", data)) })
	offer := meanDuration(func() {
		sum := sha256.Sum256(data)
		_, _ = config.NewManager(config.Options{}).Offer(1, hex.EncodeToString(sum[:]), data)
	})
	set := rules.NewSet(document.Rules)
	unmatchedSituation := rules.Situation{Work: rules.WorkRequest, Account: "nobody", Kind: "none"}
	decide := meanDuration(func() { set.Decide(unmatchedSituation) })
	const perMS, perUS = float64(time.Millisecond), float64(time.Microsecond)
	return Point{Size: float64(accounts), Values: []float64{
		float64(len(data)) / 1024, float64(len(config.Pack(data))) / 1024, float64(parse) / perMS, float64(check) / perMS, float64(offer) / perMS, heapKB, float64(decide) / perUS,
	}}, nil
}

// meanDuration returns the mean duration of configRepeats calls of fn.
func meanDuration(fn func()) time.Duration {
	started := time.Now()
	for range configRepeats {
		fn()
	}
	return time.Since(started) / configRepeats
}

func newDocument(accounts int) config.Document {
	var document config.Document
	for i := range accounts {
		name := fmt.Sprintf("account-%04d", i)
		account := model.ClientAccount{Name: name, Guarantees: make(map[string][]model.GuaranteedShape)}
		for z := range configZones {
			shape := api.Shape{Tasks: 2, AcceleratorsPerTask: 8, SameRack: true}
			account.Guarantees[fmt.Sprintf("zone-%d", z)] = []model.GuaranteedShape{{Shape: shape, Count: 1}}
		}
		document.Accounts = append(document.Accounts, account)
		for k := range rulesPerAccount {
			document.Rules = append(document.Rules, rules.Rule{
				Name: fmt.Sprintf("rule-%04d-%d", i, k),
				When: rules.When{Accounts: []string{name}, Kinds: []string{fmt.Sprintf("kind-%d", k)}},
				Then: rules.Then{Priority: k},
			})
		}
	}
	document.Rules = append(document.Rules, rules.Rule{Name: "all-others"})
	return document
}
