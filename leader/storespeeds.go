package leader

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/codec"
	"hemlockhinge/pause"
	"hemlockhinge/speed"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

const (
	// storeSpeedsInterval is the time between two writes of the speeds: what was learnt since
	// the last one is lost with the scheduler.
	storeSpeedsInterval = 3 * time.Second
	// keptPerWorker bounds the stored speeds to that many for each present worker: those of
	// absent ones are of use only if they come back.
	keptPerWorker = 2
)

// storedSpeed is the speed of a worker in the store, and the machine that it was estimated on.
type storedSpeed struct {
	Machine     string  `msgpack:"m"`
	Factor      float64 `msgpack:"f"`
	Uncertainty float64 `msgpack:"u"`
}

func (s storedSpeed) speed() speed.Speed {
	return speed.Speed{
		Factor:      s.Factor,
		Uncertainty: s.Uncertainty,
	}
}

// machineOf identifies the kind of machine that a worker runs on.
func machineOf(w wire.WorkerInfo) string {
	return fmt.Sprint(w.Service, " ", strings.Join(w.Labels, ","), " ", w.Capacity)
}

// storeSpeedsLoop restores the speeds that earlier terms have stored, and stores those of uneven
// services regularly until c ends. Only speeds of uneven services are stored, so a service with
// stored speeds is uneven.
func (t *term) storeSpeedsLoop(c context.Context) {
	for !t.restoreSpeeds(c) {
		if !pause.For(c, restoreRetryDelay) {
			return
		}
	}
	for pause.For(c, storeSpeedsInterval) {
		t.storeSpeeds(c)
	}
}

// restoreSpeeds reads the stored speeds, and reports whether the store has answered.
func (t *term) restoreSpeeds(c context.Context) bool {
	i, err := t.leader.ports.Store.Get(c, speedsKey)
	var none *store.NotFoundError
	if errors.As(err, &none) {
		return true
	}
	if err != nil {
		return false
	}
	var l map[string]storedSpeed
	if err := codec.Unmarshal(i.Value, &l); err != nil {
		t.log.WithError(err).Warn("stored_speeds_invalid")
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storedSpeeds = l
	for a, m := range t.agents {
		if m.worker.Born != 0 {
			t.restoreSpeed(a, m.worker)
		}
	}
	t.log.WithField("workers", len(l)).Info("speeds_restored")
	return true
}

// restoreSpeed gives the estimator the stored speed of a worker, if that is of the same machine.
func (t *term) restoreSpeed(agent string, w wire.WorkerInfo) {
	o, ok := t.storedSpeeds[agent]
	if !ok || o.Machine != machineOf(w) {
		return
	}
	v := t.speedsOf(w.Service)
	v.estimator.Restore(agent, o.speed())
	v.uneven = true
	v.changed = true
}

// storeSpeeds stores the speeds of uneven services, on condition that this term still holds the
// role. A write that failed is repeated by the next call.
func (t *term) storeSpeeds(c context.Context) {
	l := t.speedsToStore()
	if len(l) == 0 {
		return
	}
	b, err := msgpack.Marshal(l)
	if err == nil {
		_, err = t.leader.ports.Store.Commit(c, store.Txn{
			If: []store.Precondition{{
				Key:      roleKey,
				Revision: t.leadership.epoch,
			}},
			Put: []store.Write{{
				Key:   speedsKey,
				Value: b,
			}},
		})
	}
	if err != nil {
		t.log.WithError(err).Info("speeds_not_stored")
		t.mu.Lock()
		t.speedsChanged = true
		t.mu.Unlock()
	}
}

// speedsToStore returns the speeds of the workers of uneven services, or nil if none has changed since
// the last write. Speeds of workers that are gone for now are kept.
func (t *term) speedsToStore() map[string]storedSpeed {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, m := range t.agents {
		if !t.uneven(m.worker.Service) || m.speed.Uncertainty > knownUncertainty {
			continue
		}
		v := storedSpeed{
			Machine:     machineOf(m.worker),
			Factor:      m.speed.Factor,
			Uncertainty: m.speed.Uncertainty,
		}
		if t.storedSpeeds[a] != v {
			if t.storedSpeeds == nil {
				t.storedSpeeds = map[string]storedSpeed{}
			}
			t.storedSpeeds[a] = v
			t.speedsChanged = true
		}
	}
	if !t.speedsChanged {
		return nil
	}
	t.speedsChanged = false
	if len(t.storedSpeeds) > keptPerWorker*len(t.agents) {
		maps.DeleteFunc(t.storedSpeeds, func(a string, _ storedSpeed) bool { return t.agents[a] == nil })
	}
	return maps.Clone(t.storedSpeeds)
}
