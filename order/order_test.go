package order_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"hemlockhinge/order"
)

const (
	s = time.Second
	// cores of a job of one accelerator.
	cores = acceleratorCores
)

// newItem returns a unit of one accelerator and class 1 that has just been submitted, runs for
// 8 s and has an objective of 24 s, with changes.
func newItem(customer string, age float64, change func(*order.Item)) order.Item {
	i := order.Item{
		Customer:  customer,
		Queue:     "q",
		Class:     1,
		Age:       age,
		Objective: 24 * s,
		Remaining: 8 * s,
		Size:      cores,
		Work:      8 * cores,
		Left:      8 * cores,
	}
	if change != nil {
		change(&i)
	}
	return i
}

// resize makes the job of an item f times as long.
func resize(f float64) func(*order.Item) {
	return func(i *order.Item) {
		i.Objective = time.Duration(f * float64(i.Objective))
		i.Remaining = time.Duration(f * float64(i.Remaining))
		i.Work *= f
		i.Left *= f
	}
}

// TestRank guards against units that lose little by waiting and are served before units that lose
// much, and against a unit that is put behind others of a lower class only because it is large. The
// items of each case are listed by their expected rank.
func TestRank(t *testing.T) {
	cases := []struct {
		name  string
		items []order.Item
	}{
		{"small beside large", []order.Item{newItem("a", 2, resize(0.25)), newItem("b", 1, resize(4))}},
		{"urgent beside patient", []order.Item{
			newItem("a", 2, func(i *order.Item) { i.Waited = 15 * s }),
			newItem("b", 1, nil),
		}},
		{"almost done beside not begun", []order.Item{
			newItem("a", 2, func(i *order.Item) { i.Left = i.Work / 8 }),
			newItem("b", 1, nil),
		}},
		{"guaranteed by age, also late and of a lower class", []order.Item{
			newItem("a", 7, func(i *order.Item) { i.Guaranteed, i.Waited = true, 99*s }),
			newItem("b", 8, func(i *order.Item) { i.Guaranteed, i.Class = true, 0 }),
			newItem("c", 1, func(i *order.Item) { i.Class = 0 }),
		}},
		{"large job of a higher class", []order.Item{
			newItem("a", 2, func(i *order.Item) { resize(8)(i); i.Class = 0 }),
			newItem("b", 1, resize(0.1)),
		}},
		{"about to be late beside patient of a higher class", []order.Item{
			newItem("a", 2, func(i *order.Item) { i.Waited, i.Left = 16*s, i.Work/8 }),
			newItem("b", 1, func(i *order.Item) { i.Class = 0 }),
		}},
		{"about to be late beside a higher class with less slack", []order.Item{
			newItem("b", 1, func(i *order.Item) { i.Class, i.Waited = 0, 5*s }),
			newItem("a", 2, func(i *order.Item) { i.Waited, i.Left = 16*s, i.Work/8 }),
		}},
		{"on time, late, lower class, without value", []order.Item{
			newItem("a", 4, nil),
			newItem("a", 3, func(i *order.Item) { i.Waited = 60 * s }),
			newItem("a", 2, func(i *order.Item) { i.Waited = 17 * s }),
			newItem("a", 5, func(i *order.Item) { i.Class = 2 }),
			newItem("a", 1, func(i *order.Item) { i.Class, i.Waited = 0, 99*s }),
		}},
		{"overtaken up to the bound", []order.Item{
			newItem("a", 1, func(i *order.Item) { resize(8)(i); i.Overtaken = 50 }),
			newItem("b", 3, resize(0.1)),
			newItem("c", 2, func(i *order.Item) { resize(8)(i); i.Overtaken = 49 }),
		}},
		{"equal units by age", []order.Item{newItem("a", 1, nil), newItem("b", 2, nil), newItem("c", 3, nil)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := slices.Clone(c.items)
			slices.Reverse(l)
			r := new(order.Policy).Rank(l)
			slices.Reverse(r)
			if !slices.IsSortedFunc(r, cmp.Compare[float64]) {
				t.Errorf("ranks %v, want ascending ones", r)
			}
		})
	}
}

// TestBurstOfOneCustomer guards against a customer's burst of 100 units that keeps the units
// of nine other customers waiting, which came after it.
func TestBurstOfOneCustomer(t *testing.T) {
	var l []order.Item
	for n := range 100 {
		l = append(l, newItem("burst", float64(n), nil))
	}
	for n := range 9 {
		l = append(l, newItem(fmt.Sprint(n), float64(100+n), nil))
	}
	r := new(order.Policy).Rank(l)
	before := func(n int) (v int) {
		for k := range 100 {
			if r[k] < r[n] {
				v++
			}
		}
		return v
	}
	for n := 100; n < len(l); n++ {
		// The fair share of ten customers with 109 units is 10.9 units.
		if v := before(n); v > 11 {
			t.Errorf("unit %d: %d of 100 units of the burst are before it", n, v)
		}
	}
	l = append(l, newItem("burst", 0, func(i *order.Item) { i.Running, i.Size = true, 13*cores }))
	r = new(order.Policy).Rank(l)
	if v := before(108); v > 0 {
		t.Errorf("with its share in use, %d units of the burst are before others", v)
	}
}

// TestPreemption guards against stopping work that loses more than a unit gains, and against
// jobs that stop each other in turn.
func TestPreemption(t *testing.T) {
	urgent := newItem("a", 2, func(i *order.Item) { i.Class, i.Objective, i.Remaining, i.Work = 0, 3*s, 2*s, 2*cores })
	guaranteed := urgent
	guaranteed.Guaranteed = true
	stop := func(unsaved float64, preemptions int, change func(*order.Item)) order.Stop {
		return order.Stop{
			Item:        newItem("b", 1, change),
			Unsaved:     unsaved * cores,
			Preemptions: preemptions,
		}
	}
	late := func(i *order.Item) { i.Waited = 20 * s }
	cases := []struct {
		name       string
		unit       order.Item
		wait       time.Duration
		stop       order.Stop
		gain, loss float64
		want       bool
	}{
		{"late otherwise, with a checkpoint", urgent, 3 * s, stop(0.1, 0, late), 11.4, 1.2, true},
		{"starts soon anyway", urgent, s / 100, stop(0.1, 0, late), 0.1, 1.2, false},
		{"much unsaved work", urgent, 3 * s, stop(7, 0, nil), 11.4, 39.2, false},
		{"makes the other late", urgent, 3 * s, stop(0.1, 0, func(i *order.Item) { i.Waited = 15 * s }), 11.4, 17.1, false},
		{"budget used", urgent, 3 * s, stop(0.1, 2, late), 11.4, 1.2, false},
		{"guaranteed, budget used", guaranteed, 3 * s, stop(7, 2, nil), 11.4, 39.2, true},
		{"two guaranteed", guaranteed, 3 * s, stop(0, 0, func(i *order.Item) { i.Guaranteed = true }), 11.4, 2.5, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p order.Policy
			stops := []order.Stop{c.stop}
			gain, loss := p.Gain(c.unit, c.wait), p.Loss(stops, c.unit.Remaining)
			if math.Abs(gain-c.gain) > 0.1 || math.Abs(loss-c.loss) > 0.1 {
				t.Errorf("gain %.1f, loss %.1f; want %.1f, %.1f", gain, loss, c.gain, c.loss)
			}
			if got := p.MayPreempt(c.unit, c.wait, stops); got != c.want {
				t.Errorf("preempts: %t, want %t", got, c.want)
			}
		})
	}
}

// TestJudge guards against a rejection that is not certain, and against retries that come
// before capacity can be free, or all at once.
func TestJudge(t *testing.T) {
	full := order.Forecast{
		Capacity: 10 * cores,
		Items:    []order.Item{newItem("b", 1, func(i *order.Item) { i.Running, i.Size, i.Remaining = true, 10*cores, 400*s })},
	}
	with := func(change func(*order.Forecast)) order.Forecast {
		f := full
		change(&f)
		return f
	}
	job := newItem("a", 2, nil)
	cases := []struct {
		name     string
		forecast order.Forecast
		job      order.Item
		accept   bool
		expected time.Duration
	}{
		{"nothing known", order.Forecast{}, job, true, 0},
		{"full for too long", full, job, false, 400 * s},
		{"full, estimates may be 4 times too long", with(func(f *order.Forecast) {
			f.Items = []order.Item{newItem("b", 1, func(i *order.Item) { i.Running, i.Size, i.Remaining = true, 10*cores, 280*s })}
		}), job, true, 280 * s},
		{"reserved part is not free", with(func(f *order.Forecast) { f.Capacity, f.Reserved = 20*cores, 10*cores }), job, false, 400 * s},
		{"free part", with(func(f *order.Forecast) { f.Capacity = 11 * cores }), job, true, 0},
		{"figures too old", with(func(f *order.Forecast) { f.Age = 3 * s }), job, true, 0},
		{"guaranteed", full, newItem("a", 2, func(i *order.Item) { i.Guaranteed = true }), true, 400 * s},
		{"preempts", full, newItem("a", 2, func(i *order.Item) { i.Class = 0 }), true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := c.forecast.Judge(c.job, "j")
			if v.Accept != c.accept || v.Expected != c.expected {
				t.Errorf("%+v, want accepted: %t, expected begin %s", v, c.accept, c.expected)
			}
		})
	}
	seconds := map[time.Duration]bool{}
	for n := range 100 {
		v := full.Judge(job, fmt.Sprintf("%016x", n))
		if v.RetryAfter < 28*s || v.RetryAfter > 56*s {
			t.Errorf("retry after %s, want one between 28 s and 56 s", v.RetryAfter)
		}
		seconds[v.RetryAfter.Truncate(s)] = true
	}
	if len(seconds) < 14 {
		t.Errorf("100 retries come within %d different seconds of 28", len(seconds))
	}
}

// TestUneven guards against a deployment that changes its order although its guarantees are
// not very uneven.
func TestUneven(t *testing.T) {
	for _, c := range []struct {
		guarantees string
		l          []int
		want       bool
	}{
		{"none", nil, false},
		{"all zero", []int{0, 0}, false},
		{"equal", []int{8, 8, 8, 8}, false},
		{"2.5 times the mean", []int{25, 5, 5, 5}, false},
		{"above that", []int{26, 5, 5, 4}, true},
	} {
		if got := order.Uneven(c.l); got != c.want {
			t.Errorf("%s: %t", c.guarantees, got)
		}
	}
}

// BenchmarkRank ranks 300 units of 10 customers.
func BenchmarkRank(b *testing.B) {
	var l []order.Item
	for n := range 300 {
		l = append(l, newItem(fmt.Sprint(n%10), float64(n), func(i *order.Item) {
			resize(1 + float64(n*7%13))(i)
			i.Class, i.Waited = n%3, time.Duration(n%40)*s
		}))
	}
	for b.Loop() {
		new(order.Policy).Rank(l)
	}
}

// BenchmarkJudge forecasts the begin of a job behind 300 units.
func BenchmarkJudge(b *testing.B) {
	f := order.Forecast{
		Capacity: 100 * cores,
	}
	for n := range 300 {
		f.Items = append(f.Items, newItem("a", float64(n), func(i *order.Item) { i.Running = n < 100 }))
	}
	for b.Loop() {
		f.Judge(newItem("b", 300, nil), "j")
	}
}
