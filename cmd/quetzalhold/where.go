package main

import (
	"context"
	"os"

	"quetzalhold/engine"
	"quetzalhold/gateway"
	"quetzalhold/operator"
	"quetzalhold/relay"
	"quetzalhold/routing"
)

// whereCommand tells where a request would go.
type whereCommand struct {
	ctx     context.Context
	At      string `long:"at" value-name:"IP:PORT" description:"address for entry VMs of a gateway, or the operator's address of entry" required:"true"`
	Host    string `long:"host" value-name:"HOST" description:"host of the request"`
	Path    string `long:"path" value-name:"PATH" description:"path of the request" default:"/"`
	Key     string `long:"key" value-name:"KEY" env:"QUETZALHOLD_KEY" description:"API key"`
	Request string `long:"request" value-name:"ID" description:"id of the request, by which services and versions are chosen"`
	Tokens  string `long:"tokens" value-name:"IN,OUT" description:"tokens of the prompt, and at most of the answer"`
	Prompt  string `long:"prompt" value-name:"PARTS" description:"parts of the prompt, as ID:TOKENS,ID:TOKENS"`
	Model   string `long:"model" value-name:"MODEL" description:"model, asked of entry"`
	// OperatorKey tells that an entry daemon is asked.
	OperatorKey string `long:"operator-key" value-name:"KEY" description:"operator key of entry; without it a gateway is asked"`
	JSON        bool   `long:"json" description:"print as JSON"`
}

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	q := relay.WhereQuery{
		Host: c.Host, Path: c.Path, Key: routing.Key(c.Key), Request: engine.RequestID(c.Request), Tokens: c.Tokens, Prompt: c.Prompt, Model: c.Model,
	}
	a, err := c.ask(q)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(a)
	}
	return a.WriteText(os.Stdout)
}

// ask asks the process.
func (c *whereCommand) ask(q relay.WhereQuery) (*relay.WhereAnswer, error) {
	if c.OperatorKey == "" {
		return gateway.AskWhere(c.ctx, nil, c.At, q)
	}
	var a relay.WhereAnswer
	if err := operator.NewClient(nil, c.OperatorKey).Where(c.ctx, c.At, q.Values(), &a); err != nil {
		return nil, err
	}
	return &a, a.Check()
}
