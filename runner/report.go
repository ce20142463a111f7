package runner

import (
	"context"
	"time"

	"hemlockhinge/fence"
	"hemlockhinge/wire"
)

func (r *Runner) reportLoop(c context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	var sent uint64
	for {
		select {
		case <-c.Done():
			return
		case <-r.news:
		case <-t.C:
		}
		r.mu.Lock()
		p, seq := r.peer, r.seq
		busy := len(r.ledger.Runs()) > 0
		if p == nil || (seq == sent && !busy) {
			r.mu.Unlock()
			continue
		}
		if seq == sent {
			r.seq++
		}
		m := r.standing()
		sent = r.seq
		r.mu.Unlock()
		if err := p.Conn().Send(m); err != nil {
			p.Close()
		}
	}
}

// standing returns all that is known of the worker; r.mu is held.
func (r *Runner) standing() *wire.Standing {
	s := &wire.Standing{
		Seq:     r.seq,
		Node:    r.s.Node,
		Settled: r.settled,
		Worker:  r.facts,
		WallMS:  r.p.Wall().UnixMilli(),
		Vacant:  r.vacant,
		AgentMS: r.clockMS(),
	}
	for _, v := range r.ledger.Runs() {
		s.Runs = append(s.Runs, wire.RunState{
			Task:      v.Task.String(),
			Attempt:   v.Attempt,
			Saved:     v.Saved,
			Percent:   v.Percent,
			Uncertain: v.Uncertain(),
		})
	}
	for _, e := range r.ledger.Ends() {
		s.Ends = append(s.Ends, wire.EndState{
			N:       e.N,
			Task:    e.Task.String(),
			Attempt: e.Attempt,
			How:     string(e.How),
			Saved:   e.Saved,
		})
	}
	return s
}

// Dump returns all that is known of the worker, for operators.
func (r *Runner) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return struct {
		Standing  *wire.Standing `json:"standing"`
		Leader    string         `json:"leader"`
		Epoch     uint64         `json:"epoch"`
		ContactMS int64          `json:"contact_ms_ago"`
		Token     fence.Token    `json:"token"`
	}{r.standing(), r.lead.Leader, r.lead.Epoch, time.Since(r.contact).Milliseconds(), r.ledger.Token()}
}
