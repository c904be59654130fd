// Package service chooses the endpoint that serves a call and decides whether a
// failed attempt may be repeated.
package service
