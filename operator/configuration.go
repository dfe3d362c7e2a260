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

// Configuration is an immutable view of all valid configuration objects whose
// references to each other resolve. Its zero value is empty.
type Configuration struct {
	deployments map[DeploymentID]*Deployment
	routes      []*Route
	presets     map[PresetID]*Preset
	services    map[names.ID]*Service
	byLimitKey  map[limit.Key]*Organisation
	byKey       map[KeyDigest]*Organisation
	inForce     *Preset
	moves       map[DeploymentID]*move.Plan
	registry    *names.Registry
	cache       decodeCache // nil except while building
	objects     []objects.Object
}

// Build returns the configuration made of objs. Objects that cannot be part of
// it are left out, each with a fault.
func Build(objs []objects.Object) (*Configuration, []*result.Error) {
	return build(objs, nil)
}

// decoded is the cached result of decoding one version of an object.
type decoded struct {
	version objects.Version
	value   any
	err     error
}

// decodeCache caches decoded objects, so that a rebuild decodes only the
// objects that changed. A nil cache stores nothing.
type decodeCache map[objectKey]decoded

// build is Build with a cache.
func build(objs []objects.Object, cache decodeCache) (*Configuration, []*result.Error) {
	c := &Configuration{
		cache:       cache,
		deployments: make(map[DeploymentID]*Deployment),
		presets:     make(map[PresetID]*Preset),
		services:    make(map[names.ID]*Service),
		byLimitKey:  make(map[limit.Key]*Organisation),
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
					WithField(string(o.Kind)+"/"+string(o.Name)))
				continue
			}
			c.objects = append(c.objects, o)
		}
	}
	c.cache = nil
	return c, faults
}

// add decodes an object and adds it to c. All objects of the kinds that [Kinds]
// lists before o's must have been added.
func (c *Configuration) add(o objects.Object) error {
	switch o.Kind {
	case KindDeployment:
		return addObject(c.cache, o, func(d *Deployment) (string, error) {
			c.deployments[d.Name] = d
			return string(d.Name), nil
		})
	case KindOrganisation:
		return addObject(c.cache, o, c.addOrganisation)
	case KindService:
		return addObject(c.cache, o, func(s *Service) (string, error) {
			c.services[s.Names.Code] = s
			return string(s.Names.Code), c.registry.Add(names.Service, s.Names)
		})
	case KindRoute:
		return addObject(c.cache, o, c.addRoute)
	case KindPreset:
		return addObject(c.cache, o, func(p *Preset) (string, error) {
			c.presets[p.Name] = p
			return string(p.Name), nil
		})
	case KindInForce:
		return addObject(c.cache, o, func(f *InForce) (string, error) {
			c.inForce = c.presets[f.Preset]
			if c.inForce == nil {
				return "", result.New(result.BadReference, "no preset %q", f.Preset).WithField("preset")
			}
			return string(InForceName), nil
		})
	case move.Kind:
		return addObject(c.cache, o, func(p *move.Plan) (string, error) {
			if c.deployments[DeploymentID(p.Deployment)] == nil {
				return "", result.New(result.BadReference, "no deployment %q", p.Deployment).WithField("deployment")
			}
			c.moves[DeploymentID(p.Deployment)] = p
			return p.Deployment, nil
		})
	}
	return result.New(result.BadRequest, "unknown kind %q", o.Kind)
}

// addObject decodes an object and passes its value to f, which adds it to the
// configuration and returns the name that the object must have.
func addObject[T any](cache decodeCache, o objects.Object, f func(*T) (string, error)) error {
	v, err := decodeObject[T](cache, o)
	if err != nil {
		return err
	}
	name, err := f(v)
	if err != nil {
		return err
	}
	if name != string(o.Name) {
		return result.New(result.BadReference, "the object is called %q, its value %q", o.Name, name).WithField("name")
	}
	return nil
}

// decodeObject returns the decoded value of an object, from the cache if it
// holds that version.
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
			return "", result.New(result.Duplicate, "key belongs to %q too", other.Names.Code).WithField("keys")
		}
	}
	if err := c.registry.Add(names.Organisation, o.Names); err != nil {
		return "", err
	}
	c.byLimitKey[limit.NewKey(o.Names.Code)] = o
	for _, k := range o.Keys {
		c.byKey[k] = o
	}
	return string(o.Names.Code), nil
}

func (c *Configuration) addRoute(r *Route) (string, error) {
	if c.deployments[r.Deployment] == nil {
		return "", result.New(result.BadReference, "no deployment %q", r.Deployment).WithField("deployment")
	}
	resolved := *r
	resolved.Organisations = nil
	for i, name := range r.Organisations {
		id, err := c.registry.Resolve(names.Organisation, name)
		if err != nil {
			return "", result.FromError(err).WithField(fmt.Sprintf("organisations[%d]", i))
		}
		resolved.Organisations = append(resolved.Organisations, string(id))
	}
	r = &resolved
	for _, other := range c.routes {
		if other.Model == r.Model && overlap(other.Organisations, r.Organisations) {
			return "", result.New(result.Duplicate, "route %q leads %q for the same organisations", other.Name, r.Model).WithField("model")
		}
	}
	c.routes = append(c.routes, r)
	return string(r.Name), nil
}

// overlap reports whether two routes' lists of organisations conflict: they
// have an organisation in common, or both are empty. A list and an empty list
// don't conflict, since a route that names the organisation takes precedence.
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

// Organisation returns the organisation that an API key belongs to. It fails
// with UnknownKey.
func (c *Configuration) Organisation(key string) (*Organisation, error) {
	o := c.byKey[DigestKey(key)]
	if o == nil {
		return nil, result.New(result.UnknownKey, "the API key is unknown").AsNotRun()
	}
	return o, nil
}

// OrganisationByLimitKey returns the organisation with the given key in the
// entry VMs' quota exchange, or nil.
func (c *Configuration) OrganisationByLimitKey(k limit.Key) *Organisation { return c.byLimitKey[k] }

// Route returns the route and deployment for an organisation's requests to a
// model. A route that names the organisation takes precedence over one for all.
// It fails with UnknownModel.
func (c *Configuration) Route(m Model, org names.ID) (*Route, *Deployment, error) {
	var forAll *Route
	for _, r := range c.routes {
		switch {
		case r.Model != m:
		case slices.Contains(r.Organisations, string(org)):
			return r, c.deployments[r.Deployment], nil
		case len(r.Organisations) == 0:
			forAll = r
		}
	}
	if forAll == nil {
		return nil, nil, result.New(result.UnknownModel, "no route for model %q", m).AsNotRun()
	}
	return forAll, c.deployments[forAll.Deployment], nil
}

// Models returns the models that an organisation may use, sorted.
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

// Move returns the deployment's move away from its current version, or nil. A
// finished move whose new version the deployment already has is not returned.
func (c *Configuration) Move(d *Deployment) *move.Plan {
	p := c.moves[d.Name]
	if p == nil || p.From != d.Version {
		return nil
	}
	return p
}

// ActiveMoves returns the moves in progress.
func (c *Configuration) ActiveMoves() []*move.Plan {
	var all []*move.Plan
	for id, p := range c.moves {
		if p.State == move.Started && p.From == c.deployments[id].Version {
			all = append(all, p)
		}
	}
	return all
}

// FinishedMoves returns the finished moves whose new version has not been
// written to their deployments yet.
func (c *Configuration) FinishedMoves() []*move.Plan {
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

// LoadedModel returns the version and adapter that an engine must have loaded
// to serve the deployment.
func (d *Deployment) LoadedModel() engine.LoadedModel {
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
