package fakes

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// streamingResponse is an http.ResponseWriter whose response can be read while
// the handler is still writing.
type streamingResponse struct {
	ctx         context.Context //nolint:containedctx // the context of the request
	header      http.Header
	status      int
	headWritten chan struct{}
	once        sync.Once
	r           *io.PipeReader
	w           *io.PipeWriter
}

var errAborted = errors.New("the worker aborted the response")

func newStreamingResponse(c context.Context) *streamingResponse {
	r, w := io.Pipe()
	return &streamingResponse{
		ctx:         c,
		header:      http.Header{},
		status:      http.StatusOK,
		headWritten: make(chan struct{}),
		r:           r,
		w:           w,
	}
}

// Header implements http.ResponseWriter.
func (a *streamingResponse) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *streamingResponse) WriteHeader(s int) {
	a.once.Do(func() {
		a.status = s
		close(a.headWritten)
	})
}

// Write implements http.ResponseWriter.
func (a *streamingResponse) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.w.Write(b)
}

// end closes the body. If the handler panicked, as it does to abort the
// response, the reader of the body gets errAborted. It must be deferred by the
// goroutine that runs the handler.
func (a *streamingResponse) end() {
	if recover() != nil {
		_ = a.w.CloseWithError(errAborted)
		return
	}
	a.WriteHeader(http.StatusOK)
	_ = a.w.Close()
}

// response waits until the handler has written the response header, and returns
// the response, whose body is then still being written.
func (a *streamingResponse) response() (*http.Response, error) {
	select {
	case <-a.headWritten:
	case <-a.ctx.Done():
		_ = a.r.CloseWithError(a.ctx.Err())
		return nil, a.ctx.Err()
	}
	n, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
	if err != nil {
		n = -1
	}
	return &http.Response{
		StatusCode:    a.status,
		Header:        a.header,
		Body:          a.r,
		ContentLength: n,
	}, nil
}
