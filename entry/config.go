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

// configID is the one key that holds the operators' objects.
const configID = "objects"

// maxConfigText bounds the objects' text before compression, in bytes.
const maxConfigText = 8 << 20

// configDoc is the operators' objects as the store holds them.
type configDoc struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text_gzip"`
}

// config is the version in force at this entry.
type config struct {
	version   uint64
	text      []byte
	packed    []byte
	objects   *conf.Objects
	units     map[string][]conf.Unit
	fitting   map[fitKey]bool
	read      bool
	confirmed time.Time
}

// fitKey names a question that is asked again and again: whether a failure
// domain's declared capacity can hold a shape.
type fitKey struct {
	domain string
	shape  pack.Shape
}

// maxFitting bounds the answers that are kept.
const maxFitting = 10_000

// fits reports whether a failure domain's declared capacity can hold a shape.
// The caller holds the entry's mu.
func (c *config) fits(d conf.FailureDomain, z pack.Shape) bool {
	k := fitKey{
		domain: d.Name,
		shape:  z,
	}
	v, ok := c.fitting[k]
	if !ok {
		if c.fitting == nil || len(c.fitting) >= maxFitting {
			c.fitting = map[fitKey]bool{}
		}
		v = d.Grid().FitsWhenEmpty(z)
		c.fitting[k] = v
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

func expand(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	t, err := io.ReadAll(io.LimitReader(r, maxConfigText+1))
	if err == nil && len(t) > maxConfigText {
		err = fmt.Errorf("objects exceed %d bytes", maxConfigText)
	}
	return t, err
}

// watchConfig follows the objects' key.
func (e *Entry) watchConfig(c context.Context) {
	f := func(l []store.Record[configDoc]) {
		for _, r := range l {
			if err := e.apply(r); err != nil {
				e.ports.Log.WithError(err).Error("config_not_applied")
			}
		}
		e.mu.Lock()
		e.config.read = true
		e.config.confirmed = time.Now()
		e.mu.Unlock()
	}
	follow(c, e, e.configs, f, f)
}

// apply puts a version in force unless a higher one is already.
func (e *Entry) apply(r store.Record[configDoc]) error {
	e.mu.Lock()
	old := r.Deleted || r.Body.Version <= e.config.version
	e.mu.Unlock()
	if old {
		return nil
	}
	t, err := expand(r.Body.Text)
	if err != nil {
		return fmt.Errorf("expand version %d: %w", r.Body.Version, err)
	}
	o, err := conf.ParseObjects(t)
	if err != nil {
		return fmt.Errorf("read version %d: %w", r.Body.Version, err)
	}
	e.mu.Lock()
	if r.Body.Version <= e.config.version {
		e.mu.Unlock()
		return nil
	}
	e.config.version = r.Body.Version
	e.config.text = t
	if !o.SameGuarantees(e.config.objects) {
		e.config.units, _ = o.Assign(nil)
		e.config.fitting = nil
	}
	e.config.objects = o
	e.config.packed = r.Body.Text
	e.config.read = true
	for _, s := range e.scheds {
		s.poke()
	}
	e.mu.Unlock()
	e.meter.version.Set(float64(r.Body.Version))
	e.ports.Log.WithField("version", r.Body.Version).Info("config_in_force")
	e.gate.setOut(outOf(o))
	e.pushAll()
	return nil
}

func outOf(o *conf.Objects) map[string]bool {
	m := map[string]bool{}
	for _, d := range o.FailureDomains {
		if d.OutOfService {
			m[d.Name] = true
		}
	}
	return m
}

// units returns the guaranteed units that are assigned to a failure domain.
func (e *Entry) units(domain string) []conf.Unit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.units[domain]
}

// objects returns the objects in force and their version.
func (e *Entry) objects() (*conf.Objects, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.objects, e.config.version
}

// confirm reads the head version from the store, so that what is decided next
// rests on objects that are not older than this call.
func (e *Entry) confirm(c context.Context) (*conf.Objects, error) {
	r, err := e.configs.Get(c, configID)
	if err != nil {
		return nil, err
	}
	if err := e.apply(r); err != nil {
		return nil, err
	}
	o, _ := e.objects()
	return o, nil
}

// VersionError says that a change was made on another version than the head.
type VersionError struct {
	Want uint64
	Have uint64
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("the objects are at version %d, not %d", e.Have, e.Want)
}

// publish checks and writes a new version on top of the one named. The error
// is a *conf.Faults, a *VersionError, or one of the store's.
func (e *Entry) publish(c context.Context, text []byte, on uint64, change string) (uint64, error) {
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
	if r.Body.Version != on {
		return 0, &VersionError{
			Want: on,
			Have: r.Body.Version,
		}
	}
	r.Body = configDoc{
		Version: on + 1,
		Text:    z,
	}
	r, err = e.configs.SwapNonce(c, r, 0, change)
	var f *store.ConflictError
	if errors.As(err, &f) {
		return 0, &VersionError{
			Want: on,
			Have: on + 1,
		}
	}
	if err != nil {
		return 0, err
	}
	return on + 1, e.apply(r)
}

// Entries ask one another for a higher version, so that one whose watch of the
// store is late does not stay behind: each a few others, drawn by chance.
const (
	syncEvery  = time.Second
	syncOthers = 3
)

// syncConfig asks other entries for a higher version, again and again.
func (e *Entry) syncConfig(c context.Context) {
	for pause.For(c, syncEvery) {
		l := e.others()
		rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] }) //nolint:gosec // spreads questions
		for _, v := range l[:min(len(l), syncOthers)] {
			e.group.Go(func() { e.syncWith(c, v) })
		}
	}
}

func (e *Entry) syncWith(c context.Context, v live) {
	p, err := e.peer(c, v)
	if err != nil {
		return
	}
	_, n := e.objects()
	r, err := wire.CallFor[*wire.Objects](c, p, &wire.GetObjects{Version: n}, syncEvery)
	if err != nil || len(r.Text) == 0 {
		return
	}
	err = e.apply(store.NewRecord(configID, configDoc{
		Version: r.Version,
		Text:    r.Text,
	}))
	if err != nil {
		e.ports.Log.WithField("from", v.Entry).WithError(err).Error("config_not_applied")
	}
}

// newer answers another entry's question. The caller holds mu.
func (e *Entry) newer(v *wire.GetObjects) *wire.Objects {
	o := &wire.Objects{
		Version: e.config.version,
	}
	if e.config.version > v.Version {
		o.Text = e.config.packed
	}
	return o
}

// others lists the other entries that are registered.
func (e *Entry) others() []live {
	e.mu.Lock()
	defer e.mu.Unlock()
	var l []live
	for id, v := range e.entries {
		if id != e.set.ID {
			l = append(l, v)
		}
	}
	return l
}

// policy is what agents of a failure domain need. The caller holds mu.
func (e *Entry) policy(domain string) wire.AgentConfig {
	d, _ := e.config.objects.FailureDomain(domain)
	return wire.AgentConfig{
		Version:      e.config.version,
		OutOfService: d.OutOfService,
		Entries:      e.directory(),
	}
}
