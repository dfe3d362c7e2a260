package feed

import (
	"fmt"
	"net/url"

	"quetzalhold/admit"
	"quetzalhold/result"
)

// addAdmission encodes the demands and the sums of a request.
func (q *Request) addAdmission(v url.Values) {
	for i := range q.Needs {
		d := &q.Needs[i]
		v.Add("need", fmt.Sprintf("%s %d %d %d %d", d.Service, d.Window, d.Share, d.FirstEvents.Count, int64(d.FirstEvents.Mean)))
		addRanks(v, "needRank", i, d.Ranks)
	}
	for i := range q.Sums {
		s := &q.Sums[i]
		v.Add("sum", fmt.Sprintf("%s %d %d %d %d %d", s.Service, s.Window, s.Share, s.FirstEvents.Count, int64(s.FirstEvents.Mean), s.Silent))
		addRanks(v, "sumRank", i, s.Ranks)
	}
}

// addRanks encodes the demands of ranks; i is the index of the demand that they belong to.
func addRanks(v url.Values, name string, i int, list []admit.RankDemand) {
	for _, r := range list {
		v.Add(name, fmt.Sprintf("%d %d %d %d %d %g %g", i, r.Rank, r.Pending, r.Waiting, r.Late, r.Ended, r.InTime))
	}
}

// parseAdmission parses the demands and the sums of a request.
func (q *Request) parseAdmission(v url.Values) error {
	for _, s := range v["need"] {
		var d admit.Demand
		if _, err := fmt.Sscanf(s, "%s %d %d %d %d", &d.Service, &d.Window, &d.Share, &d.FirstEvents.Count, &d.FirstEvents.Mean); err != nil {
			return result.Wrap(result.BadRequest, err, "need").WithField("need")
		}
		q.Needs = append(q.Needs, d)
	}
	for _, s := range v["sum"] {
		var d admit.Sum
		if _, err := fmt.Sscanf(s, "%s %d %d %d %d %d", &d.Service, &d.Window, &d.Share, &d.FirstEvents.Count, &d.FirstEvents.Mean, &d.Silent); err != nil {
			return result.Wrap(result.BadRequest, err, "sum").WithField("sum")
		}
		q.Sums = append(q.Sums, d)
	}
	if err := parseRanks(v, "needRank", len(q.Needs), func(i int) *admit.Demand { return &q.Needs[i] }); err != nil {
		return err
	}
	if err := parseRanks(v, "sumRank", len(q.Sums), func(i int) *admit.Demand { return &q.Sums[i].Demand }); err != nil {
		return err
	}
	for i := range q.Needs {
		if err := q.Needs[i].Check(); err != nil {
			return err
		}
	}
	for i := range q.Sums {
		if err := q.Sums[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// parseRanks parses the demands of ranks into n demands.
func parseRanks(v url.Values, name string, n int, of func(i int) *admit.Demand) error {
	for _, s := range v[name] {
		var r admit.RankDemand
		i := 0
		if _, err := fmt.Sscanf(s, "%d %d %d %d %d %g %g", &i, &r.Rank, &r.Pending, &r.Waiting, &r.Late, &r.Ended, &r.InTime); err != nil {
			return result.Wrap(result.BadRequest, err, "%s", name).WithField(name)
		}
		if i < 0 || i >= n {
			return result.New(result.OutOfRange, "demand %d of %d", i, n).WithField(name)
		}
		d := of(i)
		d.Ranks = append(d.Ranks, r)
	}
	return nil
}

// checkAdmission returns the first reason why the grants and sums are invalid, or nil.
func (a *Response) checkAdmission() error {
	for i := range a.Grants {
		if err := a.Grants[i].Check(); err != nil {
			return err
		}
	}
	for i := range a.Sums {
		if err := a.Sums[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
