package operator

import (
	"encoding/json"
	"fmt"
	"slices"

	"quetzalhold/engine"
	"quetzalhold/limit"
	"quetzalhold/move"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/result"
)

// Configuration is an immutable view of all configuration objects that hold
// together. Its zero value is empty.
type Configuration struct {
	deployments map[DeploymentID]*Deployment
	routes      []*Route
	presets     map[PresetID]*Preset
	services    map[names.ID]*Service
	byLimit     map[limit.Key]*Organisation
	byKey       map[KeyDigest]*Organisation
	inForce     *Preset
	moves       map[DeploymentID]*move.Plan
	registry    *names.Registry
	cache       decodeCache // while it is built
	objects     []objects.Object
}

// Build returns the configuration made of objs, and every fault by which an
// object cannot be part of it.
func Build(objs []objects.Object) (*Configuration, []*result.Error) {
	return build(objs, nil)
}

// decoded is an aggregate that was decoded before, or why it could not be.
type decoded struct {
	version objects.Version
	value   any
	err     error
}

// decodeCache keeps decoded aggregates, so that a change decodes only what
// changed. Nil keeps nothing.
type decodeCache map[objectKey]decoded

// build is Build with a cache.
func build(objs []objects.Object, cache decodeCache) (*Configuration, []*result.Error) {
	c := &Configuration{
		cache:       cache,
		deployments: make(map[DeploymentID]*Deployment),
		presets:     make(map[PresetID]*Preset),
		services:    make(map[names.ID]*Service),
		byLimit:     make(map[limit.Key]*Organisation),
		byKey:       make(map[KeyDigest]*Organisation),
		moves:       make(map[DeploymentID]*move.Plan),
		registry:    &names.Registry{},
	}
	var faults []*result.Error
	for _, k := range Kinds() {
		for _, o := range objs {
			if o.Kind != k || o.Deleted {
				continue
			}
			if err := c.add(o); err != nil {
				faults = append(faults, result.Wrap(result.CodeOf(err), err, "%s %s", o.Kind, o.Name).
					On(string(o.Kind)+"/"+string(o.Name)))
				continue
			}
			c.objects = append(c.objects, o)
		}
	}
	c.cache = nil
	return c, faults
}

// add decodes one object and makes it part of c, whose earlier kinds are
// complete.
func (c *Configuration) add(o objects.Object) error {
	switch o.Kind {
	case KindDeployment:
		return addTo(c.cache, o, func(d *Deployment) (string, error) {
			c.deployments[d.Name] = d
			return string(d.Name), nil
		})
	case KindOrganisation:
		return addTo(c.cache, o, c.addOrganisation)
	case KindService:
		return addTo(c.cache, o, func(s *Service) (string, error) {
			c.services[s.Names.Code] = s
			return string(s.Names.Code), c.registry.Add(names.Service, s.Names)
		})
	case KindRoute:
		return addTo(c.cache, o, c.addRoute)
	case KindPreset:
		return addTo(c.cache, o, func(p *Preset) (string, error) {
			c.presets[p.Name] = p
			return string(p.Name), nil
		})
	case KindInForce:
		return addTo(c.cache, o, func(f *InForce) (string, error) {
			c.inForce = c.presets[f.Preset]
			if c.inForce == nil {
				return "", result.New(result.BadReference, "no preset %q", f.Preset).On("preset")
			}
			return string(InForceName), nil
		})
	case move.Kind:
		return addTo(c.cache, o, func(p *move.Plan) (string, error) {
			if c.deployments[DeploymentID(p.Deployment)] == nil {
				return "", result.New(result.BadReference, "no deployment %q", p.Deployment).On("deployment")
			}
			c.moves[DeploymentID(p.Deployment)] = p
			return p.Deployment, nil
		})
	}
	return result.New(result.BadRequest, "unknown kind %q", o.Kind)
}

// addTo decodes an aggregate and hands it to f, which returns the name that
// the object must have.
func addTo[T any](cache decodeCache, o objects.Object, f func(*T) (string, error)) error {
	v, err := decodeObject[T](cache, o)
	if err != nil {
		return err
	}
	name, err := f(v)
	if err != nil {
		return err
	}
	if name != string(o.Name) {
		return result.New(result.BadReference, "the object is called %q, its value %q", o.Name, name).On("name")
	}
	return nil
}

// decodeObject decodes an object's value unless the cache has it.
func decodeObject[T any](cache decodeCache, o objects.Object) (*T, error) {
	k := objectKey{o.Kind, o.Name}
	if d, ok := cache[k]; ok && d.version == o.Version {
		v, _ := d.value.(*T)
		return v, d.err
	}
	v := new(T)
	err := json.Unmarshal(o.Value, v)
	if cache != nil {
		cache[k] = decoded{version: o.Version, value: v, err: err}
	}
	return v, err
}

func (c *Configuration) addOrganisation(o *Organisation) (string, error) {
	for _, k := range o.Keys {
		if other := c.byKey[k]; other != nil {
			return "", result.New(result.Duplicate, "key belongs to %q too", other.Names.Code).On("keys")
		}
	}
	if err := c.registry.Add(names.Organisation, o.Names); err != nil {
		return "", err
	}
	c.byLimit[limit.NewKey(o.Names.Code)] = o
	for _, k := range o.Keys {
		c.byKey[k] = o
	}
	return string(o.Names.Code), nil
}

func (c *Configuration) addRoute(r *Route) (string, error) {
	if c.deployments[r.Deployment] == nil {
		return "", result.New(result.BadReference, "no deployment %q", r.Deployment).On("deployment")
	}
	resolved := *r
	resolved.Organisations = nil
	for i, name := range r.Organisations {
		id, err := c.registry.Resolve(names.Organisation, name)
		if err != nil {
			return "", result.Of(err).On(fmt.Sprintf("organisations[%d]", i))
		}
		resolved.Organisations = append(resolved.Organisations, string(id))
	}
	r = &resolved
	for _, other := range c.routes {
		if other.Model == r.Model && overlap(other.Organisations, r.Organisations) {
			return "", result.New(result.Duplicate, "route %q leads %q for the same organisations", other.Name, r.Model).On("model")
		}
	}
	c.routes = append(c.routes, r)
	return string(r.Name), nil
}

// overlap reports whether two routes serve a common organisation. A route for
// all gives way to one that names the organisation.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	for _, x := range a {
		if slices.Contains(b, x) {
			return true
		}
	}
	return false
}

// Organisation returns the organisation that holds an API key. It fails with
// UnknownKey.
func (c *Configuration) Organisation(key string) (*Organisation, error) {
	o := c.byKey[DigestKey(key)]
	if o == nil {
		return nil, result.New(result.UnknownKey, "the API key is unknown").AsNotRun()
	}
	return o, nil
}

// OrganisationByLimit returns the organisation that a key stands for in the
// exchange about limits, or nil.
func (c *Configuration) OrganisationByLimit(k limit.Key) *Organisation { return c.byLimit[k] }

// Route returns the route and deployment for a model. One that names the
// organisation goes before one for all. It fails with UnknownModel.
func (c *Configuration) Route(m Model, org names.ID) (*Route, *Deployment, error) {
	var general *Route
	for _, r := range c.routes {
		switch {
		case r.Model != m:
		case slices.Contains(r.Organisations, string(org)):
			return r, c.deployments[r.Deployment], nil
		case len(r.Organisations) == 0:
			general = r
		}
	}
	if general == nil {
		return nil, nil, result.New(result.UnknownModel, "no route for model %q", m).AsNotRun()
	}
	return general, c.deployments[general.Deployment], nil
}

// Models returns the models that an organisation may ask for.
func (c *Configuration) Models(org names.ID) []Model {
	var all []Model
	for _, r := range c.routes {
		served := len(r.Organisations) == 0 || slices.Contains(r.Organisations, string(org))
		if served && !slices.Contains(all, r.Model) {
			all = append(all, r.Model)
		}
	}
	slices.Sort(all)
	return all
}

// Move returns the move of a deployment away from its present version, or nil.
// An earlier move, whose outcome the deployment has taken over, is none.
func (c *Configuration) Move(d *Deployment) *move.Plan {
	p := c.moves[d.Name]
	if p == nil || p.From != d.Version {
		return nil
	}
	return p
}

// Moves returns the moves that have started and not ended.
func (c *Configuration) Moves() []*move.Plan {
	var all []*move.Plan
	for id, p := range c.moves {
		if p.State == move.Started && p.From == c.deployments[id].Version {
			all = append(all, p)
		}
	}
	return all
}

// Unsettled returns the finished moves whose version their deployments do not
// have yet.
func (c *Configuration) Unsettled() []*move.Plan {
	var all []*move.Plan
	for id, p := range c.moves {
		if p.State == move.Finished && p.From == c.deployments[id].Version {
			all = append(all, p)
		}
	}
	return all
}

// Deployment returns a deployment, or nil.
func (c *Configuration) Deployment(id DeploymentID) *Deployment { return c.deployments[id] }

// Loaded returns what the deployment needs an engine to have loaded.
func (d *Deployment) Loaded() engine.LoadedModel {
	return engine.LoadedModel{Version: d.Version, Adapter: d.Adapter}
}

// Service returns the service called name in any scheme. It fails with
// UnknownService.
func (c *Configuration) Service(name string) (*Service, error) {
	if c.registry == nil {
		return nil, result.New(result.UnknownService, "no service %q", name).AsNotRun()
	}
	id, err := c.registry.Resolve(names.Service, name)
	if err != nil {
		return nil, result.Wrap(result.UnknownService, err, "service").AsNotRun()
	}
	return c.services[id], nil
}

// InForce returns the preset in force, or nil if none is.
func (c *Configuration) InForce() *Preset { return c.inForce }

// Registry returns the names of organisations and services; nil while the
// configuration is empty.
func (c *Configuration) Registry() *names.Registry { return c.registry }

// Objects returns the objects that make up the configuration.
func (c *Configuration) Objects() []objects.Object { return c.objects }
