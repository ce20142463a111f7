package meter

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// heldCollector collects what clients make the process hold.
type heldCollector struct {
	bytes       *prometheus.Desc
	connections *prometheus.Desc
	read        atomic.Pointer[func() (bytes, connections map[string]float64)]
}

func newHeldCollector() *heldCollector {
	return &heldCollector{
		bytes:       prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "client_bytes"), "Bytes reserved for bodies and frames of clients.", []string{"kind"}, nil),
		connections: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "client_connections"), "Accepted connections.", []string{"port"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (h *heldCollector) Describe(c chan<- *prometheus.Desc) {
	c <- h.bytes
	c <- h.connections
}

// Collect implements prometheus.Collector.
func (h *heldCollector) Collect(c chan<- prometheus.Metric) {
	f := h.read.Load()
	if f == nil {
		return
	}
	b, n := (*f)()
	for k, v := range b {
		c <- prometheus.MustNewConstMetric(h.bytes, prometheus.GaugeValue, v, k)
	}
	for k, v := range n {
		c <- prometheus.MustNewConstMetric(h.connections, prometheus.GaugeValue, v, k)
	}
}
