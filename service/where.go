package service

import "quetzalhold/names"

// Order returns the servers of a service in the order in which a call would try them, which is random among servers of
// the same distance.
func (c *Client) Order(id names.ID) []Server { return c.serversByDistance(id) }
