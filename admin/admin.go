// Package admin serves the administrative HTTP endpoints that all daemons share:
// a dump of their state, metrics, liveness and readiness.
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

	"hemlockhinge/guard"
	"hemlockhinge/wire"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Probe gives the endpoints access to a daemon's state.
type Probe struct {
	// State returns the dump, a value that encoding/json can marshal.
	State func() any
	// Ready returns nil when the daemon accepts work, or the reason why it does
	// not.
	Ready func() error
	// Slot, if set, takes one of a bounded number of slots for dumps and metrics, which take
	// much memory to build, and returns a function that gives it back.
	Slot func() (release func(), err error)
}

// bounded returns a handler that runs h in a slot, and refuses the request if there is none.
func (p Probe) bounded(h echo.HandlerFunc) echo.HandlerFunc {
	if p.Slot == nil {
		return h
	}
	return func(c echo.Context) error {
		release, err := p.Slot()
		if err != nil {
			guard.SetHeaders(c.Response().Header())
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		defer release()
		return h(c)
	}
}

// NewEcho returns an echo instance without routes that prints nothing when it
// starts.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// New returns an echo instance with the routes that all daemons share.
func New(p Probe, r *prometheus.Registry) *echo.Echo {
	e := NewEcho()
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if err := p.Ready(); err != nil {
			return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET("/v1/state", p.bounded(func(c echo.Context) error {
		return c.JSONPretty(http.StatusOK, p.State(), "  ")
	}))
	e.GET("/metrics", p.bounded(echo.WrapHandler(promhttp.HandlerFor(r, promhttp.HandlerOpts{}))))
	return e
}

// Listen opens the two listeners of a daemon: one for other processes of the
// system and one for HTTP.
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

// Serve starts serving h on l in the background.
func Serve(l net.Listener, h http.Handler, g *logrus.Entry) *Server {
	s := &Server{
		http: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
		},
		log: g,
	}
	s.serve(l)
	return s
}

// ServeGuarded is Serve for a listener that bounds what clients can make the process hold.
func ServeGuarded(l *guard.Listener, u *guard.Guard, h http.Handler, g *logrus.Entry) *Server {
	s := &Server{
		http: &http.Server{
			Handler:           u.Handler(h),
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
		},
		log: g,
	}
	l.Attach(s.http)
	s.serve(l)
	return s
}

func (s *Server) serve(l net.Listener) {
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("http_server_ended")
		}
	}()
}

// Shutdown stops the server gracefully: it waits for requests in progress until c
// ends.
func (s *Server) Shutdown(c context.Context) error { return s.http.Shutdown(c) }

// Close stops the server at once, without waiting for requests in progress.
func (s *Server) Close() { _ = s.http.Close() }
