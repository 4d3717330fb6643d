package main

// This file reloads the configuration and the retry token keys while the server runs. If a file cannot be read or
// is invalid, none of its content is applied. A reload never affects open requests or running tasks.

import (
	"context"

	"ravenhitch/internal/config"
	"ravenhitch/internal/retrytoken"
)

// runReloads calls Reload for each value that is received from requests, until the server has stopped.
func (s *server) runReloads(requests <-chan struct{}, configPath string) {
	for {
		select {
		case <-requests:
			s.Reload(configPath)
		case <-s.stopped:
			return
		}
	}
}

// Reload reads the files of the retry token keys and of the configuration again. Of the configuration, only
// the address of discovery takes effect; all other settings need a restart. If a file cannot be read for a moment,
// Reload tries again (see retryTransient). A file that cannot be used changes nothing, and the error is logged.
// Reload blocks, and must not be called on the event loop.
func (s *server) Reload(configPath string) {
	s.reloadTokenKeys()
	var cfg config.Config
	err := s.retryRead(func() (err error) {
		cfg, err = config.Load(configPath)
		return err
	})
	if err != nil {
		s.log.Error("configuration not reloaded", "err", err)
		return
	}
	s.loop.Post(func() {
		s.log.Info("configuration reloaded", "channel", cfg.DiscoveryAddr)
		s.follower.SetAddress(cfg.DiscoveryAddr)
	})
}

// retryRead calls read until it returns no transient error.
func (s *server) retryRead(read func() error) error {
	return retryTransient(context.Background(), s.log, "reload", read)
}

func (s *server) reloadTokenKeys() {
	if s.grpcFront == nil || s.tokenKeysPath == "" {
		return
	}
	var keys *retrytoken.Keys
	err := s.retryRead(func() (err error) {
		keys, err = loadTokenKeys(s.tokenKeysPath)
		return err
	})
	if err != nil {
		s.log.Error("retry token keys not reloaded", "err", err)
		return
	}
	s.grpcFront.SetKeys(keys)
	s.log.Info("retry token keys reloaded")
}
