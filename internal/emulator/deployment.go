package emulator

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
	"path"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderbank/corianderbank/internal/workload"
)

// distribution is a log-normal distribution given by its mean and its coefficient of
// variation; larger samples are reduced to a maximum. Sizes and run times are mostly
// small, with few large values.
type distribution struct {
	Mean      float64 `json:"mean"`
	Variation float64 `json:"variation"`
	Max       float64 `json:"most"`
}

func (d distribution) sample(random *rand.Rand) float64 {
	sigma := math.Sqrt(math.Log(1 + d.Variation*d.Variation))
	return min(d.Mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2), d.Max)
}

// jobClass distinguishes the kinds of jobs; a deployment has one kind of each class.
type jobClass string

const (
	classUrgent jobClass = "urgent"
	classLarge  jobClass = "large"
	classSmall  jobClass = "small"
)

func jobClasses() []jobClass { return []jobClass{classUrgent, classLarge, classSmall} }

// Kind describes the jobs of one class that the callers of a deployment submit.
type Kind struct {
	Class jobClass `json:"sort"`
	Queue string   `json:"queue"`
	// PerSecond is the arrival rate at load one; Initial is the number of jobs that
	// arrive at the start.
	PerSecond float64 `json:"per_second"`
	Initial   int     `json:"initial,omitempty"`
	// Value is the value of a job of mean size that completes within its objective,
	// LateValue that of one that completes within three times its objective.
	Value     float64 `json:"worth"`
	LateValue float64 `json:"late"`
	// Tasks is the number of tasks of a job, Work their run time in seconds.
	Tasks    distribution `json:"tasks"`
	Work     distribution `json:"work"`
	MilliCPU int64        `json:"milli_cpu"`
	MemoryMB int64        `json:"memory_mb"`
	// Accelerators holds the accelerators per task to choose from for each job.
	Accelerators []int64 `json:"accelerators"`
	// GangShare is the share of jobs that are gangs, OneRackShare the share of gangs that
	// need a single rack, DataRackShare the share of other jobs whose data lies on a
	// rack, and CheckpointShare the share of jobs that checkpoint.
	GangShare       float64 `json:"gangs,omitempty"`
	OneRackShare    float64 `json:"one_rack,omitempty"`
	DataRackShare   float64 `json:"near,omitempty"`
	CheckpointShare float64 `json:"saves,omitempty"`
	// DeclaredError is the standard deviation of the logarithm of declared over actual
	// run time, TaskVariation that of the run times within a job.
	DeclaredError float64 `json:"declared_off"`
	TaskVariation float64 `json:"uneven"`
	// CancelledShare is the share of jobs that are cancelled by their callers, FailShare
	// that of runs that fail because of the job itself.
	CancelledShare float64 `json:"cancelled,omitempty"`
	FailShare      float64 `json:"fails,omitempty"`
	// PoisonShare is the share of jobs whose runs all fail because of the job itself.
	PoisonShare float64 `json:"poison,omitempty"`
	// Priority, Attempts, LatencyFactor and GracePeriodMS configure the queue.
	Priority      int     `json:"priority"`
	Attempts      int     `json:"attempts"`
	LatencyFactor float64 `json:"stretch"`
	GracePeriodMS int64   `json:"grace_ms"`
}

// Weights are the weights of a deployment's users for the parts of the value of a
// simulation, and the penalty for wasted work.
type Weights struct {
	// Overall weighs the value of all jobs, the others that of the worst time windows and
	// of the worst kind, zone and client account.
	Overall float64 `json:"whole"`
	Windows float64 `json:"windows"`
	Kind    float64 `json:"kind"`
	Zone    float64 `json:"zone"`
	Account float64 `json:"account"`
	// Waste is subtracted for each thousand core-seconds of wasted work.
	Waste float64 `json:"waste"`
}

// Deployment describes a fleet of workers and the kinds of jobs submitted to it.
type Deployment struct {
	Name           string `json:"name"`
	Zones          int    `json:"zones"`
	RacksPerZone   int    `json:"racks_per_zone"`
	WorkersPerRack int    `json:"workers_per_rack"`
	// Capacity is the capacity of each worker.
	Capacity workload.Resources `json:"room"`
	// Speeds holds the speeds to choose from for each worker.
	Speeds []float64 `json:"speeds"`
	// Guaranteed holds the share of all accelerators guaranteed to each client account.
	Guaranteed     []float64 `json:"guaranteed"`
	LongestLeaseMS int64     `json:"longest_lease_ms"`
	StopMS         int64     `json:"stop_ms"`
	ReclaimMS      int64     `json:"reclaim_ms"`
	// RemoteFactor divides the speed of runs away from their data rack, and of gangs that
	// need a single rack but run on several.
	RemoteFactor float64 `json:"remote_factor"`
	// CheckpointMS is the work between two checkpoints of a run, RestoreMS the additional
	// work of a run that resumes from one.
	CheckpointMS int64   `json:"checkpoint_ms"`
	RestoreMS    int64   `json:"restore_ms"`
	Kinds        []Kind  `json:"kinds"`
	Weights      Weights `json:"weights"`

	config *workload.Configuration
	bounds workload.Bounds
}

const poolName = "pool"

//go:embed deployments days
var files embed.FS

// Deployments returns the embedded deployments, which model those of the users.
func Deployments() ([]Deployment, error) {
	return loadAll("deployments", ReadDeployment)
}

// loadAll reads all files of an embedded directory in the order of their names.
func loadAll[T any](dir string, read func(name string, data []byte) (T, error)) ([]T, error) {
	var list []T
	entries, err := fs.ReadDir(files, dir)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		name := path.Join(dir, entry.Name())
		data, err := files.ReadFile(name)
		if err != nil {
			return nil, err
		}
		item, err := read(name, data)
		if err != nil {
			return nil, err
		}
		list = append(list, item)
	}
	return list, nil
}

func decode(name string, data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// ReadDeployment decodes the file of a deployment.
func ReadDeployment(name string, data []byte) (Deployment, error) {
	var d Deployment
	if err := decode(name, data, &d); err != nil {
		return d, err
	}
	return d, d.prepare()
}

// prepare validates a deployment and builds its configuration.
func (d *Deployment) prepare() error {
	if d.Zones < 1 || d.RacksPerZone < 1 || d.WorkersPerRack < 1 || len(d.Speeds) == 0 || len(d.Kinds) != len(jobClasses()) || len(d.Guaranteed) == 0 {
		return fmt.Errorf("deployment %s: zones, racks, workers, speeds, guarantees and one kind of each class must be set", d.Name)
	}
	d.bounds = workload.Bounds{
		MaxLease: milliseconds(d.LongestLeaseMS), MaxStopTime: milliseconds(d.StopMS), MaxReclaimTime: milliseconds(d.ReclaimMS),
		StatusRetention: 2 * time.Minute, RemoteFactor: d.RemoteFactor,
	}
	d.config = &workload.Configuration{Version: 1}
	for i := range d.Kinds {
		k := &d.Kinds[i]
		d.config.Queues = append(d.config.Queues, workload.Queue{
			Name: k.Queue, Pool: poolName, Priority: k.Priority, Attempts: k.Attempts, LatencyFactor: k.LatencyFactor, GracePeriodMS: k.GracePeriodMS,
		})
	}
	total := float64(d.workers()) * float64(d.Capacity.Accelerators)
	for i, share := range d.Guaranteed {
		guaranteed := workload.Resources{Accelerators: int64(share * total)}
		d.config.Accounts = append(d.config.Accounts, workload.Account{Name: fmt.Sprintf("account-%d", i+1), Guaranteed: guaranteed})
	}
	d.config.Index()
	return nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (d *Deployment) workers() int { return d.Zones * d.RacksPerZone * d.WorkersPerRack }

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone+1) }

func rackName(zone, rack int) string { return fmt.Sprintf("rack-%d-%d", zone+1, rack+1) }

// listWorkers returns the workers as the platform lists them.
func (d *Deployment) listWorkers() []workload.Worker {
	var list []workload.Worker
	for n := range d.workers() {
		rack := n / d.WorkersPerRack
		zone := rack / d.RacksPerZone
		// As on a real platform, ids carry no rack.
		id := fmt.Sprintf("worker-%08x-%03d", xxhash.Sum64String(fmt.Sprint(n))>>32, n)
		list = append(list, workload.Worker{
			ID: id, Addr: id, Pool: poolName, Zone: zoneName(zone), Rack: rackName(zone, rack%d.RacksPerZone), Capacity: d.Capacity,
		})
	}
	return list
}
