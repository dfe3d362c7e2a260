// Package objects is a client of the platform's object API, which offers
// versioned objects with conditional updates and watches, and the list of VMs.
// It also implements leases on top of such objects.
package objects

import (
	"encoding/json"

	"quetzalhold/engine"
	"quetzalhold/names"
)

// Kind is the kind of an object.
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

// Object is a named value. WriteID is an id of the call that wrote it, by which
// a client that lost the response to a write recognises its own write.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    Name            `json:"name"`
	Version Version         `json:"version"`
	WriteID string          `json:"writer"`
	Value   json.RawMessage `json:"value"`
	Deleted bool            `json:"deleted,omitempty"`
}

// List holds all objects of a kind as of a revision.
type List struct {
	Revision Revision `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Put is the body of a conditional write. The write succeeds only if the
// object's current version is Expect.
type Put struct {
	Expect  Version         `json:"expect"`
	WriteID string          `json:"writer"`
	Value   json.RawMessage `json:"value,omitempty"`
	Delete  bool            `json:"delete,omitempty"`
}

// VMRole says what a VM is used for.
type VMRole string

// The roles of VMs.
const (
	RoleEntry   VMRole = "entry"
	RoleEngine  VMRole = "engine"
	RoleService VMRole = "service"
)

// VM is one item of the platform's list of VMs. The list lags behind the real
// state of the VMs.
type VM struct {
	ID          engine.ServerID    `json:"id"`
	Role        VMRole             `json:"role"`
	Address     string             `json:"address"`
	Domain      names.ID           `json:"domain"`
	Service     names.ID           `json:"service,omitempty"` // service that the VM serves; RoleService only
	Incarnation engine.Incarnation `json:"incarnation"`
	Leaving     bool               `json:"leaving,omitempty"`
}

// VMList is the response to a request for the list of VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}
