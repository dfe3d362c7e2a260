package feed

import (
	"fmt"
	"net/url"

	"quetzalhold/cost"
	"quetzalhold/result"
)

const (
	// maxSamples bounds the samples of one request that are read.
	maxSamples = 64
	// maxServices bounds the services in a table of speeds.
	maxServices = 1024
)

func addSamples(v url.Values, list []cost.Sample) {
	for _, s := range list {
		v.Add("speed", fmt.Sprintf("%s %s %d %d %g %g %d %d", s.Service, s.Server, s.Start, s.Kind, s.Rate, s.Least, s.Count, s.AgeMs))
	}
}

// parseSamples parses the samples of servers' speeds that the requester reports. Entry VMs of an earlier version
// report none.
func parseSamples(v url.Values) ([]cost.Sample, error) {
	var list []cost.Sample
	for _, field := range v["speed"] {
		if len(list) == maxSamples {
			break
		}
		var s cost.Sample
		if _, err := fmt.Sscanf(field, "%s %s %d %d %g %g %d %d", &s.Service, &s.Server, &s.Start, &s.Kind, &s.Rate, &s.Least, &s.Count, &s.AgeMs); err != nil {
			return nil, result.Wrap(result.BadRequest, err, "speed").WithField("speed")
		}
		if !s.Valid() || s.AgeMs > maxAge.Milliseconds() {
			return nil, result.New(result.OutOfRange, "%q", field).WithField("speed")
		}
		list = append(list, s)
	}
	return list, nil
}

// checkSpeeds returns the first reason why a table of speeds is invalid, or nil.
func checkSpeeds(list []cost.ServiceSpeeds) error {
	if len(list) > maxServices {
		return result.New(result.OutOfRange, "speeds of %d services", len(list)).WithField("speeds")
	}
	for i := range list {
		if !list[i].Valid() {
			return result.New(result.OutOfRange, "speeds of service %q", list[i].Service).WithField("speeds")
		}
	}
	return nil
}
