package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"quetzalhold/gateway"
	"quetzalhold/settings"
)

// gatewayCommand runs the daemon of an entry VM on the users' platform.
type gatewayCommand struct {
	ctx      context.Context
	Settings string `long:"settings" value-name:"FILE" description:"settings file" required:"true"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	// A hang-up signal that arrives before the daemon runs must not end the
	// process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	s, err := settings.LoadGateway(c.Settings)
	if err != nil {
		return err
	}
	d, err := gateway.New(s, gateway.WithLog(os.Stdout))
	if err != nil {
		return err
	}
	// net/http reports what servers send without being asked there.
	defer zap.RedirectStdLog(d.Log())()
	ctx, stop := context.WithCancel(context.WithoutCancel(c.ctx))
	defer stop()
	go c.reload(ctx, d, hup)
	return d.Serve(c.ctx)
}

// settingsPollInterval is how often the modification time of the settings file is
// checked, since the file may change without a signal.
const settingsPollInterval = 2 * time.Second

// reload reloads the settings after each hang-up signal and whenever the file has
// changed, until ctx is done. The settings are those of a stopping daemon too.
func (c *gatewayCommand) reload(ctx context.Context, d *gateway.Daemon, hup <-chan os.Signal) {
	changed := c.modTime()
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-hup:
		case <-t.C:
			if at := c.modTime(); at.Equal(changed) {
				continue
			}
		case <-ctx.Done():
			return
		}
		changed = c.modTime()
		s, err := settings.LoadGateway(c.Settings)
		if err != nil {
			// Keep the current settings: the file may be partly written.
			d.Log().Warn("settings not reloaded", zap.Error(err))
			continue
		}
		d.Reload(s)
	}
}

// modTime returns the modification time of the settings file, or zero if it is
// unknown.
func (c *gatewayCommand) modTime() time.Time {
	info, err := os.Stat(c.Settings)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
