package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"hemlockhinge/conf"
)

// newLog returns a logger that writes one key=value line per event to standard
// error. An unknown level leaves the default, info.
func newLog(level string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	l.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyMsg: "event",
		},
	})
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return logrus.NewEntry(l)
}

// newTransport returns a transport that does not ask for compressed responses, so
// that bodies are passed on unchanged.
func newTransport() *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     0,
	}
}

// notifyShutdown returns a channel that is closed at the first SIGTERM or SIGINT
// (graceful shutdown), and a context that is cancelled at the second (immediate
// shutdown).
func notifyShutdown() (context.Context, <-chan struct{}) {
	c, cancel := context.WithCancel(context.Background())
	d := make(chan struct{})
	s := make(chan os.Signal, 2)
	signal.Notify(s, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-s
		close(d)
		<-s
		cancel()
	}()
	return c, d
}

// readSettings reads a settings file. Its errors have exit status 2.
func readSettings[T any](path string, parse func(string, []byte) (*T, error)) (*T, error) {
	s, err := conf.ReadFile(path, parse)
	var f *conf.Faults
	switch {
	case errors.As(err, &f):
		return nil, withExitStatus(exitUsage, f)
	case err != nil:
		return nil, withExitStatus(exitUsage, err)
	}
	return s, nil
}
