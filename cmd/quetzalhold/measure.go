package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"quetzalhold/engine"
	"quetzalhold/measure"
	"quetzalhold/operator"
)

// measureCommand groups the measurements.
type measureCommand struct {
	Resume measureResume `command:"resume" description:"resume latency by kind of loss, against baselines"`
	Moves  measureMoves  `command:"moves" description:"decisions about version moves over a fixed set of cases, against baselines"`
	Load   measureLoad   `command:"load" description:"cost of answers at an entry VM that runs on this machine"`
}

// measureResume measures resume latency.
type measureResume struct {
	ctx     context.Context
	Seed    uint64 `long:"seed" value-name:"N" default:"1" description:"seed of the run"`
	Answers int    `long:"answers" value-name:"N" default:"60" description:"answers at once"`
	Tokens  int64  `long:"tokens" value-name:"N" default:"150" description:"length of each answer in tokens"`
	Report  string `long:"report" value-name:"FILE" description:"write a page with a plot"`
	JSON    bool   `long:"json" description:"print as JSON"`
}

// Execute implements flags.Commander.
func (c *measureResume) Execute([]string) error {
	cfg := measure.ResumeConfig{Seed: c.Seed, Answers: c.Answers, Tokens: engine.Tokens(c.Tokens)}
	var all []measure.ResumeResult
	for _, way := range measure.Strategies() {
		for _, loss := range measure.Losses() {
			r, err := measure.Resume(c.ctx, cfg, way, loss)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", way.Name, loss, err)
			}
			all = append(all, r)
		}
	}
	if err := c.report(all); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(all)
	}
	return measure.PrintResume(os.Stdout, all)
}

func (c *measureResume) report(all []measure.ResumeResult) error {
	if c.Report == "" {
		return nil
	}
	f, err := os.Create(filepath.Clean(c.Report))
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	if err := measure.WriteReport(f, all); err != nil {
		return err
	}
	return f.Close()
}

// measureLoad measures the CPU time and memory that answers cost an entry VM.
type measureLoad struct {
	ctx     context.Context
	Entry   string        `long:"entry" value-name:"IP:PORT" required:"true" description:"entry VM, on loopback"`
	Key     string        `long:"key" value-name:"KEY" env:"QUETZALHOLD_KEY" required:"true" description:"API key"`
	Model   string        `long:"model" value-name:"MODEL" required:"true" description:"model to ask"`
	Answers []int         `long:"answers" value-name:"N" required:"true" description:"answers at once; repeat for more sizes"`
	Tokens  int64         `long:"tokens" value-name:"N" default:"200" description:"length of each answer in tokens"`
	For     time.Duration `long:"for" value-name:"TIME" default:"10s" description:"time for which new answers are asked for"`
}

// Execute implements flags.Commander.
func (c *measureLoad) Execute([]string) error {
	for _, n := range c.Answers {
		r, err := measure.Load(c.ctx, measure.LoadConfig{
			Entry: c.Entry, Key: c.Key, Model: operator.Model(c.Model),
			Answers: n, Tokens: engine.Tokens(c.Tokens), Duration: c.For,
		})
		if err != nil {
			return err
		}
		if err := printJSON(r); err != nil {
			return err
		}
	}
	return nil
}

// measureMoves measures the decisions about version moves.
type measureMoves struct {
	Seeds int    `long:"seeds" value-name:"N" default:"20" description:"runs of each case"`
	First uint64 `long:"first-seed" value-name:"N" default:"0" description:"seed of the first run"`
	JSON  bool   `long:"json" description:"print as JSON"`
}

// Execute implements flags.Commander.
func (c *measureMoves) Execute([]string) error {
	all := measure.Moves(c.First, c.Seeds)
	if c.JSON {
		return printJSON(all)
	}
	return measure.PrintMoves(os.Stdout, all)
}
