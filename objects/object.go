// Package objects speaks to the platform's object API: objects with versions,
// conditional updates and watches, and the list of VMs.
package objects

import (
	"encoding/json"

	"quetzalhold/engine"
	"quetzalhold/names"
)

// Kind is a kind of objects.
type Kind string

// Name is an object's name, unique within its kind.
type Name string

// Version counts the changes of one object, from 1; 0 stands for an object
// that does not exist.
type Version uint64

// Revision counts the changes of all objects together.
type Revision uint64

// MaxValueSize is the platform's limit on an object's value, in bytes.
const MaxValueSize = 1 << 20

// Object is a value under a name. Writer identifies the call that wrote it, by
// which a writer that lost the answer recognises its own write.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    Name            `json:"name"`
	Version Version         `json:"version"`
	WriteID  string          `json:"writer"`
	Value   json.RawMessage `json:"value"`
	Deleted bool            `json:"deleted,omitempty"`
}

// List is all objects of a kind as of a revision.
type List struct {
	Revision Revision `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Put is the body of a conditional write. It succeeds only while the object's
// version is Expect.
type Put struct {
	Expect Version         `json:"expect"`
	WriteID string          `json:"writer"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// VMRole is what a VM is for.
type VMRole string

// The roles of VMs.
const (
	RoleEntry   VMRole = "entry"
	RoleEngine  VMRole = "engine"
	RoleService VMRole = "service"
)

// VM is an entry of the platform's list, which lags behind.
type VM struct {
	ID          engine.ServerID    `json:"id"`
	Role        VMRole             `json:"role"`
	Address     string             `json:"address"`
	Domain      names.ID           `json:"domain"`
	Service     names.ID           `json:"service,omitempty"` // of a service's server
	Incarnation engine.Incarnation `json:"incarnation"`
	Leaving     bool               `json:"leaving,omitempty"`
}

// VMList answers a call for the list of VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}
