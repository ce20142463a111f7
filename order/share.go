package order

// holder is a customer's part of a class.
type holder struct {
	customer string
	class    int
}

// shares tells which customers have more than their fair share of a class, and the mean work
// of the jobs of the units of each queue, so that jobs with many waiting tasks weigh more.
type shares struct {
	held map[holder]float64
	fair map[int]float64
	mean map[string]float64
}

// sharesOf counts what runs and what waits. A fair share is what all customers of a class hold
// and wait for, divided by their number.
func sharesOf(items []Item) shares {
	s := shares{
		held: map[holder]float64{},
		fair: map[int]float64{},
		mean: map[string]float64{},
	}
	customers, units := map[int]float64{}, map[string]float64{}
	for n := range items {
		i := &items[n]
		h := holder{
			customer: i.Customer,
			class:    i.Class,
		}
		v, known := s.held[h]
		if !known {
			customers[i.Class]++
		}
		if i.Running || i.Guaranteed {
			v += i.Size
		}
		s.held[h] = v
		s.fair[i.Class] += i.Size
		s.mean[i.Queue] += i.Work
		units[i.Queue]++
	}
	for c, n := range customers {
		s.fair[c] /= n
	}
	for q, n := range units {
		s.mean[q] /= n
	}
	return s
}

func (s *shares) meanWork(i *Item) float64 { return s.mean[i.Queue] }

// take adds a unit to what its customer holds, and returns how many fair shares that was
// before.
func (s *shares) take(i *Item) float64 {
	h := holder{
		customer: i.Customer,
		class:    i.Class,
	}
	v := s.held[h]
	s.held[h] = v + i.Size
	if s.fair[i.Class] == 0 {
		return 0
	}
	return v / s.fair[i.Class]
}
