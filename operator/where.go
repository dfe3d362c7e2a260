package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"quetzalhold/result"
)

// PathWhere is the path at which an entry VM tells where a request would go.
const PathWhere = "/operator/where"

// Where asks an entry VM where a request with the given parameters would go, and decodes the answer into out. Its errors
// don't contain the parameters.
func (c *Client) Where(ctx context.Context, address string, query url.Values, out any) error {
	err := c.call(ctx, address, http.MethodGet, PathWhere+"?"+query.Encode(), nil, out)
	var u *url.Error
	var coded *result.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &u):
		return fmt.Errorf("ask %s: %w", address, u.Err)
	case errors.As(err, &coded):
		return fmt.Errorf("ask %s: %w", address, coded)
	}
	// What is left is an answer that can't be decoded; its error names the path with the parameters.
	return fmt.Errorf("ask %s: the answer can't be decoded: %w", address, errors.Unwrap(err))
}
