package order_test

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"hemlockhinge/alloc"
	"hemlockhinge/order"
)

var (
	loadSeeds     = flag.Int("load-seeds", 20, "how many days of each deployment TestOrders generates")
	forecastSeeds = flag.Int("forecast-seeds", 4, "how many days of each load TestForecast generates")
)

// byItem makes a rankFunc of a rank that looks at one item. Items without value are last.
func byItem(f func(*order.Item) float64) rankFunc {
	return func(l []order.Item) []float64 {
		v := make([]float64, len(l))
		for n := range l {
			i := &l[n]
			switch {
			case i.Guaranteed:
				v[n] = i.Age - 1e9
			case i.Waited+i.Remaining > 3*i.Objective:
				v[n] = 1e12 + i.Age
			default:
				v[n] = f(i)
			}
		}
		return v
	}
}

var weights = []float64{4, 2, 1}

// orders are the orders to compare; all put guaranteed units first and those without value
// last.
var orders = []struct {
	name string
	rank rankFunc
}{
	{"age (today)", byItem(func(i *order.Item) float64 {
		return alloc.Order{Class: i.Class, Timeliness: alloc.TimelinessOf(i.Waited, i.Remaining, i.Objective), Age: i.Age}.Rank() / 1e4
	})},
	{"strict classes", byItem(func(i *order.Item) float64 { return 1e6*float64(i.Class) + i.Age })},
	{"shortest remaining work", byItem(func(i *order.Item) float64 { return i.Left })},
	{"weighted deadlines", byItem(func(i *order.Item) float64 { return (i.Objective - i.Waited).Seconds() / weights[i.Class] })},
	{"auction", byItem(func(i *order.Item) float64 {
		v := weights[i.Class]
		if i.Waited+i.Remaining > i.Objective {
			v /= 2
		}
		return -v / i.Left
	})},
	{"cost of delay", new(order.Policy).Rank},
}

// worth returns the value that a job would earn on time, and the one it has earned.
func (j *job) worth() (most, earned float64) {
	most = weights[j.queue.class] * (0.5 + 0.5*j.size)
	switch d := j.end - j.arrival; {
	case j.done < len(j.runs) || d > 3*j.objective:
		return most, 0
	case d > j.objective:
		return most, most / 2
	}
	return most, most
}

// tenth returns in which tenth of its queue by size a job is, 9 for the largest jobs.
func (j *job) tenth() int {
	z := math.Log(j.size)/sizeSigma + sizeSigma/2
	return min(int(10*(1+math.Erf(z/math.Sqrt2))/2), 9)
}

// tally sums up the days of one order.
type tally struct {
	most, earned float64
	// jobs, onTime and served count by class and, in the second index, all and large jobs.
	jobs, onTime, served [3][2]float64
	// worst is the share of its value that the worst customer earned, summed over the days.
	worst float64
	// mostOf and earnedOf are by tenth.
	mostOf, earnedOf [10]float64
}

func (c *tally) add(l []*job) {
	most, earned := map[int]float64{}, map[int]float64{}
	for _, j := range l {
		m, e := j.worth()
		most[j.customer] += m
		earned[j.customer] += e
		c.mostOf[j.tenth()] += m
		c.earnedOf[j.tenth()] += e
		for k := range 2 {
			if k == 1 && j.tenth() < 9 {
				continue
			}
			c.jobs[j.queue.class][k]++
			if e > 0 {
				c.served[j.queue.class][k]++
			}
			if e == m {
				c.onTime[j.queue.class][k]++
			}
		}
	}
	worst := 1.0
	for k := range most {
		c.most += most[k]
		c.earned += earned[k]
		worst = min(worst, earned[k]/most[k])
	}
	c.worst += worst
}

// largeRatio returns how often the largest tenth of a class is served, relative to all.
func (c *tally) largeRatio(class int) float64 {
	return c.served[class][1] / c.jobs[class][1] / (c.served[class][0] / c.jobs[class][0])
}

func (c *tally) row(name string) string {
	var on, large []string
	for k := range c.jobs {
		on = append(on, fmt.Sprintf("%.3f", c.onTime[k][0]/c.jobs[k][0]))
		large = append(large, fmt.Sprintf("%.2f", c.largeRatio(k)))
	}
	tenth := 1.0
	for k, m := range c.mostOf {
		tenth = min(tenth, c.earnedOf[k]/m)
	}
	return fmt.Sprintf("| %s | %.3f | %s | %.3f | %.3f | %s |\n", name, c.earned/c.most, strings.Join(on, ", "), c.worst/float64(*loadSeeds), tenth, strings.Join(large, ", "))
}

// TestOrders guards against an order that earns less than today's, or that serves a customer
// or the largest jobs worse. It prints the tables of docs/design/7-order.md:
//
//	go test ./order -run TestOrders -v
func TestOrders(t *testing.T) {
	t.Parallel()
	for k := range deployments {
		d := &deployments[k]
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			tallies := make([]tally, len(orders))
			table := "\n| order | value | on time by class | worst customer | worst tenth by size | largest tenth served, relative to all, by class |\n|---|---|---|---|---|---|\n"
			for n, o := range orders {
				for seed := range *loadSeeds {
					r := replay{
						deployment: d,
						jobs:       generate(d, uint64(seed)+1),
						rank:       o.rank,
					}
					r.run()
					tallies[n].add(r.jobs)
				}
				table += tallies[n].row(o.name)
			}
			t.Log(table)
			age, cost := &tallies[0], &tallies[len(orders)-1]
			if cost.earned < age.earned {
				t.Errorf("value %.0f, by age %.0f", cost.earned, age.earned)
			}
			if cost.worst < age.worst {
				t.Errorf("worst customer %.3f, by age %.3f", cost.worst/float64(*loadSeeds), age.worst/float64(*loadSeeds))
			}
			for c := range cost.jobs {
				if v := cost.largeRatio(c); v < 0.5 {
					t.Errorf("class %d: the largest tenth is served %.2f times as often as all", c, v)
				}
			}
		})
	}
}

// TestForecast guards against rejecting a job that would have been served while its result has
// value. All jobs are served; those that the forecast would reject must have earned nothing.
func TestForecast(t *testing.T) {
	t.Parallel()
	for k := range deployments {
		for _, load := range []float64{1, 4} {
			d := deployments[k]
			d.load *= load
			t.Run(fmt.Sprintf("%s, load %.1f", d.name, d.load), func(t *testing.T) {
				t.Parallel()
				testForecast(t, &d)
			})
		}
	}
}

// heavyLoad is a load above which some jobs must be rejected.
const heavyLoad = 4.2

func testForecast(t *testing.T, d *deployment) {
	jobs, begun, worthless, rejected, wrong := 0, 0, 0, 0, 0
	var apart time.Duration
	for seed := range *forecastSeeds {
		verdicts := map[*job]order.Verdict{}
		r := replay{
			deployment: d,
			jobs:       generate(d, uint64(seed)+1),
			rank:       new(order.Policy).Rank,
		}
		r.arrived = func(r *replay, j *job) {
			f := order.Forecast{
				Capacity: acceleratorCores * float64(d.accelerators),
				Items:    r.items,
			}
			verdicts[j] = f.Judge(r.item(j, j.gangSize()), fmt.Sprint(j.id))
		}
		r.run()
		for _, j := range r.jobs {
			jobs++
			_, e := j.worth()
			if e == 0 {
				worthless++
			}
			if len(j.ends) > 0 {
				begun++
				apart += (j.begun - j.arrival - verdicts[j].Expected).Abs()
			}
			if verdicts[j].Accept {
				continue
			}
			rejected++
			// A job that has value after the end of the replay might still earn it.
			if e > 0 || j.done < len(j.runs) && j.arrival+3*j.objective > dayEnd {
				wrong++
			}
		}
	}
	t.Logf("%d jobs, %d without value, %d rejected, %d of these wrongly; mean error of the begin %s", jobs, worthless, rejected, wrong, (apart / time.Duration(begun)).Round(time.Millisecond))
	if wrong > 0 {
		t.Errorf("%d jobs with value rejected", wrong)
	}
	if d.load > heavyLoad && rejected == 0 {
		t.Error("no job rejected: the load of this test is too light")
	}
}
