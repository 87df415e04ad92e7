package gangload

import "github.com/corianderbank/corianderbank/internal/model"

// updateClaims determines whether a submitted job claims its account's guarantee.
// It does if its shape fits into a guaranteed shape and if, from its submission
// to its start, its account requests no more than its guarantee. For an urgent
// job, only the account's urgent jobs, which are served first, and its jobs that
// cannot be stopped count. A job that takes its account beyond the guarantee
// revokes the claims of the waiting jobs.
func (sim *simulation) updateClaims(job *simulatedJob) {
	account := sim.findAccount(job.spec.Account)
	guaranteed := account.GuaranteedAccelerators(zoneName)
	if sim.requestedAccelerators(job.spec.Account, false) > guaranteed {
		sim.revokeClaims(job.spec.Account, false)
	} else {
		job.claimsGuarantee = fitsGuaranteedShape(job, account)
	}
	if !job.spec.Urgent && job.spec.Preemptible() {
		return
	}
	if sim.requestedAccelerators(job.spec.Account, true) > guaranteed {
		sim.revokeClaims(job.spec.Account, true)
	} else if job.spec.Urgent {
		job.claimsGuarantee = fitsGuaranteedShape(job, account)
	}
}

func fitsGuaranteedShape(job *simulatedJob, account *model.ClientAccount) bool {
	shape := account.Guarantees[zoneName][0]
	return job.spec.Shape.Tasks <= shape.Tasks && job.spec.Shape.AcceleratorsPerTask <= shape.AcceleratorsPerTask
}

func (sim *simulation) findAccount(name string) *model.ClientAccount {
	for i := range sim.deployment.Accounts {
		if sim.deployment.Accounts[i].Name == name {
			return &sim.deployment.Accounts[i]
		}
	}
	return nil
}

// requestedAccelerators returns the number of accelerators that an account's jobs
// hold or wait for. With urgentOnly, only urgent jobs and jobs that cannot be
// stopped count.
func (sim *simulation) requestedAccelerators(account string, urgentOnly bool) int {
	total := 0
	for _, jobs := range [][]*simulatedJob{sim.queue, sim.active} {
		for _, job := range jobs {
			if job.spec.Account == account && (!urgentOnly || job.spec.Urgent || !job.spec.Preemptible()) {
				total += job.spec.Shape.Accelerators()
			}
		}
	}
	return total
}

// revokeClaims revokes the claims of an account's waiting jobs that are urgent, or
// of those that are not.
func (sim *simulation) revokeClaims(account string, urgent bool) {
	for _, job := range sim.queue {
		if job.spec.Account == account && job.spec.Urgent == urgent {
			job.claimsGuarantee = false
		}
	}
}
