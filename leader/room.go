package leader

import (
	"hemlockhinge/alloc"
	"hemlockhinge/graph"
)

// roomPlan holds the agents on whose workers capacity is withheld for a unit until others have
// ended there.
type roomPlan map[*agentState]bool

// keepRoom remembers for which units the last decision made room, and where.
func (t *term) keepRoom(l []alloc.Placement, agents []*agentState) {
	clear(t.room)
	for _, p := range l {
		v := roomPlan{}
		for _, i := range p.At {
			v[agents[i]] = true
		}
		t.room[p.Unit.Tasks[0]] = v
	}
}

// roomFor returns the indexes of the workers on which room was made for the unit that begins with
// a task.
func (l *unitLister) roomFor(k graph.Task) map[int]bool {
	v := l.term.room[k]
	if len(v) == 0 {
		return nil
	}
	at := map[int]bool{}
	for i, m := range l.agents {
		if v[m] {
			at[i] = true
		}
	}
	return at
}
