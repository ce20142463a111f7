package sched

import (
	"hemlockhinge/pack"
)

// AwaitingPreemption reports whether a job waits for preempted runs to stop. Such a job
// should not be moved to another failure domain.
func (s *State) AwaitingPreemption(id string) bool { return s.pending[id] != nil }

// FitsWhenEmpty reports whether a shape fits on the usable workers when they are
// empty, without those in not.
func (s *State) FitsWhenEmpty(z pack.Shape, not []string) bool {
	return s.empty.FitsWhenEmptyWithout(z, s.workerIndexes(not))
}

// Queued returns the number of jobs that have not started.
func (s *State) Queued() int { return s.queue.len() + len(s.pending) }

// Running returns the number of jobs that were started and have not ended.
func (s *State) Running() int { return len(s.runs) }

// View is a summary of the state for status pages.
type View struct {
	Workers            int      `json:"workers"`
	Quarantined        []string `json:"quarantined"`
	Queued             int      `json:"queued"`
	Running            int      `json:"running"`
	AwaitingPreemption int      `json:"waiting_for_preemption"`
	GuaranteedUnits    int      `json:"guaranteed_units"`
	ClaimedUnits       int      `json:"guaranteed_units_claimed"`
	UnplacedUnits      int      `json:"guaranteed_units_without_place"`
	FreeAccelerators   int      `json:"free_accelerators"`
	LargestWholeGang   int      `json:"largest_whole_gang_accelerators"`
	OutOfService       bool     `json:"out"`
}

// View returns the summary.
func (s *State) View() View {
	if s.dirty {
		s.rebuild()
	}
	v := View{
		Workers:            s.free.Len(),
		Quarantined:        s.health.quarantinedWorkers(),
		Queued:             s.Queued(),
		Running:            len(s.runs),
		AwaitingPreemption: len(s.pending),
		GuaranteedUnits:    len(s.units),
		UnplacedUnits:      s.unplacedUnits,
		FreeAccelerators:   s.free.Free().Accelerators,
		LargestWholeGang:   s.free.LargestWholeWorkerGang(),
		OutOfService:       s.outOfService,
	}
	for _, u := range s.units {
		if u.claimedBy != "" {
			v.ClaimedUnits++
		}
	}
	return v
}
