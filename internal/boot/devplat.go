package boot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushpond.example/bulrushpond/platform"
	"bulrushpond.example/bulrushpond/platform/fakes"
)

// Fixed values of the dev command with a platform stand-in.
const (
	devDaemons = 2
	// devShortDelay is the shutdown delay of the daemons and the interval between test
	// requests.
	devShortDelay    = 50 * time.Millisecond
	devStreamTimeout = 15 * time.Second
	devStopTime      = 8 * time.Second
	devRetryRatio    = 0.2
	devRetryBurst    = 100
	devRetryWindow   = 10 * time.Second
)

// runDevPlatform runs daemons as the edge command does, against a stand-in for the
// platform.
func runDevPlatform(ctx context.Context, deps Dependencies, engines int, once string) error {
	p, err := fakes.New()
	if err != nil {
		return err
	}
	defer p.Close()
	if err := startDevServers(p, engines); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	daemonErrors := make(chan error, devDaemons)
	var firstDaemon *EdgeDaemon
	for i := range devDaemons {
		daemon, err := NewEdgeDaemon(deps, platform.VMSettings{
			VMName: fmt.Sprintf("edge-%d", i), Zone: "a", IP: "127.0.0.1", CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
			StoreAddress: p.Address(), Cores: 1, ShutdownTimeout: devStopTime, RetryRatio: devRetryRatio, RetryBurst: devRetryBurst, RetryWindow: devRetryWindow,
		}, 0, WithEdgeShutdownDelay(devShortDelay))
		if err != nil {
			return err
		}
		if firstDaemon == nil {
			firstDaemon = daemon
		}
		go func() { daemonErrors <- daemon.Run(ctx) }()
	}
	runErr := awaitDevStream(ctx, deps.Out, firstDaemon, once)
	if once != "" {
		cancel()
	}
	for range devDaemons {
		runErr = errors.Join(runErr, <-daemonErrors)
	}
	return runErr
}

// startDevServers starts engines and a service without engines, and writes a configuration
// with one API key.
func startDevServers(p *fakes.Platform, engines int) error {
	for i := range engines {
		if _, err := p.Start(fmt.Sprintf("engine-%d", i), "a", "card"); err != nil {
			return err
		}
	}
	if _, err := p.Start("bookings-0", "a", ""); err != nil {
		return err
	}
	_, err := p.Configure(fakes.Config{Keys: map[string][]string{"north": {devAPIKey}}})
	return err
}

// awaitDevStream sends a stream request until one succeeds. It prints the answer if once
// is set, and example requests otherwise.
func awaitDevStream(ctx context.Context, out io.Writer, daemon *EdgeDaemon, once string) error {
	prompt := once
	if prompt == "" {
		prompt = "hello"
	}
	for deadline := time.Now().Add(devStreamTimeout); ; {
		answer, err := requestDevStream(ctx, daemon.CallersAddress(), prompt)
		switch {
		case err == nil && once != "":
			_, err := fmt.Fprint(out, answer)
			return err
		case err == nil:
			_, err := fmt.Fprintf(out, "callers:   http://%s\nreadiness: http://%s%s\n\ncurl -N -H 'Host: %s' -H 'Authorization: Bearer %s' -d hello http://%s/draft/1\ncurl -H 'Host: %s' -H 'Authorization: Bearer %s' -d visit http://%s/book/1\n",
				daemon.CallersAddress(), daemon.ReadinessAddress(), platform.PathReady, fakes.Host, devAPIKey, daemon.CallersAddress(), fakes.Host, devAPIKey, daemon.CallersAddress())
			return err
		case time.Now().After(deadline):
			return fmt.Errorf("no stream request succeeded: %w", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(devShortDelay):
		}
	}
}

// requestDevStream sends one stream request and returns the response body.
func requestDevStream(ctx context.Context, address, prompt string) (string, error) {
	req, err := fakes.Call{Method: http.MethodPost, Path: "/draft/1", Body: prompt, Key: devAPIKey}.Request(ctx, address)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(resp.Status)
	}
	return string(body), err
}
