// Package platform answers the platform: health, readiness and metrics.
package platform
