// Package admin serves what every daemon shows of itself: the dump of its
// state, its metrics, and whether it lives and is ready.
//
// # Usage
//
//	e := admin.New(admin.Probe{State: d.State, Ready: d.Ready}, registry)
//	e.GET("/v1/status", d.status)
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"hemlockhinge/wire"
)

const readHeaderTimeout = 10 * time.Second

// Probe is what a daemon tells of itself.
type Probe struct {
	// State returns the dump, a value that encoding/json can write.
	State func() any
	// Ready returns nil when the daemon takes work, or why it does not.
	Ready func() error
}

// Bare returns an echo without routes, which prints nothing.
func Bare() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// New returns an echo with the routes that all daemons share.
func New(p Probe, r *prometheus.Registry) *echo.Echo {
	e := Bare()
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if err := p.Ready(); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET("/v1/state", func(c echo.Context) error {
		return c.JSONPretty(http.StatusOK, p.State(), "  ")
	})
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r, promhttp.HandlerOpts{})))
	return e
}

// Listen opens a daemon's two addresses: for other processes of the system, and
// for HTTP.
func Listen(n wire.Network, wireAddr, httpAddr string) (w, h net.Listener, err error) {
	if w, err = n.Listen(wireAddr); err != nil {
		return nil, nil, fmt.Errorf("listen on wire_listen: %w", err)
	}
	if h, err = n.Listen(httpAddr); err != nil {
		_ = w.Close()
		return nil, nil, fmt.Errorf("listen on http_listen: %w", err)
	}
	return w, h, nil
}

// Server is an HTTP server on a listener.
type Server struct {
	http *http.Server
	log  *logrus.Entry
}

// Serve starts to serve h on l.
func Serve(l net.Listener, h http.Handler, g *logrus.Entry) *Server {
	s := &Server{
		http: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
		},
		log: g,
	}
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.WithError(err).Error("http_server_ended")
		}
	}()
	return s
}

// Shutdown waits for the requests under way until c ends.
func (s *Server) Shutdown(c context.Context) error { return s.http.Shutdown(c) }

// Close ends at once.
func (s *Server) Close() { _ = s.http.Close() }
