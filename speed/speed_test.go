package speed_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"hemlockhinge/speed"
)

// service generates the run times of a service with hidden speeds.
type service struct {
	*speed.Estimator
	rand   *rand.Rand
	hidden []float64
	steps  int
	runs   int
}

func newService(seed int64, groups ...float64) *service {
	s := &service{
		Estimator: &speed.Estimator{},
		rand:      rand.New(rand.NewSource(seed)),
	}
	for i := range 61 {
		s.hidden = append(s.hidden, groups[i/8%len(groups)])
	}
	return s
}

func id(n int) string { return fmt.Sprintf("w%d", n) }

// step observes n runs of a new step, each on size workers chosen at random, with the
// spreads of estimates and of tasks given in the plan; 40% of them are extrapolated.
func (s *service) step(queue string, estimate, off float64, n, size int) {
	s.steps++
	base := estimate * off * math.Exp((0.5+0.4*s.rand.Float64())*s.rand.NormFloat64())
	if s.rand.Float64() < 0.03 {
		base *= 7
	}
	sigma := 0.15 + 0.15*s.rand.Float64()
	order := s.rand.Perm(len(s.hidden))
	for i := range n {
		v := speed.Sample{
			Step:     fmt.Sprint(s.steps),
			Queue:    queue,
			Estimate: time.Duration(estimate * float64(time.Second)),
			Partial:  s.rand.Float64() < 0.4,
		}
		var d float64
		for _, k := range order[i*size : (i+1)*size] {
			v.Workers = append(v.Workers, id(k))
			d = max(d, base/s.hidden[k]*math.Exp(sigma*s.rand.NormFloat64()))
		}
		if v.Partial {
			d *= math.Exp(0.1 * s.rand.NormFloat64())
		}
		v.Duration = time.Duration(d * float64(time.Second))
		s.Observe(fmt.Sprint(s.steps, "/", i), v)
		s.runs += size
	}
}

// play observes rounds of mixed steps, each with an update; the estimates of sweeps are off by 2.5.
func (s *service) play(rounds int) {
	for range rounds {
		s.step("sweeps", 8.1, 2.5, 39, 1)
		for range 3 {
			s.step("renders", 5.8, 1, 1, 6)
			s.step("reviews", 2.1, 1, 1, 5)
		}
		s.Update()
	}
}

// close returns how many workers are within 10% of their hidden speed, and how many of
// at least normal speed seem too slow for a slack factor of 1.5.
func (s *service) close() (within, tooSlow int) {
	for k, h := range s.hidden {
		v := s.Speed(id(k))
		if math.Abs(v.Factor/h-1) <= 0.1 {
			within++
		}
		if h >= 1 && v.Factor*math.Exp(v.Uncertainty) < 0.667 {
			tooSlow++
		}
	}
	return within, tooSlow
}

// TestAccuracy guards against estimates that are useless within the first seconds, and
// against equal speeds that are mistaken for unequal ones.
func TestAccuracy(t *testing.T) {
	for _, c := range []struct {
		groups []float64
		rounds int
		within float64
	}{
		{groups: []float64{0.6, 1, 1.6}, rounds: 8, within: 0.75},
		{groups: []float64{0.6, 1, 1.6}, rounds: 16, within: 0.95},
		{groups: []float64{1}, rounds: 1, within: 0.95},
		{groups: []float64{1}, rounds: 4, within: 0.99},
		{groups: []float64{1}, rounds: 16, within: 0.99},
	} {
		var all, within, tooSlow, runs int
		var base float64
		for seed := range int64(50) {
			s := newService(seed, c.groups...)
			s.play(c.rounds)
			n, l := s.close()
			all += len(s.hidden)
			within += n
			tooSlow += l
			runs += s.runs
			base += math.Log(s.Base("sweeps")) / 50
		}
		share := float64(within) / float64(all)
		t.Logf("speeds=%v runs_per_worker=%.1f within=%.3f too_slow=%d base=%.2f",
			c.groups, float64(runs)/float64(all), share, tooSlow, math.Exp(base))
		if share < c.within || tooSlow > all/1000 {
			t.Errorf("speeds %v, %d rounds: %.3f within 10%%, want %.2f; %d of at least normal speed seem too slow",
				c.groups, c.rounds, share, c.within, tooSlow)
		}
		if c.rounds == 16 && math.Abs(base-math.Log(2.5)) > 0.3 {
			t.Errorf("base of sweeps = %.2f, want about 2.5", math.Exp(base))
		}
	}
}

// TestTemporarySlowdown guards against taking a few slow seconds for the long-term
// speed, or discarding the estimate for them.
func TestTemporarySlowdown(t *testing.T) {
	var off int
	for seed := range int64(50) {
		s := newService(seed, 0.6, 1, 1.6)
		s.play(16)
		s.hidden[8] /= 3
		s.play(3)
		if f := s.Speed(id(8)).Factor; math.Abs(f-1) > 0.1 {
			t.Logf("seed %d: factor %.2f during the slowdown", seed, f)
			off++
		}
	}
	if off > 2 {
		t.Errorf("%d of 50 estimates off by over 10%%", off)
	}
}

// TestSlowMember guards against gangs with one slow member that make their fast members
// look slow.
func TestSlowMember(t *testing.T) {
	for seed := range int64(20) {
		s := newService(seed, 1)
		s.hidden[0] = 0.4
		s.play(10)
		var before [6]float64
		for k := range before {
			before[k] = s.Speed(id(k)).Factor
		}
		for i := range 8 {
			s.Observe(fmt.Sprint("gang", i), speed.Sample{
				Step:     fmt.Sprint("gang", i),
				Queue:    "renders",
				Estimate: 6 * time.Second,
				Workers:  []string{id(0), id(1), id(2), id(3), id(4), id(5)},
				Duration: 15 * time.Second,
			})
		}
		s.Update()
		for k := 1; k < 6; k++ {
			if f := s.Speed(id(k)).Factor; f < 0.9 || f < before[k]-0.05 {
				t.Errorf("seed %d: factor of fast member %d was %.2f, is %.2f", seed, k, before[k], f)
			}
		}
	}
}

// TestPriorKnowledge guards against loss of stored values, and against values that
// outlive the worker they belong to.
func TestPriorKnowledge(t *testing.T) {
	var e speed.Estimator
	v := speed.Speed{
		Factor:      0.5,
		Uncertainty: 0.1,
	}
	e.Restore("w", v)
	e.Update()
	if g := e.Speed("w"); g != v {
		t.Errorf("restored %v, got %v", v, g)
	}
	e.Restart("w")
	if g := e.Speed("w"); g.Factor != v.Factor || g.Uncertainty <= v.Uncertainty {
		t.Errorf("after a restart: %v", g)
	}
	e.Forget("w")
	if g := e.Speed("w"); g.Factor != 1 || g.Uncertainty < 0.3 {
		t.Errorf("after forgetting: %v", g)
	}
	if _, ok := e.RunTime("q"); ok || e.Base("q") != 1 {
		t.Error("a queue without samples has a run time or a base")
	}
}

// TestReplace guards against counting a run once for each report of its progress.
func TestReplace(t *testing.T) {
	var e speed.Estimator
	for i := range 2000 {
		e.Observe("run", speed.Sample{
			Step:     "s",
			Queue:    "q",
			Estimate: time.Second,
			Workers:  []string{"w"},
			Duration: time.Duration(2001-i) * time.Second,
		})
	}
	e.Update()
	if d, ok := e.RunTime("q"); !ok || d < 1500*time.Millisecond || d > 2500*time.Millisecond {
		t.Errorf("run time %v, %v; want about 2 s", d, ok)
	}
}

func BenchmarkUpdate(b *testing.B) {
	s := newService(1, 0.6, 1, 1.6)
	s.play(11)
	for b.Loop() {
		s.Update()
	}
}
