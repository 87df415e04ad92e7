package serve

import (
	"context"
	"fmt"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/config"
	"github.com/corianderbank/corianderbank/internal/strictjson"
)

// guaranteeCheckTimeout limits the query to the placer of one zone.
const guaranteeCheckTimeout = 2 * time.Second

// checkConfig returns the problems of a proposed configuration that its schema
// does not cover: faults of the document itself, and guarantees that do not fit
// into the workers of a zone. A zone that cannot be queried does not block the
// operators: a shape that cannot be provided is reported as at risk once the
// zone answers.
func (i *instance) checkConfig(document *config.Document, positions *strictjson.Positions) []api.Problem {
	problems := config.Check(document, positions)
	if len(problems) > 0 {
		return problems
	}
	for _, zone := range zonesWithGuarantees(document) {
		ctx, cancel := context.WithTimeout(context.Background(), guaranteeCheckTimeout)
		err := i.jobs.CheckGuarantees(ctx, zone, document.Accounts)
		cancel()
		switch {
		case err == nil:
		case api.IsKind(err, api.KindShapeNeverFits):
			problems = append(problems, positions.Problem(firstGuaranteePath(document, zone), err.Error()))
		default:
			i.logger.Warn("guarantees not checked", zap.String("zone", zone), zap.Error(err))
		}
	}
	return problems
}

func zonesWithGuarantees(document *config.Document) []string {
	seen := make(map[string]bool)
	for _, account := range document.Accounts {
		for zone := range account.Guarantees {
			seen[zone] = true
		}
	}
	zones := make([]string, 0, len(seen))
	for zone := range seen {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// firstGuaranteePath returns the JSON pointer of the first guarantee in a zone.
func firstGuaranteePath(document *config.Document, zone string) string {
	for i, account := range document.Accounts {
		if _, ok := account.Guarantees[zone]; ok {
			return fmt.Sprintf("/client_accounts/%d/guarantees/%s", i, zone)
		}
	}
	return "/client_accounts"
}
