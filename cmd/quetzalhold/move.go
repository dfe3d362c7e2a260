package main

import (
	"encoding/json"
	"fmt"
	"time"

	"quetzalhold/engine"
	"quetzalhold/move"
	"quetzalhold/objects"
	"quetzalhold/operator"
	"quetzalhold/result"
)

// moveCommand groups the commands about version moves.
type moveCommand struct {
	Start    moveStart    `command:"start" description:"move a deployment to another version by an instant"`
	Show     moveShow     `command:"show" description:"show how a move stands and why"`
	TakeBack moveTakeBack `command:"take-back" description:"take a move back"`
}

// moveArgs names the deployment.
type moveArgs struct {
	Deployment string `positional-arg-name:"DEPLOYMENT" required:"true"`
}

// readMove returns the last move of a deployment and the object that holds it.
func (o *remoteOptions) readMove(deployment string) (objects.Object, move.Plan, error) {
	var p move.Plan
	obj, err := o.client().Get(o.ctx, move.Kind, objects.Name(deployment))
	if err != nil {
		return obj, p, err
	}
	if err := json.Unmarshal(obj.Value, &p); err != nil {
		return obj, p, fmt.Errorf("decode move: %w", err)
	}
	return obj, p, nil
}

// writeMove checks a move, writes it and prints it.
func (o *remoteOptions) writeMove(p move.Plan, expect objects.Version) error {
	if err := p.Check(); err != nil {
		return err
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode move: %w", err)
	}
	obj := operator.FileObject{Kind: move.Kind, Name: objects.Name(p.Deployment), Expect: &expect, Value: raw}
	if _, err := o.client().Apply(o.ctx, obj); err != nil {
		return explainConflict(obj, err)
	}
	return o.printMove(p)
}

func (o *remoteOptions) printMove(p move.Plan) error {
	if o.JSON {
		return printJSON(p)
	}
	fmt.Printf("%s from %s to %s: %s, share %.0f%%, by %s\n", p.Deployment, p.From, p.To, p.State,
		100*p.Share(time.Now(), false), p.FinishBy.Format(time.RFC3339))
	if p.Reason != "" {
		fmt.Printf("  %s\n", p.Reason)
	}
	return nil
}

// moveStart starts a move.
type moveStart struct {
	remoteOptions
	To         string   `long:"to" value-name:"VERSION" required:"true" description:"version to move to"`
	FinishBy   string   `long:"finish-by" value-name:"INSTANT" required:"true" description:"RFC 3339 instant by which the move is finished or taken back"`
	EarlyShare float64  `long:"early-share" value-name:"SHARE" default:"0.05" description:"share of requests until there is evidence"`
	Args       moveArgs `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *moveStart) Execute([]string) error {
	by, err := time.Parse(time.RFC3339, c.FinishBy)
	if err != nil {
		return result.Wrap(result.BadDeadline, err, "--finish-by")
	}
	obj, err := c.client().Get(c.ctx, operator.KindDeployment, objects.Name(c.Args.Deployment))
	if err != nil {
		return err
	}
	var dep operator.Deployment
	if err := json.Unmarshal(obj.Value, &dep); err != nil {
		return fmt.Errorf("decode deployment: %w", err)
	}
	old, last, err := c.readMove(c.Args.Deployment)
	switch {
	case result.CodeOf(err) == result.ObjectMissing:
	case err != nil:
		return err
	case last.State == move.Started && last.From == dep.Version:
		return result.New(result.VersionConflict, "a move to %s is under way", last.To)
	}
	return c.writeMove(move.Plan{
		Deployment: c.Args.Deployment,
		From:       dep.Version,
		To:         engine.Version(c.To),
		Start:      time.Now().UTC(),
		FinishBy:   by.UTC(),
		EarlyShare: c.EarlyShare,
		State:      move.Started,
	}, old.Version)
}

// moveShow shows a move.
type moveShow struct {
	remoteOptions
	Args moveArgs `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *moveShow) Execute([]string) error {
	_, p, err := c.readMove(c.Args.Deployment)
	if err != nil {
		return err
	}
	return c.printMove(p)
}

// moveTakeBack rolls a move back.
type moveTakeBack struct {
	remoteOptions
	Args moveArgs `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *moveTakeBack) Execute([]string) error {
	obj, p, err := c.readMove(c.Args.Deployment)
	if err != nil {
		return err
	}
	if p.State != move.Started {
		return result.New(result.VersionConflict, "the move is %s", p.State)
	}
	p.State = move.RolledBack
	p.Reason = "taken back by an operator"
	p.EndedAt = time.Now().UTC()
	return c.writeMove(p, obj.Version)
}
