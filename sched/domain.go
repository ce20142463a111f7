package sched

import "hemlockhinge/pack"

// Candidate is a failure domain that could take a job.
type Candidate struct {
	Name string
	// Unclaimed says that the job's customer has a guaranteed unit free there
	// that fits the job.
	Unclaimed bool
	// Demand is what the jobs that run or wait there ask for.
	Demand   pack.Size
	Capacity pack.Size
}

// Limits of the choice between failure domains.
const (
	packedShare = 0.95
	moveGain    = 0
)

// share is how much of the capacity a demand asks for.
func share(z, of pack.Size) float64 {
	return max(part(z.Accelerators, of.Accelerators), part(z.Cores, of.Cores), part(z.Memory, of.Memory))
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// Choose picks a failure domain for a job. A domain with a guaranteed unit for
// it comes first. Otherwise a small job goes where it fills what others have
// begun, so that whole racks stay whole elsewhere; when all are full, it goes
// where least is asked for.
func Choose(z pack.Size, l []Candidate) (string, bool) {
	best := -1
	for i := range l {
		if best < 0 || better(z, l[i], l[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return l[best].Name, true
}

func better(z pack.Size, a, b Candidate) bool {
	if a.Unclaimed != b.Unclaimed {
		return a.Unclaimed
	}
	x, y := share(a.Demand.Add(z), a.Capacity), share(b.Demand.Add(z), b.Capacity)
	if (x <= packedShare) != (y <= packedShare) {
		return x <= packedShare
	}
	if x <= packedShare {
		return x > y
	}
	return x < y
}

// WorthMoving reports whether a job that waits in one failure domain should
// move to another: less must be asked for there, also with the job.
func WorthMoving(z pack.Size, from, to Candidate) bool {
	if from.Unclaimed {
		return false
	}
	return share(to.Demand.Add(z), to.Capacity)+moveGain <= share(from.Demand, from.Capacity)
}
