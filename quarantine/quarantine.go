// Package quarantine keeps requests that crash the backends which run them away from further
// backends. It has no clock, socket or disk.
package quarantine
