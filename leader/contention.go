package leader

import "hemlockhinge/order"

// Values of Settings.Order.
const (
	// OrderByAge ranks units by class, timeliness and age. It is the default.
	OrderByAge = "age"
	// OrderByCost ranks units by the cost of their delay.
	OrderByCost = "cost"
)

// contended reports whether customers or queues compete so unevenly that room which is made for an
// urgent unit is kept for it, and logs when that changes: the guarantee of one customer is far above
// the others', so that its bursts take the room that was made for them, or the workers of a service
// are uneven, so that all urgent units want the same ones.
func (t *term) contended() bool {
	v := t.unevenGuarantees() || t.ranksByCost()
	for _, s := range t.speeds {
		v = v || s.uneven
	}
	if v != t.keepsRoom {
		t.keepsRoom = v
		t.log.WithField("contended", v).Info("contention_changed")
	}
	return v
}

// ranksByCost reports whether units are ranked by the cost of their delay.
func (t *term) ranksByCost() bool { return t.leader.settings.Order == OrderByCost }

func (t *term) unevenGuarantees() bool {
	o := t.leader.currentOperatorSettings()
	if o.Config == nil {
		return false
	}
	var l []int
	for _, c := range o.Config.Customers {
		l = append(l, c.GuaranteedAccelerators)
	}
	return order.Uneven(l)
}
