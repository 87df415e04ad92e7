package gangload

import (
	"time"

	"github.com/corianderbank/corianderbank/internal/estimate"
	"github.com/corianderbank/corianderbank/internal/model"
	"github.com/corianderbank/corianderbank/internal/placement"
)

// Policy decides placements in the harness.
type Policy interface {
	// Admit refuses a job at its submission, or returns nil.
	Admit(s placement.Snapshot, job model.Job) *placement.Refusal
	// Decide returns a plan.
	Decide(s placement.Snapshot) placement.Plan
	// Quarantines reports whether sick workers and jobs are told apart.
	Quarantines() bool
}

// NamedPolicy is a policy of the table.
type NamedPolicy struct {
	Name string
	New  func() Policy
	// Ablation is said of the product without one decision.
	Ablation bool
}

// The names of the policies that are compared by the targets.
const (
	PolicyProduct      = "corianderbank"
	PolicyFirstFit     = "first come first served, first fit"
	PolicyWithBackfill = "the same with backfill"
)

// Baselines names the policies that the product is compared with.
func Baselines() []string { return []string{PolicyFirstFit, PolicyWithBackfill} }

// Policies returns the product, the baselines, and the product with each
// decision switched off in turn.
func Policies() []NamedPolicy {
	policies := []NamedPolicy{
		{Name: PolicyProduct, New: func() Policy { return &product{} }},
		{Name: PolicyFirstFit, New: func() Policy { return &firstFit{} }},
		{Name: PolicyWithBackfill, New: func() Policy { return &firstFit{backfill: true} }},
	}
	for _, without := range ablations() {
		policies = append(policies, NamedPolicy{
			Name: without.name, Ablation: true,
			New: func() Policy { return &without.product },
		})
	}
	return policies
}

// ablation is the product without one decision.
type ablation struct {
	name    string
	product product
}

func ablations() []ablation {
	return []ablation{
		{"without run time correction", product{declaredRuns: true}},
		{"without refusal at submission", product{admitsAll: true}},
		{"without borrowing", product{noBorrowing: true}},
		{"without quarantine", product{noQuarantine: true}},
		{"without reservation", product{off: placement.Off{Reservation: true}}},
		{"without backfill", product{off: placement.Off{Backfill: true}}},
		{"without fair order of accounts", product{off: placement.Off{FairOrder: true}}},
		{"without due times by run time", product{off: placement.Off{DueTimes: true}}},
		{"without heads of accounts", product{off: placement.Off{Heads: true}}},
		{"guarantees bound to fixed cells", product{off: placement.Off{Repack: true}}},
		{"without best fit", product{off: placement.Off{BestFit: true}}},
		{"without reclaim", product{off: placement.Off{Reclaim: true}}},
		{"without cheapest reclaim", product{off: placement.Off{CheapestReclaim: true}}},
		{"without objectives", product{off: placement.Off{Objectives: true}}},
	}
}

// product is corianderbank's placement, with parts of it switched off.
type product struct {
	declaredRuns, admitsAll, noBorrowing, noQuarantine bool
	off                                                placement.Off
}

func (p *product) adjust(s placement.Snapshot) placement.Snapshot {
	if p.declaredRuns {
		s.Runs = estimate.Declared{}
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
	if p.admitsAll {
		job.Deadline = time.Time{}
	}
	_, refusal := placement.Admit(p.adjust(s), job)
	return refusal
}

// Decide implements Policy.
func (p *product) Decide(s placement.Snapshot) placement.Plan {
	return placement.DecideWithout(p.adjust(s), p.off)
}

// Quarantines implements Policy.
func (p *product) Quarantines() bool { return !p.noQuarantine }
