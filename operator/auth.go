package operator

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

// BearerToken returns the bearer token of a request; empty if there is none.
func BearerToken(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// Authorized reports whether the request's bearer token is key. It compares in
// constant time, so that the duration does not reveal how much of a wrong token
// matches.
func Authorized(r *http.Request, key string) bool {
	return subtle.ConstantTimeCompare([]byte(BearerToken(r)), []byte(key)) == 1
}
