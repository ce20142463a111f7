package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/leader"
	"hemlockhinge/pause"
	"hemlockhinge/policy"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Timeouts of a query to the scheduler in another process.
const (
	queryTimeout = 400 * time.Millisecond
	dialTimeout  = 300 * time.Millisecond
)

var errNoScheduler = errors.New("no scheduler is known yet")

// schedulerClient queries the scheduler in another process over a single
// connection, which is dialed on first use and again when the scheduler has
// moved.
type schedulerClient struct {
	net  wire.Network
	role *leader.Role

	group pause.Group
	mu    sync.Mutex
	addr  string
	peer  *wire.Peer
}

// close closes the connection and waits for its goroutines.
func (q *schedulerClient) close() {
	q.group.Refuse()
	q.mu.Lock()
	if q.peer != nil {
		q.peer.Close()
		q.peer = nil
	}
	q.mu.Unlock()
	q.group.Close()
}

// connect returns a connection to the last known scheduler.
func (q *schedulerClient) connect(c context.Context) (*wire.Peer, error) {
	_, addr := q.role.Holder()
	if addr == "" {
		return nil, errNoScheduler
	}
	if p := q.current(addr); p != nil {
		return p, nil
	}
	c, cancel := context.WithTimeout(c, dialTimeout)
	defer cancel()
	n, err := q.net.Dial(c, addr)
	if err != nil {
		return nil, err
	}
	p := wire.NewPeer(n, wire.RefuseCalls)
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.group.Go(func() { _ = p.Run(context.Background()) }) {
		p.Close()
		return nil, pause.ErrClosed
	}
	if q.peer != nil {
		q.peer.Close()
	}
	q.peer = p
	q.addr = addr
	return p, nil
}

// current returns the present connection if it leads to addr and has not ended,
// or nil.
func (q *schedulerClient) current(addr string) *wire.Peer {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.peer == nil || q.addr != addr {
		return nil
	}
	select {
	case <-q.peer.Done():
		return nil
	default:
		return q.peer
	}
}

// call sends m and returns the answer. It closes a connection that does not
// answer in time, since the other end may never answer again.
func call[R wire.Message](c context.Context, q *schedulerClient, m wire.Message) (R, error) {
	var z R
	p, err := q.connect(c)
	if err != nil {
		return z, err
	}
	r, err := wire.CallFor[R](c, p, m, queryTimeout)
	if errors.Is(err, context.DeadlineExceeded) {
		p.Close()
	}
	return r, err
}

func (q *schedulerClient) pending(c context.Context, queue string) (int, error) {
	r, err := call[*wire.PendingCount](c, q, &wire.GetPendingCount{
		Queue: queue,
	})
	if err != nil {
		return 0, err
	}
	return r.Count, nil
}

// notifyScheduler tells the scheduler of a successful write: of a job, or of the
// cancellation of cancelledJob. It does not wait for the reply, since the scheduler's
// watch shows the write too.
func (d *Intake) notifyScheduler(w *write, cancelledJob string) {
	if w.revision == 0 {
		return
	}
	m := &wire.InputWritten{
		Revision:     w.revision,
		CancelledJob: cancelledJob,
	}
	if d.ports.Leader.InputWritten(m) == nil {
		return
	}
	d.scheduler.group.Go(func() {
		if _, err := call[*wire.Ack](context.Background(), &d.scheduler, m); err != nil {
			d.ports.Log.WithError(err).WithField("key", w.key).Info("scheduler_not_notified")
		}
	})
}

// queryJob returns what is known of a job. It asks the scheduler, and reads the store when the
// scheduler does not know the job or cannot be reached. The state of a job that does not exist is
// empty.
func (d *Intake) queryJob(c context.Context, id string) (leader.JobInfo, error) {
	v, err := d.ports.Leader.Job(id)
	if err != nil {
		v, err = d.askScheduler(c, id)
	}
	if err == nil && v.State != "" {
		return v, nil
	}
	return d.storedJob(c, id)
}

// askScheduler asks the scheduler in another process for a job.
func (d *Intake) askScheduler(c context.Context, id string) (leader.JobInfo, error) {
	r, err := call[*wire.JobState](c, &d.scheduler, &wire.GetJobState{
		Job: id,
	})
	if err != nil {
		return leader.JobInfo{}, err
	}
	return leader.JobInfo{
		State: graph.State(r.State),
		Queue: policy.QueueRef{
			Name:   r.Queue,
			Host:   r.Host,
			Prefix: r.Prefix,
		},
		Customer: r.Customer,
		Revision: r.Revision,
	}, nil
}

// storedJob reads what is known of a job from the store. The state of a job that does not exist is
// empty.
func (d *Intake) storedJob(c context.Context, id string) (leader.JobInfo, error) {
	i, err := d.ports.Store.Get(c, leader.JobKey(id))
	var none *store.NotFoundError
	if errors.As(err, &none) {
		return leader.JobInfo{}, nil
	}
	if err != nil {
		return leader.JobInfo{}, err
	}
	j, err := leader.DecodeJob(i.Value)
	if err != nil {
		return leader.JobInfo{}, err
	}
	v := leader.JobInfo{
		Queue:    leader.QueueRefOf(j),
		Customer: j.Customer,
		Revision: i.Revision,
	}
	// The cancellation is read first: a job whose end is not in the store after it ends as cancelled.
	_, err = d.ports.Store.Get(c, leader.CancelKey(id))
	cancelled := err == nil
	if err != nil && !errors.As(err, &none) {
		return leader.JobInfo{}, err
	}
	v.State, err = d.storedProgress(c, id)
	if cancelled && !v.State.Final() {
		v.State = graph.Cancelled
	}
	return v, err
}

// storedProgress returns the state in a job's progress record in the store. A job
// without one is queued.
func (d *Intake) storedProgress(c context.Context, id string) (graph.State, error) {
	i, err := d.ports.Store.Get(c, leader.ProgressKey(id))
	var none *store.NotFoundError
	if errors.As(err, &none) {
		return graph.Queued, nil
	}
	if err != nil {
		return "", err
	}
	p, err := leader.DecodeProgress(i.Value)
	switch {
	case err != nil:
		return "", err
	case p.State == graph.Queued && p.Started:
		return graph.Running, nil
	}
	return p.State, nil
}
