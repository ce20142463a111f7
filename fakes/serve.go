package fakes

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"hemlockhinge/admin"
	"hemlockhinge/store"
	"hemlockhinge/worker"
)

// Switches are the injected faults of a store process, as PUT /switches sets
// them.
type Switches struct {
	Unavailable bool    `json:"out"`
	DelayMS     int     `json:"slow_ms"`
	LoseAnswers int     `json:"lose_answers"`
	RateLimit   float64 `json:"calls_per_second"`
}

// Handler returns a handler of the store's HTTP interface. GET /calls returns the
// call counts, and PUT /switches sets the injected faults.
func (s *Store) Handler() http.Handler {
	e := newEcho()
	e.GET("/v1/kv", func(c echo.Context) error {
		i, err := s.Get(c.Request().Context(), c.QueryParam("key"))
		if err != nil {
			return writeStoreResult(c, err)
		}
		c.Response().Header().Set(store.RevisionHeader, strconv.FormatUint(i.Revision, 10))
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, i.Value)
	})
	e.PUT("/v1/kv", func(c echo.Context) error {
		b, err := io.ReadAll(io.LimitReader(c.Request().Body, store.MaxValue+1))
		if err != nil {
			return err
		}
		n, err := s.Put(c.Request().Context(), c.QueryParam("key"), b, queryUint(c, "revision"), store.Lease(queryUint(c, "lease")))
		return writeRevision(c, n, err)
	})
	e.DELETE("/v1/kv", func(c echo.Context) error {
		return writeStoreResult(c, s.Delete(c.Request().Context(), c.QueryParam("key"), queryUint(c, "revision")))
	})
	e.GET("/v1/list", func(c echo.Context) error {
		p, err := s.List(c.Request().Context(), c.QueryParam("prefix"), c.QueryParam("after"))
		return writePage(c, p, err)
	})
	e.GET("/v1/watch", func(c echo.Context) error {
		p, err := s.Watch(c.Request().Context(), c.QueryParam("prefix"), queryUint(c, "revision"))
		return writePage(c, p, err)
	})
	e.POST("/v1/leases", func(c echo.Context) error {
		l, err := s.Grant(c.Request().Context(), time.Duration(queryUint(c, "ttl_ms"))*time.Millisecond) //nolint:gosec // test code; overflow is harmless
		return writeRevision(c, uint64(l), err)
	})
	e.POST("/v1/leases/:id", func(c echo.Context) error {
		return writeStoreResult(c, s.Keep(c.Request().Context(), leaseParam(c)))
	})
	e.DELETE("/v1/leases/:id", func(c echo.Context) error {
		return writeStoreResult(c, s.Revoke(c.Request().Context(), leaseParam(c)))
	})
	e.GET("/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, s.CallCounts()) })
	e.PUT("/switches", s.putSwitches)
	return e
}

func (s *Store) putSwitches(c echo.Context) error {
	var v Switches
	if err := json.NewDecoder(c.Request().Body).Decode(&v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.SetUnavailable(v.Unavailable)
	s.SetDelay(time.Duration(v.DelayMS) * time.Millisecond)
	s.LoseAnswers(v.LoseAnswers)
	s.SetRateLimit(v.RateLimit)
	return c.JSON(http.StatusOK, v)
}

func newEcho() *echo.Echo {
	e := admin.NewEcho()
	return e
}

func queryUint(c echo.Context, name string) uint64 {
	n, _ := strconv.ParseUint(c.QueryParam(name), 10, 64)
	return n
}

func leaseParam(c echo.Context) store.Lease {
	n, _ := strconv.ParseUint(c.Param("id"), 10, 64)
	return store.Lease(n)
}

func writeRevision(c echo.Context, n uint64, err error) error {
	if err != nil {
		return writeStoreResult(c, err)
	}
	c.Response().Header().Set(store.RevisionHeader, strconv.FormatUint(n, 10))
	return c.NoContent(http.StatusNoContent)
}

func writePage(c echo.Context, p store.Page, err error) error {
	if err != nil {
		return writeStoreResult(c, err)
	}
	return c.JSON(http.StatusOK, p)
}

// writeStoreResult writes the HTTP status, and for conflicts the revision, that
// store.Client maps back to err.
func writeStoreResult(c echo.Context, err error) error {
	var m *store.NotFoundError
	var f *store.ConflictError
	var g *store.CompactedError
	var t *store.TooLargeError
	var u *store.UnavailableError
	switch {
	case err == nil:
		return c.NoContent(http.StatusNoContent)
	case errors.As(err, &m):
		return c.String(http.StatusNotFound, err.Error())
	case errors.As(err, &f):
		c.Response().Header().Set(store.RevisionHeader, strconv.FormatUint(f.Have, 10))
		return c.String(http.StatusConflict, err.Error())
	case errors.As(err, &g):
		c.Response().Header().Set(store.RevisionHeader, strconv.FormatUint(g.Revision, 10))
		return c.String(http.StatusGone, err.Error())
	case errors.As(err, &t):
		return c.String(http.StatusRequestEntityTooLarge, err.Error())
	case errors.As(err, &u) && u.Refused:
		return c.String(http.StatusTooManyRequests, err.Error())
	}
	return c.String(http.StatusServiceUnavailable, err.Error())
}

// Handler returns a handler of the worker's HTTP interface. PUT /switches sets
// the injected faults, GET /ledger returns how often each request ran, and /run/
// runs requests.
func (w *Worker) Handler() http.Handler {
	e := newEcho()
	e.PUT("/v1/tasks/:id", func(c echo.Context) error {
		var t worker.Task
		if err := json.NewDecoder(c.Request().Body).Decode(&t); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return writeWorkerResult(c, w.Start(c.Request().Context(), t))
	})
	e.POST("/v1/renew", func(c echo.Context) error {
		var r worker.RenewRequest
		if err := json.NewDecoder(c.Request().Body).Decode(&r); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return writeWorkerResult(c, w.Renew(c.Request().Context(), r.IDs, r.LeaseUntil))
	})
	e.POST("/v1/tasks/:id/checkpoint", func(c echo.Context) error {
		return writeWorkerResult(c, w.Checkpoint(c.Request().Context(), c.Param("id")))
	})
	e.POST("/v1/tasks/:id/throttle", func(c echo.Context) error {
		return writeWorkerResult(c, w.Throttle(c.Request().Context(), c.Param("id"), int(queryUint(c, "percent")))) //nolint:gosec // test code; overflow is harmless
	})
	e.DELETE("/v1/tasks/:id", func(c echo.Context) error {
		return writeWorkerResult(c, w.Stop(c.Request().Context(), c.Param("id")))
	})
	e.GET("/v1/tasks", func(c echo.Context) error {
		l, err := w.Tasks(c.Request().Context())
		if err != nil {
			return writeWorkerResult(c, err)
		}
		return c.JSON(http.StatusOK, l)
	})
	e.PUT("/switches", func(c echo.Context) error {
		var v struct {
			FailAll bool `json:"fail_all"`
			SlowMS  int  `json:"slow_ms"`
		}
		if err := json.NewDecoder(c.Request().Body).Decode(&v); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		w.SetFailAll(v.FailAll)
		w.SetDelay(time.Duration(v.SlowMS) * time.Millisecond)
		return c.JSON(http.StatusOK, v)
	})
	e.GET("/ledger", func(c echo.Context) error {
		w.mu.Lock()
		defer w.mu.Unlock()
		return c.JSON(http.StatusOK, w.executions)
	})
	e.Any("/run/*", func(c echo.Context) error {
		c.Request().URL.Path = "/" + strings.TrimPrefix(c.Request().URL.Path, "/run/")
		w.ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return e
}

func writeWorkerResult(c echo.Context, err error) error {
	var r *worker.RefusedError
	switch {
	case err == nil:
		return c.NoContent(http.StatusNoContent)
	case errors.As(err, &r):
		return c.String(http.StatusConflict, r.Detail)
	}
	return c.String(http.StatusServiceUnavailable, err.Error())
}
