package gangload

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// Policy makes the placement decisions of a simulation.
type Policy interface {
	// Admit returns a refusal if a submitted job is not admitted, or else nil.
	Admit(s placement.Snapshot, job model.Job) *placement.Refusal
	// Decide returns the placements, reclaims and refusals for a snapshot.
	Decide(s placement.Snapshot) placement.Plan
	// UsesQuarantine reports whether unhealthy workers are quarantined and faulty
	// jobs are identified.
	UsesQuarantine() bool
}

// NamedPolicy is a policy with its name in the table.
type NamedPolicy struct {
	Name string
	New  func() Policy
	// Ablation is set for the product with one decision disabled.
	Ablation bool
}

// The names of the product and the baselines. The performance targets compare these
// policies.
const (
	PolicyProduct      = "corianderbank"
	PolicyFirstFit     = "first come first served, first fit"
	PolicyWithBackfill = "the same with backfill"
)

// Baselines returns the names of the policies that the product is compared with.
func Baselines() []string { return []string{PolicyFirstFit, PolicyWithBackfill} }

// Policies returns the product, the baselines, and the product with each
// decision disabled in turn.
func Policies() []NamedPolicy {
	policies := []NamedPolicy{
		{Name: PolicyProduct, New: func() Policy { return &product{} }},
		{Name: PolicyFirstFit, New: func() Policy { return &firstFit{} }},
		{Name: PolicyWithBackfill, New: func() Policy { return &firstFit{backfill: true} }},
	}
	for _, variant := range ablations() {
		policies = append(policies, NamedPolicy{
			Name: variant.name, Ablation: true,
			New: func() Policy { return &variant.product },
		})
	}
	return policies
}

// ablation is the product with one decision disabled.
type ablation struct {
	name    string
	product product
}

func ablations() []ablation {
	return []ablation{
		{"without run time correction", product{useDeclaredRuns: true}},
		{"without refusal at submission", product{admitAll: true}},
		{"without borrowing", product{noBorrowing: true}},
		{"without quarantine", product{noQuarantine: true}},
		{"without reservation", product{disabled: placement.Disabled{Reservation: true}}},
		{"without backfill", product{disabled: placement.Disabled{Backfill: true}}},
		{"without fair order of accounts", product{disabled: placement.Disabled{FairOrder: true}}},
		{"without due times by run time", product{disabled: placement.Disabled{LatestStarts: true}}},
		{"without heads of accounts", product{disabled: placement.Disabled{Heads: true}}},
		{"guarantees bound to fixed cells", product{disabled: placement.Disabled{Repack: true}}},
		{"without best fit", product{disabled: placement.Disabled{BestFit: true}}},
		{"without reclaim", product{disabled: placement.Disabled{Reclaim: true}}},
		{"without cheapest reclaim", product{disabled: placement.Disabled{CheapestReclaim: true}}},
		{"without objectives", product{disabled: placement.Disabled{Objectives: true}}},
	}
}

// product is the placement of corianderbank, with some parts possibly disabled.
type product struct {
	useDeclaredRuns, admitAll, noBorrowing, noQuarantine bool
	disabled                                             placement.Disabled
}

func (p *product) adjustSnapshot(s placement.Snapshot) placement.Snapshot {
	if p.useDeclaredRuns {
		s.RunTimes = estimate.Declared{}
	}
	if p.noBorrowing {
		waiting := make([]model.Job, len(s.Waiting))
		for i, job := range s.Waiting {
			job.MayBorrow = false
			waiting[i] = job
		}
		s.Waiting = waiting
	}
	return s
}

// Admit implements Policy.
func (p *product) Admit(s placement.Snapshot, job model.Job) *placement.Refusal {
	if p.admitAll {
		job.Deadline = time.Time{}
	}
	_, refusal := placement.Admit(p.adjustSnapshot(s), job)
	return refusal
}

// Decide implements Policy.
func (p *product) Decide(s placement.Snapshot) placement.Plan {
	return placement.DecideWithout(p.adjustSnapshot(s), p.disabled)
}

// UsesQuarantine implements Policy.
func (p *product) UsesQuarantine() bool { return !p.noQuarantine }
