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

// spread is a distribution by its mean and its coefficient of variation, cut off at
// a most. It is log-normal: sizes and run times are many small and few large.
type spread struct {
	Mean      float64 `json:"mean"`
	Variation float64 `json:"variation"`
	Most      float64 `json:"most"`
}

func (s spread) draw(random *rand.Rand) float64 {
	sigma := math.Sqrt(math.Log(1 + s.Variation*s.Variation))
	return min(s.Mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2), s.Most)
}

// sort is what a kind of job is to a deployment: it has one of each.
type sort string

const (
	urgent sort = "urgent"
	large  sort = "large"
	small  sort = "small"
)

func sorts() []sort { return []sort{urgent, large, small} }

// Kind is one kind of job that a deployment's callers submit.
type Kind struct {
	Sort  sort   `json:"sort"`
	Queue string `json:"queue"`
	// PerSecond is how many arrive on a day of load one; Initial are there at its
	// beginning.
	PerSecond float64 `json:"per_second"`
	Initial   int     `json:"initial,omitempty"`
	// Worth is what a job of mean size earns in time, Late what it earns until three
	// times its objective.
	Worth float64 `json:"worth"`
	Late  float64 `json:"late"`
	// Tasks is the number of tasks, Work their run time in seconds.
	Tasks    spread `json:"tasks"`
	Work     spread `json:"work"`
	MilliCPU int64  `json:"milli_cpu"`
	MemoryMB int64  `json:"memory_mb"`
	// Accelerators is drawn from for each job.
	Accelerators []int64 `json:"accelerators"`
	// Gangs, OneRack, Near and Saves are the shares of jobs that are gangs, of gangs
	// that belong on one rack, of other jobs whose data lies on a rack, and of jobs
	// that checkpoint.
	Gangs   float64 `json:"gangs,omitempty"`
	OneRack float64 `json:"one_rack,omitempty"`
	Near    float64 `json:"near,omitempty"`
	Saves   float64 `json:"saves,omitempty"`
	// DeclaredOff is the standard deviation of the logarithm of declared over real run
	// time, Uneven that of the tasks of one job.
	DeclaredOff float64 `json:"declared_off"`
	Uneven      float64 `json:"uneven"`
	// Cancelled is the share of jobs that their callers cancel, Fails that of runs
	// that fail by their own fault.
	Cancelled float64 `json:"cancelled,omitempty"`
	Fails     float64 `json:"fails,omitempty"`
	// Poison is the share of jobs of which every run fails by its own fault.
	Poison float64 `json:"poison,omitempty"`
	// Priority, Attempts, Stretch and GraceMS are the queue's.
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
	GraceMS  int64   `json:"grace_ms"`
}

// Weights are what counts for a deployment's users, and what work thrown away costs.
type Weights struct {
	Whole   float64 `json:"whole"`
	Windows float64 `json:"windows"`
	Kind    float64 `json:"kind"`
	Zone    float64 `json:"zone"`
	Account float64 `json:"account"`
	// Waste is taken off for each thousand core-seconds thrown away.
	Waste float64 `json:"waste"`
}

// Deployment is a fleet of workers with the kinds of jobs on it.
type Deployment struct {
	Name           string             `json:"name"`
	Zones          int                `json:"zones"`
	RacksPerZone   int                `json:"racks_per_zone"`
	WorkersPerRack int                `json:"workers_per_rack"`
	Room           workload.Resources `json:"room"`
	// Speeds are drawn from for each worker.
	Speeds []float64 `json:"speeds"`
	// Guaranteed is the share of all accelerators that belongs to each client account.
	Guaranteed   []float64 `json:"guaranteed"`
	LeaseMS      int64     `json:"longest_lease_ms"`
	StopMS       int64     `json:"stop_ms"`
	ReclaimMS    int64     `json:"reclaim_ms"`
	RemoteFactor float64   `json:"remote_factor"`
	CheckpointMS int64     `json:"checkpoint_ms"`
	RestoreMS    int64     `json:"restore_ms"`
	Kinds        []Kind    `json:"kinds"`
	Weights      Weights   `json:"weights"`

	config *workload.Configuration
	bounds workload.Bounds
}

const pool = "pool"

//go:embed deployments days
var files embed.FS

// Deployments are those of the users' letters.
func Deployments() ([]Deployment, error) {
	return load("deployments", ReadDeployment)
}

// load reads all files of a folder, in the order of their names.
func load[T any](dir string, read func(name string, data []byte) (T, error)) ([]T, error) {
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
		one, err := read(name, data)
		if err != nil {
			return nil, err
		}
		list = append(list, one)
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

// ReadDeployment reads a deployment's file.
func ReadDeployment(name string, data []byte) (Deployment, error) {
	var d Deployment
	if err := decode(name, data, &d); err != nil {
		return d, err
	}
	return d, d.prepare()
}

// prepare checks a deployment and makes its configuration.
func (d *Deployment) prepare() error {
	if d.Zones < 1 || d.RacksPerZone < 1 || d.WorkersPerRack < 1 || len(d.Speeds) == 0 || len(d.Kinds) != len(sorts()) || len(d.Guaranteed) == 0 {
		return fmt.Errorf("deployment %s: zones, racks, workers, speeds, guarantees and one kind of each sort are needed", d.Name)
	}
	d.bounds = workload.Bounds{
		LongestLease: milliseconds(d.LeaseMS), StopTime: milliseconds(d.StopMS), Reclaim: milliseconds(d.ReclaimMS),
		StatusKept: 2 * time.Minute, RemoteFactor: d.RemoteFactor,
	}
	d.config = &workload.Configuration{Version: 1}
	for i := range d.Kinds {
		k := &d.Kinds[i]
		d.config.Queues = append(d.config.Queues, workload.Queue{
			Name: k.Queue, Pool: pool, Priority: k.Priority, Attempts: k.Attempts, Stretch: k.Stretch, GraceMS: k.GraceMS,
		})
	}
	all := float64(d.workers()) * float64(d.Room.Accelerators)
	for i, share := range d.Guaranteed {
		guaranteed := workload.Resources{Accelerators: int64(share * all)}
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

// list is the workers as the platform would list them.
func (d *Deployment) list() []workload.Worker {
	var list []workload.Worker
	for n := range d.workers() {
		rack := n / d.WorkersPerRack
		zone := rack / d.RacksPerZone
		// Ids say nothing of racks, as on a real platform.
		id := fmt.Sprintf("worker-%08x-%03d", xxhash.Sum64String(fmt.Sprint(n))>>32, n)
		list = append(list, workload.Worker{
			ID: id, Addr: id, Pool: pool, Zone: zoneName(zone), Rack: rackName(zone, rack%d.RacksPerZone), Room: d.Room,
		})
	}
	return list
}
