package alloc

// maxOutlierShare is the largest share of a service's workers that may be set aside as
// outliers. If more of them stand out, the measure is wrong rather than the workers.
const maxOutlierShare = 0.5

// outliers says which units may be placed on the outliers among the workers.
type outliers struct {
	// setAside holds the services that set outliers aside.
	setAside map[string]bool
	// needed caches, by the requirements of units, whether they fit nowhere else.
	needed map[requirements]bool
}

// newOutliers clears the mark of the outliers of services that have too many of them.
func newOutliers(w []Worker) outliers {
	workers, marked := map[string]int{}, map[string]int{}
	for i := range w {
		if w[i].Unschedulable {
			continue
		}
		workers[w[i].Service]++
		if w[i].Outlier {
			marked[w[i].Service]++
		}
	}
	o := outliers{
		setAside: map[string]bool{},
		needed:   map[requirements]bool{},
	}
	for s, n := range marked {
		o.setAside[s] = float64(n) <= maxOutlierShare*float64(workers[s])
	}
	for i := range w {
		w[i].Outlier = w[i].Outlier && o.setAside[w[i].Service]
	}
	return o
}

// admitted reports whether a unit may be placed on outliers: its job is starved, or no other
// workers could hold the unit even if nothing ran there.
func (o *outliers) admitted(w []Worker, u *Unit, starved bool) bool {
	if starved || !o.setAside[u.Service] {
		return true
	}
	if u.boundToWorkers() {
		return !fitsWithoutOutliers(w, u)
	}
	z := requirementsOf(u)
	needed, known := o.needed[z]
	if !known {
		needed = !fitsWithoutOutliers(w, u)
		o.needed[z] = needed
	}
	return needed
}

// fitsWithoutOutliers reports whether workers that are no outliers could hold the unit if
// nothing but other tasks of its step ran there.
func fitsWithoutOutliers(w []Worker, u *Unit) bool {
	n := 0
	for i := range w {
		if eligible(w, i, u) {
			n += taskCapacity(w[i].Total, u, u.RunningPerWorker[i])
		}
	}
	return n >= len(u.Tasks)
}
