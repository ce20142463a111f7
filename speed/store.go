package speed

import "slices"

// Bounds of the stored samples.
const (
	// maxSingles is the number of samples of single tasks kept for each worker. With
	// noise of 0.3, 24 of them leave a standard error of 6%.
	maxSingles = 24
	// maxGangs is the number of gang samples kept for each worker. They are counted
	// separately because they say less of a worker and must not displace single tasks.
	maxGangs = 8
	// maxSamples bounds all samples, and with them the cost of an update.
	maxSamples = 1536
)

// record is a stored sample.
type record struct {
	run    string
	sample Sample
}

// isGang reports whether several workers ran the task.
func (r *record) isGang() bool { return len(r.sample.Workers) > 1 }

// slot counts the samples of one kind at one worker.
type slot struct {
	worker string
	gang   bool
}

// store holds a bounded number of samples. The zero value is ready for use.
type store struct {
	// records are in the order in which their runs were first observed.
	records []*record
	runs    map[string]*record
	counts  map[slot]int
}

// put adds a sample, or replaces that of the same run.
func (s *store) put(run string, v Sample) {
	if s.runs == nil {
		s.runs = make(map[string]*record)
		s.counts = make(map[slot]int)
	}
	if r := s.runs[run]; r != nil && slices.Equal(r.sample.Workers, v.Workers) {
		r.sample = v
		return
	}
	s.remove(s.runs[run])
	r := &record{
		run:    run,
		sample: v,
	}
	s.makeRoom(r)
	s.records = append(s.records, r)
	s.runs[run] = r
	s.count(r, 1)
}

// makeRoom removes the oldest samples that a new one would push over a bound.
func (s *store) makeRoom(r *record) {
	limit := maxSingles
	if r.isGang() {
		limit = maxGangs
	}
	for _, w := range r.sample.Workers {
		if s.counts[slot{worker: w, gang: r.isGang()}] >= limit {
			s.remove(s.oldest(w, r.isGang()))
		}
	}
	if len(s.records) >= maxSamples {
		s.remove(s.records[0])
	}
}

// oldest returns the oldest sample of a kind at a worker.
func (s *store) oldest(worker string, gang bool) *record {
	for _, r := range s.records {
		if r.isGang() == gang && slices.Contains(r.sample.Workers, worker) {
			return r
		}
	}
	return nil
}

// forget removes all samples in which a worker took part.
func (s *store) forget(worker string) {
	for _, r := range slices.Clone(s.records) {
		if slices.Contains(r.sample.Workers, worker) {
			s.remove(r)
		}
	}
}

// remove removes a sample; nil is ignored.
func (s *store) remove(r *record) {
	if r == nil {
		return
	}
	s.records = slices.DeleteFunc(s.records, func(o *record) bool { return o == r })
	delete(s.runs, r.run)
	s.count(r, -1)
}

// count adds n to the counts of a sample's workers.
func (s *store) count(r *record, n int) {
	for _, w := range r.sample.Workers {
		k := slot{
			worker: w,
			gang:   r.isGang(),
		}
		if s.counts[k] += n; s.counts[k] == 0 {
			delete(s.counts, k)
		}
	}
}
