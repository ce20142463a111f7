package runner

import (
	"context"
	"time"

	"hemlockhinge/fence"
	"hemlockhinge/wire"
)

// reportLoop sends the status to the scheduler after each change, and regularly while
// tasks run, until c ends.
func (r *Runner) reportLoop(c context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	var sent uint64
	for {
		select {
		case <-c.Done():
			return
		case <-r.wakeReport:
		case <-t.C:
		}
		r.mu.Lock()
		p, seq := r.peer, r.statusSeq
		busy := len(r.ledger.Runs()) > 0
		if p == nil || (seq == sent && !busy) {
			r.mu.Unlock()
			continue
		}
		if seq == sent {
			r.statusSeq++
		}
		m := r.status()
		sent = r.statusSeq
		r.mu.Unlock()
		if err := p.Conn().Send(m); err != nil {
			p.Close()
		}
	}
}

// status returns the full status of the worker and its runs. The caller holds r.mu.
func (r *Runner) status() *wire.AgentStatus {
	s := &wire.AgentStatus{
		Seq:     r.statusSeq,
		Node:    r.settings.Node,
		Settled: r.fenced && !r.ledger.Truncated(),
		Worker:  r.workerNow(),
		WallMS:  r.ports.WallClock().UnixMilli(),
		Vacant:  r.leasesExpired,
		AgentMS: r.clockMS(),

		ListedMS: r.listedAt.Sub(r.clockStart).Milliseconds(),

		Unregistered: !r.registered,
	}
	for _, v := range r.ledger.Runs() {
		s.Runs = append(s.Runs, wire.RunState{
			Task:      v.Task.String(),
			Attempt:   v.Attempt,
			Saved:     v.Checkpoint,
			Percent:   v.ProgressPercent,
			Uncertain: v.Uncertain(),
		})
	}
	s.Ends = r.crashEnds()
	for _, e := range r.ledger.Ends() {
		s.Ends = append(s.Ends, wire.EndState{
			N:       e.Number,
			Task:    e.Task.String(),
			Attempt: e.Attempt,
			How:     string(e.Outcome),
			Saved:   e.Checkpoint,
		})
	}
	return s
}

// workerNow returns what the worker reported about itself, with the time for which it still
// stays counted from now. The caller holds r.mu.
func (r *Runner) workerNow() wire.WorkerInfo {
	w := r.worker
	w.LeavesMS = max(w.LeavesMS-time.Since(r.heartbeatAt).Milliseconds(), 0)
	return w
}

// Dump returns the state of the runner for the operators' debug interface.
func (r *Runner) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return struct {
		Status    *wire.AgentStatus `json:"standing"`
		Leader    string            `json:"leader"`
		Epoch     uint64            `json:"epoch"`
		ContactMS int64             `json:"contact_ms_ago"`
		Token     fence.Token       `json:"token"`
	}{r.status(), r.session.Leader, r.session.Epoch, r.ports.Clock.Since(r.schedulerContact).Milliseconds(), r.ledger.Token()}
}
