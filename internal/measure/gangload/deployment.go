package gangload

import (
	"fmt"

	"github.com/corianderbank/corianderbank/api"
	"github.com/corianderbank/corianderbank/internal/model"
)

// The dimensions of an availability zone. Both deployments have the same.
const (
	workersPerZone        = 17
	workersPerRack        = 8
	acceleratorsPerWorker = 8
	zoneName              = "z1"
)

// Deployment describes one availability zone of a deployment and its accounts.
type Deployment struct {
	Name       string
	Workers    []model.Worker
	Accounts   []model.ClientAccount
	Objectives model.Objectives
}

// capacity returns the number of accelerators of the zone.
func (d *Deployment) capacity() int {
	total := 0
	for _, worker := range d.Workers {
		total += worker.Accelerators
	}
	return total
}

// Deployments returns the two deployments. Their guarantees cover 96 of the 136
// accelerators of a zone.
func Deployments() []Deployment {
	return []Deployment{klaverveld(), lankapowder()}
}

func klaverveld() Deployment {
	return Deployment{
		Name:    "klaverveld",
		Workers: newWorkers(workersPerZone),
		Accounts: []model.ClientAccount{
			newAccount("advisories", 2, sameRackShape(2, 8)),
			newAccount("suites", 1, sameRackShape(4, 8)),
			newAccount("sweep", 2, sameRackShape(1, 8)),
			newAccount("scans", 4, sameRackShape(1, 4)),
		},
		Objectives: model.Objectives{CompletionTime: 0.8, Fragmentation: 0.2},
	}
}

func lankapowder() Deployment {
	return Deployment{
		Name:    "lankapowder",
		Workers: newWorkers(workersPerZone),
		Accounts: []model.ClientAccount{
			newAccount("house-a", 1, sameRackShape(4, 8)),
			newAccount("house-b", 1, sameRackShape(4, 8)),
			newAccount("house-c", 1, sameRackShape(2, 8)),
			newAccount("house-d", 2, sameRackShape(1, 8)),
		},
		Objectives: model.Objectives{CompletionTime: 0.3, Fragmentation: 0.7},
	}
}

func newWorkers(count int) []model.Worker {
	workers := make([]model.Worker, count)
	for i := range workers {
		workers[i] = model.Worker{
			ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%02d", i/workersPerRack), Zone: zoneName,
			Accelerators: acceleratorsPerWorker, Health: model.WorkerHealthy,
		}
	}
	return workers
}

func newAccount(name string, count int, shape api.Shape) model.ClientAccount {
	guaranteed := model.GuaranteedShape{Shape: shape, Count: count}
	return model.ClientAccount{Name: name, Guarantees: map[string][]model.GuaranteedShape{zoneName: {guaranteed}}}
}

func sameRackShape(tasks, acceleratorsPerTask int) api.Shape {
	return api.Shape{Tasks: tasks, AcceleratorsPerTask: acceleratorsPerTask, SameRack: true}
}
