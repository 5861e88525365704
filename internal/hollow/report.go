package hollow

import "github.com/brookwalk/brookwalk/internal/history"

// Report is the result of a run. Times are in seconds; data sizes are in bytes unless the name says
// otherwise.
type Report struct {
	Experiment  string  `json:"experiment"`
	DurationS   float64 `json:"seconds"`
	Interrupted bool    `json:"interrupted"`

	Workers       int `json:"workers"` // up at the end
	Tasks         int `json:"tasks"`   // on machines at the end
	Jobs          int `json:"jobs"`    // accepted and not finished at the end
	AcceptedJobs  int `json:"jobs_accepted"`
	StartCommands int `json:"start_commands"`          // executed by workers
	ExpiredTasks  int `json:"tasks_lost_with_a_lease"` // killed by their worker when its lease expired

	Processes []ProcessReport         `json:"roles"`
	Traffic   map[string]TrafficStats `json:"channels"`

	StoreKeys        int       `json:"state_keys"`
	StoreChangesPerS float64   `json:"state_changes_a_second"`
	StoreThrottled   int       `json:"state_refused_for_rates"`
	PeakStartsPerS   float64   `json:"starts_a_second_peak"` // highest mean over 5 s
	MeanStartsPerS   float64   `json:"starts_a_second"`
	UrgentWaits      WaitStats `json:"urgent_wait"` // of tasks with priority critical or urgent

	Waits map[string]WaitStats `json:"waits"`
	// FailoverS has the times from the kill of a leader to the first task start by a later leader,
	// FailoversWithoutStart the number of kills without such a start.
	FailoverS             []float64 `json:"next_start_after_leader_s"`
	FailoversWithoutStart int       `json:"leaders_without_a_next_start"`
	Violations            []string  `json:"rules_broken"`

	// In an experiment with several regions: the report of each region, and the teams' usage over
	// all regions.
	Regions []*Report   `json:"regions,omitempty"`
	Teams   []TeamUsage `json:"teams,omitempty"`
	// History has the time series and the failures of the run.
	History *history.Log `json:"-"`
}

// ProcessReport is the resource usage of a controller, or of the process that runs the simulation.
type ProcessReport struct {
	Name             string  `json:"name"`
	Role             string  `json:"role"` // leader or follower at the end, or stand-ins (the simulation)
	Cores            float64 `json:"cores"`
	SteadyCores      float64 `json:"cores_steady"` // mean over the last two fifths of the run
	PeakCores        float64 `json:"cores_peak"`   // highest mean over one sampling interval of 1 s
	PeakMemoryMB     float64 `json:"peak_memory_mb"`
	ReadBytesPerS    float64 `json:"read_bytes_per_s"`
	WrittenBytesPerS float64 `json:"written_bytes_per_s"`
	Sockets          int     `json:"sockets"`
	Starts           int     `json:"starts"`
	UnexpectedExits  int     `json:"ended_by_itself"`
}

// TrafficStats is the traffic of one channel: between the controllers and the workers, users or a
// service, or among the controllers.
type TrafficStats struct {
	MessagesPerS      float64 `json:"messages_per_s"` // requests; each has one response
	RequestBytesPerS  float64 `json:"request_bytes_per_s"`
	ResponseBytesPerS float64 `json:"response_bytes_per_s"`
}

// WaitStats summarizes how long tasks waited, from the first attempt to submit their job to their
// first start.
type WaitStats struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P90   float64 `json:"p90_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}
