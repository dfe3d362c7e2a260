package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"quetzalhold/caller"
	"quetzalhold/engine"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/result"
)

// remoteOptions holds the options of commands that use the operator API of entry
// VMs.
type remoteOptions struct {
	ctx     context.Context
	Entries []string `long:"entry" value-name:"IP:PORT" env:"QUETZALHOLD_ENTRIES" env-delim:"," description:"entry VMs; repeat for more" required:"true"`
	Key     string   `long:"operator-key" value-name:"KEY" env:"QUETZALHOLD_OPERATOR_KEY" description:"operator key" required:"true"`
	JSON    bool     `long:"json" description:"print as JSON"`
}

func (o *remoteOptions) client() *operator.Client { return operator.NewClient(o.Entries, o.Key) }

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// applyCommand writes objects from files.
type applyCommand struct {
	remoteOptions
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	var objs []operator.FileObject
	for _, f := range c.Args.Files {
		raw, err := os.ReadFile(filepath.Clean(f))
		if err != nil {
			return result.Wrap(result.SettingsUnreadable, err, "read")
		}
		file, err := operator.ParseFile(raw)
		if err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
		objs = append(objs, file.Objects...)
	}
	for _, o := range objs {
		written, err := c.client().Apply(c.ctx, o)
		if err != nil {
			return explainConflict(o, err)
		}
		if err := c.report(written); err != nil {
			return err
		}
	}
	return nil
}

func (c *applyCommand) report(o objects.Object) error {
	if c.JSON {
		return printJSON(o)
	}
	fmt.Printf("%s %s accepted at version %d\n", o.Kind, o.Name, o.Version)
	return nil
}

// explainConflict adds to a version conflict the value that another operator wrote.
func explainConflict(o operator.FileObject, err error) error {
	var conflict *operator.ConflictError
	if !errors.As(err, &conflict) || conflict.Current == nil {
		return fmt.Errorf("%s %s: %w", o.Kind, o.Name, err)
	}
	return fmt.Errorf("%s %s: %w\nyours:   %s\ncurrent: %s (version %d)",
		o.Kind, o.Name, err, o.Value, conflict.Current.Value, conflict.Current.Version)
}

// getCommand reads objects.
type getCommand struct {
	remoteOptions
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true" description:"deployment, route, preset, organisation, service or inForce"`
		Name string `positional-arg-name:"NAME" description:"one object; all of the kind without"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	var objs []objects.Object
	var err error
	if c.Args.Name == "" {
		objs, err = c.client().List(c.ctx, objects.Kind(c.Args.Kind))
	} else {
		var o objects.Object
		o, err = c.client().Get(c.ctx, objects.Kind(c.Args.Kind), objects.Name(c.Args.Name))
		objs = append(objs, o)
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(objs)
	}
	for _, o := range objs {
		fmt.Printf("%s %s version %d\n  %s\n", o.Kind, o.Name, o.Version, o.Value)
	}
	return nil
}

// usePresetCommand puts a preset in force.
type usePresetCommand struct {
	remoteOptions
	Args struct {
		Preset string `positional-arg-name:"PRESET" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *usePresetCommand) Execute([]string) error {
	o, err := c.client().UsePreset(c.ctx, operator.PresetID(c.Args.Preset))
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(o)
	}
	fmt.Printf("preset %s is in force, version %d\n", c.Args.Preset, o.Version)
	return nil
}

// statusCommand shows the entry VMs.
type statusCommand struct {
	remoteOptions
}

// entryStatus is the status of one entry VM, or the error of reading it.
type entryStatus struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var all []entryStatus
	for _, address := range c.Entries {
		st, err := c.client().Status(c.ctx, address)
		es := entryStatus{Address: address, Status: st}
		if err != nil {
			es.Error = err.Error()
		}
		all = append(all, es)
	}
	if c.JSON {
		return printJSON(all)
	}
	return printStatus(all)
}

func printStatus(all []entryStatus) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY\tDOMAIN\tREADY\tPRESET\tOPEN\tENGINES\tOBJECTS\tPLATFORM")
	for _, es := range all {
		if es.Status == nil {
			fmt.Fprintf(w, "%s\t%s\n", es.Address, es.Error)
			continue
		}
		st := es.Status
		state := "up"
		if st.Platform.Error != "" {
			state = "last reached " + st.Platform.LastSuccess.Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s (%s, %s)\t%t\t%s\t%d\t%d\t%d\t%s\n", st.Entry,
			st.Domain.Code, st.Domain.Title, st.Domain.Legacy,
			st.Ready, st.Preset, st.OpenRequests, len(st.Engines), len(st.Objects), state)
	}
	return w.Flush()
}

// explainCommand prints the history of a request.
type explainCommand struct {
	remoteOptions
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	all, err := c.client().Explain(c.ctx, engine.RequestID(c.Args.Request))
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(all)
	}
	operator.WriteHistory(os.Stdout, all)
	return nil
}

// callCommand requests an answer from a model.
type callCommand struct {
	ctx       context.Context
	Entries   []string      `long:"entry" value-name:"IP:PORT" env:"QUETZALHOLD_ENTRIES" env-delim:"," description:"entry VMs; repeat for more" required:"true"`
	Key       string        `long:"key" value-name:"KEY" env:"QUETZALHOLD_KEY" description:"API key" required:"true"`
	Model     string        `long:"model" value-name:"MODEL" description:"model to ask" required:"true"`
	MaxTokens int64         `long:"max-tokens" value-name:"N" description:"length of the answer in tokens" default:"256"`
	Seed      *uint64       `long:"seed" value-name:"N" description:"sampling seed"`
	Chat      bool          `long:"chat" description:"ask as a chat"`
	Whole     bool          `long:"whole" description:"ask for the answer at once, not streamed"`
	Within    time.Duration `long:"within" value-name:"TIME" description:"deadline from now" default:"5m"`
	JSON      bool          `long:"json" description:"print the answer as JSON when it is whole"`
	Args      struct {
		Prompt string `positional-arg-name:"PROMPT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *callCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Within)
	defer cancel()
	var opts []caller.ClientOption
	if !c.JSON {
		opts = append(opts,
			caller.OnPiece(func(text string) { fmt.Print(text) }),
			caller.WithLogf(func(format string, args ...any) { fmt.Fprintf(os.Stderr, "\n"+format+"\n", args...) }))
	}
	cl := caller.NewClient(c.Entries, c.Key, opts...)
	q := caller.CompletionRequest{Model: operator.Model(c.Model), MaxTokens: engine.Tokens(c.MaxTokens), Seed: c.Seed}
	style := caller.StyleCompletion
	if c.Chat {
		style = caller.StyleChat
		q.Messages = []caller.Message{{Role: "user", Content: caller.Content(c.Args.Prompt)}}
	} else {
		q.Prompt = c.Args.Prompt
	}
	request := cl.Stream
	if c.Whole {
		request = cl.Whole
	}
	a, err := request(ctx, style, q)
	if err != nil {
		return fmt.Errorf("request %s broke off after %d tokens: %w", a.Request, len(a.Tokens), err)
	}
	if c.JSON {
		return printJSON(a)
	}
	fmt.Fprintf(os.Stderr, "\nrequest %s, %d tokens, taken up again %d times\n", a.Request, len(a.Tokens), a.Resumed)
	return nil
}
