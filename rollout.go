package sycamorerun

// Rollout is the item that orders a new release of a service to be tried on few
// calls, and then to get all of them or none. Its name is that of the service.
type Rollout struct {
	// Release is the release that is tried, as its upstreams announce it.
	Release string `json:"release"`
	// Duration is the time within which the rollout has to end.
	Duration Duration `json:"duration"`
}

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout. A rollout that has completed or been rolled back stays so.
const (
	RolloutActive     RolloutState = "active"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled-back"
)
