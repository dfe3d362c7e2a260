package main

import (
	"context"
	"os"

	"quetzalhold/engine"
	"quetzalhold/gateway"
	"quetzalhold/relay"
	"quetzalhold/routing"
)

// whereCommand tells where a request would go.
type whereCommand struct {
	ctx     context.Context
	At      string `long:"at" value-name:"IP:PORT" description:"address for entry VMs of a gateway" required:"true"`
	Host    string `long:"host" value-name:"HOST" description:"host of the request"`
	Path    string `long:"path" value-name:"PATH" description:"path of the request" default:"/"`
	Key     string `long:"key" value-name:"KEY" env:"QUETZALHOLD_KEY" description:"API key"`
	Request string `long:"request" value-name:"ID" description:"id of the request, by which services and versions are chosen"`
	Tokens  string `long:"tokens" value-name:"IN,OUT" description:"tokens of the prompt, and at most of the answer"`
	Prompt  string `long:"prompt" value-name:"PARTS" description:"parts of the prompt, as ID:TOKENS,ID:TOKENS"`
	JSON    bool   `long:"json" description:"print as JSON"`
}

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	a, err := gateway.AskWhere(c.ctx, nil, c.At, relay.WhereQuery{
		Host: c.Host, Path: c.Path, Key: routing.Key(c.Key), Request: engine.RequestID(c.Request), Tokens: c.Tokens, Prompt: c.Prompt,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(a)
	}
	return a.WriteText(os.Stdout)
}
