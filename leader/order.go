package leader

import (
	"cmp"
	"slices"
	"time"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/policy"
)

// Weights of the order and of what a stop costs.
const (
	// classWeight sets the classes apart in a rank, in revisions of the store.
	classWeight = 1e12
	// acceleratorCores is what an accelerator counts in cores.
	acceleratorCores = 8
	milliCores       = 1000
	// restoreTime is lost when a run resumes from its checkpoint.
	restoreTime = 0.6
	// evictionCost raises the cost of a job's stop with each one before.
	evictionCost = 0.5
)

// rank orders the units of jobs: claims first, then by the class of the queue,
// then by age.
func (t *term) rank(j *job, q *policy.Queue) float64 {
	r := classWeight*float64(q.Priority+1) + float64(j.revision)
	if j.claim {
		r -= classWeight
	}
	return r
}

// objective is how long a job may take to be in time, by its estimates.
func objective(j *graph.Job, q *policy.Queue) time.Duration {
	return time.Duration(q.Slack*float64(j.Chain())) + q.Target
}

// learnWeight is the weight of the newest run time in the mean.
const learnWeight = 0.2

// learn takes the time of a run that is done into its queue's mean.
func (t *term) learn(j *job, d time.Duration) {
	m := t.learnt[j.Queue]
	if m == 0 {
		m = d
	}
	t.learnt[j.Queue] = m + time.Duration(learnWeight*float64(d-m))
}

// accelerators returns the most that one step of an occurrence takes at a time.
func accelerators(j *graph.Job) int {
	n := 0
	for _, s := range j.Steps {
		n = max(n, s.Count*s.Size.Accelerators)
	}
	return n
}

// markClaims finds the urgent jobs that are within their customer's guarantee:
// the oldest ones that fit into it together.
func (t *term) markClaims() {
	o := t.l.current()
	if o.Config == nil {
		return
	}
	var l []*job
	for _, j := range t.jobs {
		j.claim = false
		if q := o.Config.Queue(j.Queue); q != nil && q.Priority == 0 && j.live() {
			l = append(l, j)
		}
	}
	slices.SortFunc(l, func(a, b *job) int { return cmp.Compare(a.revision, b.revision) })
	used := map[string]int{}
	for _, j := range l {
		n := accelerators(j.Job)
		if used[j.Customer]+n > o.Config.Guaranteed(j.Customer) {
			continue
		}
		used[j.Customer] += n
		j.claim = true
	}
}

// groups returns what runs, as alloc sees it, and the runs of each group. Coming
// of the workers is set by the groups that are stopping.
func (t *term) groups(w []alloc.Worker, at []*member, now time.Time) ([]alloc.Group, [][]*run) {
	place := map[*member]int{}
	for i, m := range at {
		place[m] = i
	}
	var g []alloc.Group
	var runs [][]*run
	gangs := map[graph.Task]int{}
	for _, j := range t.jobs {
		for k, r := range j.runs {
			i := place[r.at]
			if r.halting || !j.live() {
				w[i].Coming = w[i].Coming.Add(r.size)
				continue
			}
			if r.phase != running {
				continue
			}
			s := &j.Steps[k.Step]
			key := k
			n, known := -1, false
			if s.Gang {
				key.Index = 0
				n, known = lookup(gangs, key)
			}
			if !known {
				n = len(g)
				gangs[key] = n
				q := t.queue(j)
				g = append(g, alloc.Group{
					Job:      j.ID,
					Key:      key,
					Parts:    map[int]graph.Size{},
					Urgent:   q != nil && q.Priority == 0,
					Borrowed: !j.claim,
				})
				runs = append(runs, nil)
			}
			g[n].Parts[i] = g[n].Parts[i].Add(r.size)
			g[n].Cost += stopCost(j, s, r, now)
			runs[n] = append(runs[n], r)
		}
	}
	return g, runs
}

func lookup(m map[graph.Task]int, k graph.Task) (int, bool) {
	n, ok := m[k]
	return n, ok
}

// stopCost is the work in core-seconds that a stop of a run throws away.
func stopCost(j *job, s *graph.Step, r *run, now time.Time) float64 {
	lost := now.Sub(r.begun).Seconds()
	if s.Checkpoints {
		lost = restoreTime
	}
	return lost * weight(r.size) * (1 + evictionCost*float64(j.evicted))
}

// weight is what a size counts, in cores.
func weight(z graph.Size) float64 {
	return float64(z.MilliCPU)/milliCores + acceleratorCores*float64(z.Accelerators)
}
