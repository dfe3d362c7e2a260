// Command standin runs a stand-in for the platform, a model engine or a server of a
// plain service as a separate process.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/standin"
)

// exitUsage is the exit code for a wrong command line.
const exitUsage = 2

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := flags.NewNamedParser("standin", flags.HelpFlag)
	commands := []struct {
		name, short string
		data        any
	}{
		{"platform", "run the platform's object API", &platformCommand{ctx: ctx}},
		{"engine", "run a model engine", &engineCommand{registration: newRegistered(ctx)}},
		{"service", "run a server of a plain service", &serviceCommand{registration: newRegistered(ctx)}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			panic(err) // only for a malformed tag
		}
	}
	if _, err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(exitUsage)
	}
}

// serve serves h at address until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	fmt.Printf("serving at %s\n", l.Addr())
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// platformCommand runs a stand-in for the platform.
type platformCommand struct {
	ctx    context.Context
	Listen string        `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:7100" description:"address to serve at"`
	VMLag  time.Duration `long:"vm-lag" value-name:"TIME" default:"1s" description:"lag of the list of VMs"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return serve(c.ctx, c.Listen, standin.NewPlatform(c.VMLag))
}

// registration holds the options of a backend server and registers it with the
// platform.
type registration struct {
	ctx         context.Context
	ID          string `long:"id" value-name:"ID" required:"true" description:"name in the platform's list"`
	Domain      string `long:"domain" value-name:"CODE" required:"true" description:"failure domain"`
	Listen      string `long:"listen" value-name:"IP:PORT" required:"true" description:"address to serve at"`
	incarnation engine.Incarnation
	Platform    string `long:"platform" value-name:"IP:PORT" default:"127.0.0.1:7100" description:"the platform"`
}

// newRegistered returns the registration of a new incarnation of a server.
func newRegistered(ctx context.Context) registration {
	return registration{ctx: ctx, incarnation: engine.Incarnation(time.Now().UnixNano())}
}

// register adds the server to the platform's list of VMs.
func (r *registration) register(vm objects.VM) error {
	vm.ID = engine.ServerID(r.ID)
	vm.Domain = names.ID(r.Domain)
	vm.Address = r.Listen
	vm.Incarnation = r.incarnation
	b, err := json.Marshal(vm)
	if err != nil {
		return fmt.Errorf("encode VM: %w", err)
	}
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPut, "http://"+r.Platform+"/vms", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	return resp.Body.Close()
}

// engineCommand runs a stand-in for a model engine.
type engineCommand struct {
	registration
	Versions    []string      `long:"version" value-name:"VERSION" required:"true" description:"version loaded at the start; repeat for more"`
	TokenGap    time.Duration `long:"token-gap" value-name:"TIME" default:"30ms" description:"time between tokens"`
	IgnoreFence bool          `long:"ignore-fence" description:"take orders with an old fencing number"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	cfg := standin.EngineConfig{
		ID:          engine.ServerID(c.ID),
		Incarnation: c.incarnation,
		TokenGap:    c.TokenGap,
		IgnoreFence: c.IgnoreFence,
	}
	for _, v := range c.Versions {
		cfg.Versions = append(cfg.Versions, engine.LoadedModel{Version: engine.Version(v)})
	}
	if err := c.register(objects.VM{Role: objects.RoleEngine}); err != nil {
		return err
	}
	e := standin.NewEngine(cfg)
	defer e.Close()
	return serve(c.ctx, c.Listen, e)
}

// serviceCommand runs a stand-in for a server of a plain service.
type serviceCommand struct {
	registration
	Service string `long:"service" value-name:"CODE" required:"true" description:"the service's code name"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	if err := c.register(objects.VM{Role: objects.RoleService, Service: names.ID(c.Service)}); err != nil {
		return err
	}
	return serve(c.ctx, c.Listen, standin.NewService(&standin.Ledger{}))
}
