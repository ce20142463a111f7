package sched

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"hemlockhinge/pack"
)

// shadow is a place kept in the future for a job that finds no room now.
type shadow struct {
	start time.Time
	at    []int
	size  pack.Size
}

// short reports whether work that ends by the given time delays no shadow.
func (p *pass) short(end time.Time) bool {
	for _, h := range p.shadows {
		if end.After(h.start) {
			return false
		}
	}
	return true
}

// blocked records that a job waits. It has others make room when that costs
// little; otherwise it gives the job a shadow if there are few. Work that
// would not end before the shadow begins must then leave room for it.
func (s *State) blocked(p *pass, j Job) {
	if len(p.shadows) >= maxShadows {
		return
	}
	w := s.waits[j.ID]
	if w == nil {
		w = &wait{
			since: s.now,
		}
		s.waits[j.ID] = w
	}
	if s.makeRoom(j, w) {
		p.far.Take(s.holds[j.ID].at, j.Shape.Size)
		return
	}
	h, after, ok := s.earliest(p, j)
	if !ok {
		return
	}
	if w.promise.IsZero() || h.start.Before(w.promise) {
		w.promise = h.start
	}
	p.far.Lower(after)
	p.shadows = append(p.shadows, h)
}

// overdue reports whether a job has waited beyond the start first reckoned for
// it, or for long, since the reckoning may be far off.
func (s *State) overdue(w *wait) bool {
	if s.now.Sub(w.since) > overdueMost {
		return true
	}
	return !w.promise.IsZero() && s.now.After(w.promise.Add(overdueSlack))
}

// makeRoom lets others checkpoint and give way to a job that has waited. Small
// runs may be moved, since they find another place soon. Once the job is
// overdue, so must those that have overtaken it, however wrong the run times
// were that let them pass; that bounds what overtaking costs.
func (s *State) makeRoom(j Job, w *wait) bool {
	if s.now.Sub(w.since) < moveSlack || s.now.Sub(w.tried) < moveSlack {
		return false
	}
	w.tried = s.now
	o := s.overdue(w)
	most := size(&run{Job: j}) / smallPart
	v := slices.DeleteFunc(s.victims(j, true), func(x victim) bool {
		r := x.run
		if r.class.Priority < s.priority(j) || !r.began {
			return true
		}
		passed := o && overtook(r, j, w)
		small := size(r) <= most && r.Moves < maxMoves
		return !passed && !small
	})
	at, out, ok := s.evict(j.Shape, v, s.avoid(j))
	if !ok || !s.worthIt(j, w, out, o) {
		return false
	}
	s.holdFor(j, at, nil, nil, out, "room for job "+j.ID)
	return true
}

// overtook reports whether a run belongs to a younger job that started while
// this one waited, or that runs though this one had to give way before.
func overtook(r *run, j Job, w *wait) bool {
	return r.Created.After(j.Created) && (j.Moves > 0 || !r.started.Before(w.since))
}

// worthIt bounds what is moved for a job, beside those that overtook it.
func (s *State) worthIt(j Job, w *wait, out []*run, overdue bool) bool {
	moved := 0.0
	for _, r := range out {
		if overdue && overtook(r, j, w) {
			continue
		}
		moved += size(r)
	}
	return moved <= size(&run{Job: j})/smallPart
}

// earliest finds when and where a job fits beside the earlier shadows, if runs
// end as estimated, and the capacity that is left then.
func (s *State) earliest(p *pass, j Job) (shadow, *pack.Grid, bool) {
	if p.ending == nil {
		p.ending = s.byEnd()
	}
	k := s.avoid(j)
	n := sort.Search(len(p.ending)+1, func(n int) bool {
		_, ok := s.freed(p, n).Place(j.Shape, k)
		return ok
	})
	if n > len(p.ending) {
		return shadow{}, nil, false
	}
	g := s.freed(p, n)
	at, ok := g.Place(j.Shape, k)
	if !ok {
		return shadow{}, nil, false
	}
	h := shadow{
		start: s.now,
		at:    at,
		size:  j.Shape.Size,
	}
	if n > 0 {
		h.start = s.now.Add(s.learn.left(p.ending[n-1], s.now))
	}
	g.Take(at, h.size)
	return h, g, true
}

// byEnd lists the runs in the order in which they are expected to end.
func (s *State) byEnd() []*run {
	l := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *run) int {
		if c := cmp.Compare(s.learn.left(a, s.now), s.learn.left(b, s.now)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return l
}

// freed returns the capacity beside the shadows once the first n runs have
// ended.
func (s *State) freed(p *pass, n int) *pack.Grid {
	g := s.grid.Clone()
	for _, r := range p.ending[:n] {
		g.Give(r.at, r.Shape.Size)
	}
	for _, h := range p.shadows {
		g.Take(h.at, h.size)
	}
	return g
}
