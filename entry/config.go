package entry

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
	"hemlockhinge/pause"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// configID is the id of the record that holds the operators' objects.
const configID = "objects"

// maxConfigBytes bounds the size of the objects' text before compression.
const maxConfigBytes = 8 << 20

// configDoc is the record of the operators' objects in the store.
type configDoc struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text_gzip"`
}

// config is the version of the operators' objects that this entry applies.
type config struct {
	version uint64
	text    []byte
	// compressed is text as it is stored.
	compressed []byte
	objects    *conf.Objects
	// unitsByDomain is the assignment of guaranteed units to failure domains.
	unitsByDomain map[string][]conf.Unit
	// fitCache holds results of fits.
	fitCache map[fitCacheKey]bool
	// loaded means that the store has been read, even if it held no objects.
	loaded bool
	// confirmedAt is the time of the last list or watch of the store.
	confirmedAt time.Time
}

// fitCacheKey is the arguments of a call of fits.
type fitCacheKey struct {
	domain string
	shape  pack.Shape
}

// maxFitCacheEntries is the size at which the cache of fits is cleared.
const maxFitCacheEntries = 10_000

// fits reports whether a failure domain's declared capacity can hold a shape. Results
// are cached. The caller holds the entry's mu.
func (c *config) fits(d conf.FailureDomain, z pack.Shape) bool {
	k := fitCacheKey{
		domain: d.Name,
		shape:  z,
	}
	v, ok := c.fitCache[k]
	if !ok {
		if c.fitCache == nil || len(c.fitCache) >= maxFitCacheEntries {
			c.fitCache = map[fitCacheKey]bool{}
		}
		v = d.Grid().FitsWhenEmpty(z)
		c.fitCache[k] = v
	}
	return v
}

func compress(b []byte) ([]byte, error) {
	var z bytes.Buffer
	w := gzip.NewWriter(&z)
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return z.Bytes(), nil
}

func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	t, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err == nil && len(t) > maxConfigBytes {
		err = fmt.Errorf("objects exceed %d bytes", maxConfigBytes)
	}
	return t, err
}

// watchConfig applies each new version of the objects in the store.
func (e *Entry) watchConfig(c context.Context) {
	f := func(l []store.Record[configDoc]) {
		for _, r := range l {
			if err := e.applyConfig(r); err != nil {
				e.ports.Log.WithError(err).Error("config_not_applied")
			}
		}
		e.mu.Lock()
		e.config.loaded = true
		e.config.confirmedAt = time.Now()
		e.mu.Unlock()
	}
	listAndWatch(c, e, e.configs, f, f)
}

// applyConfig applies a version of the objects unless the same or a later version has
// been applied.
func (e *Entry) applyConfig(r store.Record[configDoc]) error {
	e.mu.Lock()
	outdated := r.Deleted || r.Body.Version <= e.config.version
	e.mu.Unlock()
	if outdated {
		return nil
	}
	t, err := decompress(r.Body.Text)
	if err != nil {
		return fmt.Errorf("decompress version %d: %w", r.Body.Version, err)
	}
	o, err := conf.ParseObjects(t)
	if err != nil {
		return fmt.Errorf("parse version %d: %w", r.Body.Version, err)
	}
	e.mu.Lock()
	if r.Body.Version <= e.config.version {
		e.mu.Unlock()
		return nil
	}
	e.config.version = r.Body.Version
	e.config.text = t
	if !o.SameGuarantees(e.config.objects) {
		e.config.unitsByDomain, _ = o.Assign(nil)
		e.config.fitCache = nil
	}
	e.config.objects = o
	e.config.compressed = r.Body.Text
	e.config.loaded = true
	for _, s := range e.schedulers {
		s.triggerDecision()
	}
	e.mu.Unlock()
	e.meter.configVersion.Set(float64(r.Body.Version))
	e.ports.Log.WithField("version", r.Body.Version).Info("config_applied")
	e.dispatcher.setOutOfService(outOfServiceDomains(o))
	e.pushConfigToAll()
	return nil
}

func outOfServiceDomains(o *conf.Objects) map[string]bool {
	m := map[string]bool{}
	for _, d := range o.FailureDomains {
		if d.OutOfService {
			m[d.Name] = true
		}
	}
	return m
}

// guaranteedUnits returns the guaranteed units that are assigned to a failure domain.
func (e *Entry) guaranteedUnits(domain string) []conf.Unit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.unitsByDomain[domain]
}

// objects returns the current objects and their version.
func (e *Entry) objects() (*conf.Objects, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.objects, e.config.version
}

// readLatestObjects reads the latest version from the store and applies it, so that the
// objects it returns are not older than this call.
func (e *Entry) readLatestObjects(c context.Context) (*conf.Objects, error) {
	r, err := e.configs.Get(c, configID)
	if err != nil {
		return nil, err
	}
	if err := e.applyConfig(r); err != nil {
		return nil, err
	}
	o, _ := e.objects()
	return o, nil
}

// VersionConflictError means that a change was based on a version that is not the
// latest.
type VersionConflictError struct {
	Want uint64
	Have uint64
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("the objects are at version %d, not %d", e.Have, e.Want)
}

// publish checks a new version of the objects and writes it if base is the latest
// version. The error is a *conf.Faults, a *VersionConflictError, or one of the store.
func (e *Entry) publish(c context.Context, text []byte, base uint64, change string) (uint64, error) {
	if _, err := conf.ParseObjects(text); err != nil {
		return 0, err
	}
	z, err := compress(text)
	if err != nil {
		return 0, err
	}
	r, err := e.configs.Get(c, configID)
	var m *store.NotFoundError
	switch {
	case errors.As(err, &m):
		r = store.NewRecord(configID, configDoc{})
	case err != nil:
		return 0, &store.UnavailableError{
			Op:      "get",
			Key:     configID,
			Refused: true,
			Err:     err,
		}
	}
	if r.Body.Version != base {
		return 0, &VersionConflictError{
			Want: base,
			Have: r.Body.Version,
		}
	}
	r.Body = configDoc{
		Version: base + 1,
		Text:    z,
	}
	r, err = e.configs.SwapNonce(c, r, 0, change)
	var f *store.ConflictError
	if errors.As(err, &f) {
		return 0, &VersionConflictError{
			Want: base,
			Have: base + 1,
		}
	}
	if err != nil {
		return 0, err
	}
	return base + 1, e.applyConfig(r)
}

// Each entry regularly asks a few others, chosen at random, for a later version of the
// objects, so that one whose watch of the store is slow does not stay behind.
const (
	syncInterval  = time.Second
	syncPeerCount = 3
)

// syncConfig asks other entries for a later version every syncInterval, until c ends.
func (e *Entry) syncConfig(c context.Context) {
	for pause.For(c, syncInterval) {
		l := e.otherEntries()
		rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] }) //nolint:gosec // load balancing
		for _, v := range l[:min(len(l), syncPeerCount)] {
			e.group.Go(func() { e.syncFrom(c, v) })
		}
	}
}

func (e *Entry) syncFrom(c context.Context, v registration) {
	p, err := e.entryPeer(c, v)
	if err != nil {
		return
	}
	_, n := e.objects()
	r, err := wire.CallFor[*wire.Objects](c, p, &wire.GetObjects{Version: n}, syncInterval)
	if err != nil || len(r.Text) == 0 {
		return
	}
	err = e.applyConfig(store.NewRecord(configID, configDoc{
		Version: r.Version,
		Text:    r.Text,
	}))
	if err != nil {
		e.ports.Log.WithField("from", v.Entry).WithError(err).Error("config_not_applied")
	}
}

// newerObjects returns the applied version, and its text if it is later than the one
// that the other entry has. The caller holds mu.
func (e *Entry) newerObjects(v *wire.GetObjects) *wire.Objects {
	o := &wire.Objects{
		Version: e.config.version,
	}
	if e.config.version > v.Version {
		o.Text = e.config.compressed
	}
	return o
}

// otherEntries returns the registrations of all other entries.
func (e *Entry) otherEntries() []registration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var l []registration
	for id, v := range e.entries {
		if id != e.settings.ID {
			l = append(l, v)
		}
	}
	return l
}

// agentConfig returns the configuration for agents of a failure domain. The caller
// holds mu.
func (e *Entry) agentConfig(domain string) wire.AgentConfig {
	d, _ := e.config.objects.FailureDomain(domain)
	return wire.AgentConfig{
		Version:      e.config.version,
		OutOfService: d.OutOfService,
		Entries:      e.directory(),
	}
}
