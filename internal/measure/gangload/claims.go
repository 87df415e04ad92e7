package gangload

import "github.com/corianderbank/corianderbank/internal/model"

// markClaims decides whether a submitted job claims its account's guarantee: its
// shape fits into a guaranteed one, and from its submission to its start its
// account asks for no more than it is guaranteed. For urgent jobs only the
// account's urgent jobs count, because they go first, and those that cannot be
// stopped. A job that takes its
// account beyond the guarantee ends the claims of those that wait.
func (pl *player) markClaims(job *play) {
	account := pl.account(job.job.Account)
	guaranteed := account.GuaranteedAccelerators(zoneName)
	if pl.asked(job.job.Account, false) > guaranteed {
		pl.endClaims(job.job.Account, false)
	} else {
		job.claims = fitsGuarantee(job, account)
	}
	if !job.job.Urgent && job.job.Stoppable() {
		return
	}
	if pl.asked(job.job.Account, true) > guaranteed {
		pl.endClaims(job.job.Account, true)
	} else if job.job.Urgent {
		job.claims = fitsGuarantee(job, account)
	}
}

func fitsGuarantee(job *play, account *model.ClientAccount) bool {
	shape := account.Guarantees[zoneName][0]
	return job.job.Shape.Tasks <= shape.Tasks && job.job.Shape.AcceleratorsPerTask <= shape.AcceleratorsPerTask
}

func (pl *player) account(name string) *model.ClientAccount {
	for i := range pl.deployment.Accounts {
		if pl.deployment.Accounts[i].Name == name {
			return &pl.deployment.Accounts[i]
		}
	}
	return nil
}

// asked counts the accelerators that an account's jobs hold and wait for.
func (pl *player) asked(account string, urgentOnly bool) int {
	total := 0
	for _, jobs := range [][]*play{pl.queue, pl.held} {
		for _, job := range jobs {
			if job.job.Account == account && (!urgentOnly || job.job.Urgent || !job.job.Stoppable()) {
				total += job.job.Shape.Accelerators()
			}
		}
	}
	return total
}

// endClaims ends the claims of an account's waiting jobs.
func (pl *player) endClaims(account string, urgent bool) {
	for _, job := range pl.queue {
		if job.job.Account == account && job.job.Urgent == urgent {
			job.claims = false
		}
	}
}
