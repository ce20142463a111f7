package sched

import "hemlockhinge/pack"

// Candidate is a failure domain that could take a job.
type Candidate struct {
	Name string
	// HasUnclaimedUnit means that an unclaimed guaranteed unit of the job's customer
	// there fits the job.
	HasUnclaimedUnit bool
	// Demand is the total size of the jobs that run or wait there.
	Demand   pack.Size
	Capacity pack.Size
}

// Parameters of the choice between failure domains.
const (
	// packingLimit is the ratio of demand to capacity up to which failure
	// domains are filled one after another; beyond it, load is balanced.
	packingLimit = 0.95
	// minMoveGain is by how much the ratio of demand to capacity must be lower
	// in another failure domain for a waiting job to move there.
	minMoveGain = 0
)

// demandRatio is the ratio of demand z to capacity, for the scarcest resource.
func demandRatio(z, of pack.Size) float64 {
	return max(ratio(z.Accelerators, of.Accelerators), ratio(z.Cores, of.Cores), ratio(z.MemoryGiB, of.MemoryGiB))
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// ChooseDomain picks a failure domain for a job. A domain with an unclaimed guaranteed
// unit for it comes first. Otherwise the job goes to the domain with the highest
// ratio of demand to capacity, the job included, that is within packingLimit, so
// that whole racks stay free in the others. If none is, it goes to the domain with
// the lowest ratio.
func ChooseDomain(z pack.Size, l []Candidate) (string, bool) {
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
	if a.HasUnclaimedUnit != b.HasUnclaimedUnit {
		return a.HasUnclaimedUnit
	}
	x, y := demandRatio(a.Demand.Add(z), a.Capacity), demandRatio(b.Demand.Add(z), b.Capacity)
	if (x <= packingLimit) != (y <= packingLimit) {
		return x <= packingLimit
	}
	if x <= packingLimit {
		return x > y
	}
	return x < y
}

// ShouldMove reports whether a job that waits in one failure domain should move
// to another: the ratio of demand to capacity, with the job included, must be no
// higher there. A job with an unclaimed guaranteed unit stays.
func ShouldMove(z pack.Size, from, to Candidate) bool {
	if from.HasUnclaimedUnit {
		return false
	}
	return demandRatio(to.Demand.Add(z), to.Capacity)+minMoveGain <= demandRatio(from.Demand, from.Capacity)
}
