// Package routing determines the service that a request goes to, the organisation
// that sent it and the limits that apply. A Configuration is one document of the
// operator, validated as a whole; a Table indexes it for lookups. A Configuration
// must not change once prepared. A Table does not change either, apart from the
// state of its traffic splits.
package routing
